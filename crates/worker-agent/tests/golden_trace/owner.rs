//! The owner in a trace: it answers attaches and orders starts and stops. Sometimes it sends a message that violates the
//! protocol.

use super::Bulk;
use crate::random::Random;
use lupinrack_cluster_api::agent::{AgentMessage, Assignment, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, FencingToken, JobId, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;

const TASKS: u64 = 6;
const ATTEMPTS: u64 = 4;

/// More than half of the size limit for the starts of one response.
const LARGE_SPEC_BYTES: usize = 300_000;

/// The owner of the server's shard, and its session.
pub struct Owner {
    token: u64,
    connections: u64,
    connected: bool,
    server: ServerId,
    number: u64,
    reported_at: Millis,
    observed: u64,
    bulk: Bulk,
}

impl Owner {
    pub fn new(bulk: Bulk) -> Owner {
        Owner {
            token: 1,
            connections: 0,
            connected: false,
            server: ServerId(String::new()),
            number: 0,
            reported_at: Millis(0),
            observed: 0,
            bulk,
        }
    }

    pub fn is_connected(&self) -> bool {
        self.connected
    }

    pub fn connection(&self) -> u64 {
        self.connections
    }

    /// Opens the next connection, sometimes as another owner.
    pub fn connect(&mut self, random: &mut Random) -> u64 {
        self.connections += 1;
        self.connected = true;
        if random.once_in(3) {
            self.token += 1;
        }
        self.connections
    }

    pub fn disconnected(&mut self, connection: u64) {
        self.connected &= connection != self.connections;
    }

    pub fn receive(&mut self, message: &AgentMessage) {
        match message {
            AgentMessage::Attach {
                facts,
                heartbeat,
                sent_at,
                ..
            } => {
                self.server = facts.id.clone();
                self.number = 0;
                self.reported_at = *sent_at;
                self.observed = heartbeat.finished.last().map_or(0, |end| end.number);
            }
            AgentMessage::Report { heartbeat, sent_at } => {
                self.reported_at = *sent_at;
                if let Some(heartbeat) = heartbeat {
                    self.observed = heartbeat
                        .finished
                        .last()
                        .map_or(self.observed, |end| end.number);
                }
            }
            AgentMessage::Deregister { .. } => {}
        }
    }

    /// The next message with its connection; one in eight messages violates the protocol.
    pub fn message(&mut self, now: u64, random: &mut Random) -> (u64, OwnerMessage) {
        self.number += 1;
        let complete = self.number == 1;
        let mut message = OwnerMessage {
            token: FencingToken(self.token),
            server: self.server.clone(),
            number: self.number,
            complete,
            assign: (0..random.below(4))
                .map(|_| self.assignment(random))
                .collect(),
            stop: (0..random.below(5).saturating_sub(3))
                .map(|_| random_run(random))
                .collect(),
            observed: if random.once_in(2) { self.observed } else { 0 },
            lease_from: self.reported_at,
            lease_ms: 500 + random.below(8_000),
            heartbeat_after_ms: random.below(3) * 150,
        };
        if random.once_in(8) {
            self.corrupt(&mut message, now, random);
        }
        let connection = if random.once_in(30) {
            self.connections + 1
        } else {
            self.connections
        };
        (connection, message)
    }

    fn assignment(&self, random: &mut Random) -> Assignment {
        let (task, attempt) = random_run(random);
        let large = random.once_in(400) && self.bulk == Bulk::With;
        let spec = if large {
            "x".repeat(LARGE_SPEC_BYTES)
        } else {
            format!("work {}", task.index)
        };
        let checkpoint = if random.once_in(4) {
            String::from("0f")
        } else {
            String::new()
        };
        Assignment {
            task,
            attempt,
            spec,
            checkpoint,
        }
    }

    fn corrupt(&mut self, message: &mut OwnerMessage, now: u64, random: &mut Random) {
        match random.below(8) {
            0 => message.token = FencingToken(self.token.saturating_sub(1)),
            1 => message.token = FencingToken(self.token + 1),
            2 => message.server = ServerId("life-9".into()),
            3 => message.number = message.number.saturating_sub(1),
            4 => message.number += 1,
            5 => message.complete = !message.complete,
            6 => message.lease_from = Millis(now.saturating_sub(random.below(3_000))),
            _ => message.lease_from = Millis(now + random.below(3_000)),
        }
    }
}

fn random_run(random: &mut Random) -> (TaskId, Attempt) {
    let index = random.below(TASKS) as u32;
    let attempt = 1 + random.below(ATTEMPTS) as u32;
    (
        TaskId {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index,
        },
        attempt,
    )
}
