//! The server in a trace: it sends heartbeats and carries out orders. Sometimes it violates the protocol.

use super::Bulk;
use crate::random::Random;
use lupinrack_cluster_api::identity::Attempt;
use lupinrack_worker_agent::HeartbeatResponse;
use serde_json::{json, Value};
use std::collections::BTreeMap;

const END_NAMES: [&str; 7] = [
    "done", "failed", "stopped", "lapsed", "broken", "alone", "refused",
];

/// One in so many heartbeats with ends lists as many ends as it may, filled with ends of other systems' tasks.
const FULL_LIST_INTERVAL: u64 = 40;

/// One incarnation of the server.
pub struct Server {
    incarnation: u64,
    sequence: u64,
    version: u64,
    draining: bool,
    running: BTreeMap<String, Run>,
    finished: Vec<Value>,
    last_end_number: u64,
    bulk: Bulk,
}

struct Run {
    attempt: Attempt,
    checkpoint: String,
    percent: u64,
}

/// The identity of an incarnation.
pub fn id_of(incarnation: u64) -> String {
    format!("life-{incarnation}")
}

impl Server {
    pub fn new(incarnation: u64, bulk: Bulk) -> Server {
        Server {
            incarnation,
            sequence: 0,
            version: 1,
            draining: false,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end_number: 0,
            bulk,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The identity and body of the next heartbeat, sometimes with an earlier sequence number or incarnation.
    pub fn heartbeat(&mut self, now: u64, random: &mut Random) -> (String, String) {
        self.advance(random);
        let repeated = self.sequence > 0 && random.once_in(20);
        if !repeated {
            self.sequence += 1;
        }
        let sequence = if random.once_in(30) {
            self.sequence.saturating_sub(2)
        } else {
            self.sequence
        };
        let incarnation = if random.once_in(40) {
            self.incarnation.saturating_sub(1)
        } else {
            self.incarnation
        };
        (id_of(incarnation), self.body(sequence, now, random))
    }

    /// Receives a response.
    pub fn receive_response(&mut self, response: &HeartbeatResponse, random: &mut Random) {
        self.finished.retain(|end| {
            end[0]
                .as_u64()
                .is_some_and(|number| number > response.observed)
        });
        for stop in &response.stops {
            if self
                .running
                .get(&stop.task)
                .is_some_and(|run| run.attempt == stop.attempt)
            {
                self.end(&stop.task, "stopped");
            }
        }
        for start in &response.starts {
            if !random.once_in(5) {
                let run = Run {
                    attempt: start.attempt,
                    checkpoint: start.checkpoint.clone(),
                    percent: 0,
                };
                self.running.insert(start.task.to_string(), run);
            }
        }
    }

    fn advance(&mut self, random: &mut Random) {
        self.draining |= random.once_in(80);
        if random.once_in(100) {
            self.version += 1;
        }
        for run in self.running.values_mut() {
            run.percent = (run.percent + random.below(9)).min(100);
            if random.once_in(10) {
                run.checkpoint = format!("{:02x}", random.below(256));
            }
        }
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            if random.once_in(12) {
                let name = END_NAMES[random.below(END_NAMES.len() as u64) as usize];
                self.end(&task, name);
            }
        }
        if random.once_in(50) {
            self.running.insert(
                "other".into(),
                Run {
                    attempt: 3,
                    checkpoint: String::new(),
                    percent: 1,
                },
            );
        }
    }

    fn end(&mut self, task: &str, name: &str) {
        if let Some(run) = self.running.remove(task) {
            self.last_end_number += 1;
            self.finished.push(json!([
                self.last_end_number,
                task,
                run.attempt,
                name,
                run.checkpoint
            ]));
        }
    }

    fn body(&self, sequence: u64, now: u64, random: &mut Random) -> String {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| json!([task, run.attempt, run.checkpoint, run.percent]))
            .collect();
        let mut finished = self.finished.clone();
        let full = random.once_in(FULL_LIST_INTERVAL) && self.bulk == Bulk::With;
        if !finished.is_empty() && full {
            finished.extend((0..500).map(|number| json!([1_000_000 + number, "other", 1, "done"])));
        }
        let state = if self.draining { "draining" } else { "ready" };
        let mut body = json!({
            "service": "search", "state": state, "sequence": sequence, "version": format!("v{}", self.version),
            "zone": "north", "slots": 8, "capacity": {"cpu": 4000, "mem-mb": 8192}, "clock-ms": now,
            "running": running, "finished": finished,
        });
        if self.draining {
            body["remaining-ms"] = json!(random.below(5_000));
        }
        body.to_string()
    }
}
