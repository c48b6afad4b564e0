//! A seeded run of an agent between a server and owners that follow the protocol most of the time. Each call gives one
//! line with its input and the agent's reaction.
//!
//! The lines hold external formats (JSON, `borsh`, error texts, numbers) and no names of Rust types, so that they stay the
//! same when the code is rewritten.

mod owner;
mod server;

use crate::answer_at_once::AnswerAtOnce;
use crate::random::Random;
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_golden_files::to_hex;
use lupinrack_worker_agent::heartbeat_json::{parse, render};
use lupinrack_worker_agent::{
    Agent, AgentSettings, HeartbeatOutcome, HeartbeatResponse, OwnerMessageError, PendingHeartbeat,
};
use owner::Owner;
use server::Server;

/// Whether the run has lists and specs of the largest allowed size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bulk {
    Without,
    With,
}

/// Runs `steps` calls and returns a line for each.
pub fn play(seed: u64, steps: usize, bulk: Bulk) -> Vec<String> {
    let mut run = Run::new(seed, bulk);
    (0..steps).map(|_| run.step()).collect()
}

/// A hash (FNV-1a, 64 bits) of all lines.
pub fn digest(lines: &[String]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

struct Run {
    random: Random,
    now: u64,
    agent: Agent,
    server: Server,
    owner: Owner,
    pending: Option<PendingHeartbeat>,
    bulk: Bulk,
}

impl Run {
    fn new(seed: u64, bulk: Bulk) -> Run {
        let settings = AgentSettings {
            lease_max_ms: 6_000,
            heartbeat_ms: 1_500,
            idle_heartbeat_ms: 400,
            busy_heartbeat_ms: 80,
        };
        Run {
            random: Random::new(seed),
            now: 0,
            agent: Agent::new(settings),
            server: Server::new(1, bulk),
            owner: Owner::new(bulk),
            bulk,
            pending: None,
        }
    }

    fn step(&mut self) -> String {
        let max_step_ms = if self.random.once_in(40) { 2_500 } else { 60 };
        self.now += self.random.below(max_step_ms);
        let event = match self.random.below(20) {
            0..=6 => self.heartbeat(),
            7..=9 => self.respond_to_pending(),
            10..=14 => self.deliver_owner_message(),
            15 => self.connect(),
            16 if self.random.once_in(3) => self.deregister(),
            17 if self.random.once_in(3) => self.disconnect(),
            _ => String::from("wait"),
        };
        let observed = self.observe();
        format!("at {} {event} {observed}", self.now)
    }

    /// Describes the agent's visible state after a call, and the messages that it sends.
    fn observe(&mut self) -> String {
        let now = Millis(self.now);
        let has_orders = self.agent.has_orders(now);
        let due_before = optional(self.agent.next_poll());
        let messages = self.agent.poll(now);
        let due_after = optional(self.agent.next_poll());
        messages
            .iter()
            .for_each(|message| self.owner.receive(message));
        let sent: Vec<String> = messages.iter().map(borsh_hex).collect();
        let server = self
            .agent
            .server()
            .map_or("none", |facts| facts.id.0.as_str());
        let token = self.agent.token().0;
        format!(
            "| server {server} token {token} orders {has_orders} due {due_before} then {due_after} | sends [{}]",
            sent.join(" ")
        )
    }

    fn heartbeat(&mut self) -> String {
        if self.random.once_in(60) {
            self.server = Server::new(self.next_incarnation(), self.bulk);
        }
        let (id, body) = self.server.heartbeat(self.now, &mut self.random);
        let heartbeat = parse(&id, body.as_bytes()).expect("a heartbeat");
        if self.random.once_in(3) {
            let response = self.agent.heartbeat(heartbeat, Millis(self.now));
            return format!("beats {id} {body} -> {}", self.send_response(&response));
        }
        match self.agent.receive_heartbeat(heartbeat, Millis(self.now)) {
            HeartbeatOutcome::Answered(response) => {
                format!(
                    "beat {id} {body} -> answer {}",
                    self.send_response(&response)
                )
            }
            HeartbeatOutcome::Pending(pending) => {
                let properties = format!(
                    "arrived {} ends {} idle {}",
                    pending.arrived_at.0, pending.lists_ends, pending.idle
                );
                self.pending = Some(pending);
                format!("beat {id} {body} -> open {properties}")
            }
        }
    }

    /// The number of the next incarnation, sometimes that of the current or the previous one again.
    fn next_incarnation(&mut self) -> u64 {
        let incarnation = self.server.incarnation();
        let earlier = self.random.once_in(3);
        if earlier {
            incarnation.saturating_sub(self.random.below(2))
        } else {
            incarnation + 1
        }
    }

    fn respond_to_pending(&mut self) -> String {
        let Some(pending) = self.pending.take() else {
            return String::from("no open heartbeat");
        };
        let response = self.agent.respond_to_heartbeat(&pending, Millis(self.now));
        format!("answers -> {}", self.send_response(&response))
    }

    fn send_response(&mut self, response: &HeartbeatResponse) -> String {
        let lost = self.random.once_in(8);
        if !lost {
            self.server.receive_response(response, &mut self.random);
        }
        render(response)
    }

    fn deliver_owner_message(&mut self) -> String {
        let (connection, message) = self.owner.message(self.now, &mut self.random);
        let encoded = borsh_hex(&message);
        let result = self.agent.receive_owner_message(connection, message);
        let outcome = result.map_or_else(error_text, |()| "taken");
        format!("message on {connection} {encoded} -> {outcome}")
    }

    fn connect(&mut self) -> String {
        if self.owner.is_connected() && !self.random.once_in(6) {
            return String::from("stays connected");
        }
        let connection = self.owner.connect(&mut self.random);
        self.agent.owner_connected(connection);
        format!("connected {connection}")
    }

    fn disconnect(&mut self) -> String {
        let connection = if self.random.once_in(5) {
            1
        } else {
            self.owner.connection()
        };
        self.agent.owner_disconnected(connection);
        self.owner.disconnected(connection);
        format!("lost {connection}")
    }

    fn deregister(&mut self) -> String {
        let incarnation = self.server.incarnation();
        let incarnation = if self.random.once_in(4) {
            incarnation + self.random.below(2)
        } else {
            incarnation
        };
        let id = server::id_of(incarnation);
        self.agent.deregister(ServerId(id.clone()));
        format!("leaves {id}")
    }
}

/// A fixed text for each error, independent of variant names and error texts.
fn error_text(error: OwnerMessageError) -> &'static str {
    match error {
        OwnerMessageError::OtherConnection => "refused: other connection",
        OwnerMessageError::OtherIncarnation => "refused: other server",
        OwnerMessageError::LowerToken => "refused: lower token",
        OwnerMessageError::EarlierSession => "refused: earlier session",
        OwnerMessageError::Repeated => "refused: repeated",
        OwnerMessageError::Gap => "refused: gap",
    }
}

/// The encoding of a message on the wire.
trait WireEncoding {
    fn encode(&self) -> Vec<u8>;
}

impl WireEncoding for AgentMessage {
    fn encode(&self) -> Vec<u8> {
        borsh::to_vec(self).expect("borsh")
    }
}

impl WireEncoding for OwnerMessage {
    fn encode(&self) -> Vec<u8> {
        borsh::to_vec(self).expect("borsh")
    }
}

fn borsh_hex(message: &impl WireEncoding) -> String {
    to_hex(&message.encode())
}

fn optional(time: Option<Millis>) -> String {
    time.map_or_else(|| String::from("none"), |time| time.0.to_string())
}
