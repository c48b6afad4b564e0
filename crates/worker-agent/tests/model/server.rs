//! A server that follows the protocol and panics on orders that no agent may give.

use crate::random::Random;
use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A server drops an answer that took longer, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
const LEASE_MAX_MS: u64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;
/// The steady clock of a server may run this much slow, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;

/// One start in so many ends well, so that tasks last through the faults.
const RUNS_TO_DONE: Attempt = 4;

struct Run {
    attempt: Attempt,
    ends_at: u64,
    stops_at: Option<u64>,
}

struct End {
    number: u64,
    task: TaskId,
    attempt: Attempt,
    how: &'static str,
}

#[derive(Clone, Copy)]
struct Outstanding {
    sequence: u64,
    sent_at: u64,
    /// Whether it said that the server is draining.
    draining: bool,
}

/// What the server has seen, to show that a run of the model was not empty.
#[derive(Default)]
pub struct ServerCounts {
    pub starts: u64,
    pub stops: u64,
    pub expired_leases: u64,
    pub fenced: u64,
    pub dropped_responses: u64,
}

pub struct Server {
    pub id: ServerId,
    pub draining: bool,
    /// When it ends, if it has deregistered without having drained.
    pub shuts_down_at: Option<u64>,
    pub counts: ServerCounts,
    token: u64,
    sequence: u64,
    running: BTreeMap<TaskId, Run>,
    finished: Vec<End>,
    last_number: u64,
    barred: BTreeMap<TaskId, Attempt>,
    next_heartbeat: u64,
    outstanding: Option<Outstanding>,
    lease_until: u64,
}

impl Server {
    pub fn new(id: String, now: u64, counts: ServerCounts) -> Server {
        Server {
            id: ServerId(id),
            draining: false,
            shuts_down_at: None,
            counts,
            token: 0,
            sequence: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_number: 0,
            barred: BTreeMap::new(),
            next_heartbeat: now,
            outstanding: None,
            lease_until: 0,
        }
    }

    pub fn runs(&self, task: &TaskId) -> bool {
        self.running.contains_key(task)
    }

    /// Lets time pass; a heartbeat's sequence and body, if one is sent.
    pub fn tick(&mut self, now: u64) -> Option<(u64, String)> {
        self.end_runs(now);
        if self
            .outstanding
            .is_some_and(|heartbeat| now > heartbeat.sent_at + RESPONSE_TIMEOUT_MS)
        {
            self.outstanding = None;
            self.counts.dropped_responses += 1;
            self.next_heartbeat = now;
        }
        if self.outstanding.is_some() || now < self.next_heartbeat {
            return None;
        }
        self.sequence += 1;
        self.outstanding = Some(Outstanding {
            sequence: self.sequence,
            sent_at: now,
            draining: self.draining,
        });
        Some((self.sequence, self.body(now)))
    }

    pub fn answered(&mut self, sequence: u64, body: &str, now: u64, random: &mut Random) {
        let Some(heartbeat) = self
            .outstanding
            .filter(|heartbeat| heartbeat.sequence == sequence)
        else {
            self.counts.dropped_responses += 1;
            return;
        };
        if now > heartbeat.sent_at + RESPONSE_TIMEOUT_MS {
            return;
        }
        self.outstanding = None;
        let answer: Value = serde_json::from_str(body).expect("an answer is JSON");
        self.next_heartbeat = now + answer["retry-after-ms"].as_u64().unwrap_or(HEARTBEAT_MS);
        let token = answer["fence-token"].as_u64().unwrap_or(0);
        if token < self.token {
            self.counts.fenced += 1;
            return;
        }
        self.token = token;
        self.apply(&answer, heartbeat, now, random);
    }

