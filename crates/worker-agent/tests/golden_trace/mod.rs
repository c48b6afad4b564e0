//! A seeded run of an agent between a server and owners that keep to the protocol most of the time, and a line for each
//! call: what came in and what the agent did.
//!
//! The lines hold forms that are fixed outside (JSON, `borsh`, texts of errors, numbers) and no names of Rust types, so
//! that they stay the same while the code is rewritten.

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

/// Whether the run has lists and texts that are as long as they may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bulk {
    Without,
    With,
}

/// Plays so many calls and returns a line for each.
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
    open: Option<PendingHeartbeat>,
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
            open: None,
        }
    }

    fn step(&mut self) -> String {
        let longest = if self.random.once_in(40) { 2_500 } else { 60 };
        self.now += self.random.below(longest);
        let call = match self.random.below(20) {
            0..=6 => self.beat(),
            7..=9 => self.answer_open(),
            10..=14 => self.tell(),
            15 => self.connect(),
            16 if self.random.once_in(3) => self.leave(),
            17 if self.random.once_in(3) => self.lose(),
            _ => String::from("wait"),
        };
        let observed = self.observe();
        format!("at {} {call} {observed}", self.now)
    }

    /// What the agent shows of itself after a call, and what it sends.
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

    fn beat(&mut self) -> String {
        if self.random.once_in(60) {
            self.server = Server::new(self.next_life(), self.bulk);
        }
        let (id, body) = self.server.beat(self.now, &mut self.random);
        let beat = parse(&id, body.as_bytes()).expect("a heartbeat");
        if self.random.once_in(3) {
            let answer = self.agent.heartbeat(beat, Millis(self.now));
            return format!("beats {id} {body} -> {}", self.answered(&answer));
        }
        match self.agent.receive_heartbeat(beat, Millis(self.now)) {
            HeartbeatOutcome::Answered(answer) => {
                format!("beat {id} {body} -> answer {}", self.answered(&answer))
            }
            HeartbeatOutcome::Pending(open) => {
                let shown = format!(
                    "arrived {} ends {} idle {}",
                    open.arrived_at.0, open.lists_ends, open.idle
                );
                self.open = Some(open);
                format!("beat {id} {body} -> open {shown}")
            }
        }
    }

    /// The life after this one, at times this one again or the one before.
    fn next_life(&mut self) -> u64 {
        let incarnation = self.server.incarnation();
        let earlier = self.random.once_in(3);
        if earlier {
            incarnation.saturating_sub(self.random.below(2))
        } else {
            incarnation + 1
        }
    }

    fn answer_open(&mut self) -> String {
        let Some(open) = self.open.take() else {
            return String::from("no open heartbeat");
        };
        let answer = self.agent.respond_to_heartbeat(&open, Millis(self.now));
        format!("answers -> {}", self.answered(&answer))
    }

    fn answered(&mut self, answer: &HeartbeatResponse) -> String {
        let lost = self.random.once_in(8);
        if !lost {
            self.server.answered(answer, &mut self.random);
        }
        render(answer)
    }

    fn tell(&mut self) -> String {
        let (connection, message) = self.owner.message(self.now, &mut self.random);
        let written = borsh_hex(&message);
        let taken = self.agent.receive_owner_message(connection, message);
        let outcome = taken.map_or_else(refusal_word, |()| "taken");
        format!("message on {connection} {written} -> {outcome}")
    }

    fn connect(&mut self) -> String {
        if self.owner.is_connected() && !self.random.once_in(6) {
            return String::from("stays connected");
        }
        let connection = self.owner.connect(&mut self.random);
        self.agent.owner_connected(connection);
        format!("connected {connection}")
    }

    fn lose(&mut self) -> String {
        let connection = if self.random.once_in(5) {
            1
        } else {
            self.owner.connection()
        };
        self.agent.owner_disconnected(connection);
        self.owner.lost(connection);
        format!("lost {connection}")
    }

    fn leave(&mut self) -> String {
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

/// A word for each refusal that no change of names or texts alters.
fn refusal_word(refused: OwnerMessageError) -> &'static str {
    match refused {
        OwnerMessageError::OtherConnection => "refused: other connection",
        OwnerMessageError::OtherIncarnation => "refused: other server",
        OwnerMessageError::LowerToken => "refused: lower token",
        OwnerMessageError::EarlierSession => "refused: earlier session",
        OwnerMessageError::Repeated => "refused: repeated",
        OwnerMessageError::Gap => "refused: gap",
    }
}

/// A form of a message that is fixed on the wire.
trait WireForm {
    fn wire_form(&self) -> Vec<u8>;
}

impl WireForm for AgentMessage {
    fn wire_form(&self) -> Vec<u8> {
        borsh::to_vec(self).expect("borsh")
    }
}

impl WireForm for OwnerMessage {
    fn wire_form(&self) -> Vec<u8> {
        borsh::to_vec(self).expect("borsh")
    }
}

fn borsh_hex(message: &impl WireForm) -> String {
    to_hex(&message.wire_form())
}

fn optional(moment: Option<Millis>) -> String {
    moment.map_or_else(|| String::from("none"), |moment| moment.0.to_string())
}