    fn apply(&mut self, answer: &Value, heartbeat: Outstanding, now: u64, random: &mut Random) {
        let lease_ms = answer["hold-ms"].as_u64();
        if let Some(lease_ms) = lease_ms {
            let slow = 100 + random.below(CLOCK_SLOW_PERCENT + 1);
            let until = heartbeat.sent_at + lease_ms.min(LEASE_MAX_MS) * slow / 100;
            self.lease_until = self.lease_until.max(until);
        }
        let observed = answer["observed"].as_u64().unwrap_or(0);
        self.finished.retain(|end| end.number > observed);
        for row in rows(&answer["stop"]) {
            self.stop(task_of(row), attempt_of(row), now, random);
        }
        for row in rows(&answer["start"]) {
            assert!(lease_ms.is_some(), "a start without a lease");
            assert!(!heartbeat.draining, "a start for a server that is draining");
            self.start(task_of(row), attempt_of(row), now, random);
        }
    }

    fn start(&mut self, task: TaskId, attempt: Attempt, now: u64, random: &mut Random) {
        assert!(
            !self.running.contains_key(&task),
            "{task} started while it runs"
        );
        let barred = self.barred.get(&task).copied().unwrap_or(0);
        assert!(
            attempt > barred,
            "{task} started as {attempt} after {barred} had ended or was stopped"
        );
        let longest = if attempt % RUNS_TO_DONE == 1 {
            5_000
        } else {
            1_000
        };
        let ends_at = now + 20 + random.below(longest);
        self.running.insert(
            task,
            Run {
                attempt,
                ends_at,
                stops_at: None,
            },
        );
        self.counts.starts += 1;
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt, now: u64, random: &mut Random) {
        match self
            .running
            .get_mut(&task)
            .filter(|run| run.attempt == attempt)
        {
            Some(run) if run.stops_at.is_none() => {
                run.stops_at = Some(now + random.below(300));
                self.counts.stops += 1;
            }
            Some(_) => {}
            None => self.bar(task, attempt),
        }
    }

    fn end_runs(&mut self, now: u64) {
        let lease_until = self.lease_until;
        let over = |run: &Run| match run {
            _ if lease_until <= now => Some("lapsed"),
            Run {
                stops_at: Some(at), ..
            } if *at <= now => Some("stopped"),
            Run {
                ends_at, attempt, ..
            } if *ends_at <= now => Some(if attempt.is_multiple_of(RUNS_TO_DONE) {
                "done"
            } else {
                "failed"
            }),
            _ => None,
        };
        let ends: Vec<_> = self
            .running
            .iter()
            .filter_map(|(task, run)| over(run).map(|how| (*task, how)))
            .collect();
        for (task, how) in ends {
            self.end(task, how, now);
        }
    }

    fn end(&mut self, task: TaskId, how: &'static str, now: u64) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        self.counts.expired_leases += u64::from(how == "lapsed");
        self.last_number += 1;
        self.finished.push(End {
            number: self.last_number,
            task,
            attempt: run.attempt,
            how,
        });
        self.bar(task, run.attempt);
        self.next_heartbeat = self.next_heartbeat.min(now + 50);
    }

    fn bar(&mut self, task: TaskId, attempt: Attempt) {
        let watermark = self.barred.entry(task).or_insert(0);
        *watermark = attempt.max(*watermark);
    }

    fn body(&self, now: u64) -> String {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| json!([task.to_string(), run.attempt, "", 0]))
            .collect();
        let finished: Vec<Value> = self
            .finished
            .iter()
            .map(|end| json!([end.number, end.task.to_string(), end.attempt, end.how, ""]))
            .collect();
        json!({
            "service": "search", "state": if self.draining { "draining" } else { "ready" },
            "sequence": self.sequence, "clock-ms": now, "running": running, "finished": finished,
        })
        .to_string()
    }
}

fn rows(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn task_of(row: &Value) -> TaskId {
    row[0]
        .as_str()
        .and_then(|name| name.parse().ok())
        .expect("a task's name")
}

fn attempt_of(row: &Value) -> Attempt {
    row[1]
        .as_u64()
        .and_then(|run| run.try_into().ok())
        .expect("the number of a start")
}
