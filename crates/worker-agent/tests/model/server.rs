//! A server that follows the protocol and panics on orders that violate it.

use crate::random::Random;
use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A server drops a response that took longer than this many milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
const LEASE_MAX_MS: u64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;
/// By how much the monotonic clock of a server may be slow, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;

/// Only every attempt with a multiple of this number succeeds, so that tasks are still running when faults occur.
const ATTEMPTS_PER_SUCCESS: Attempt = 4;

struct Run {
    attempt: Attempt,
    ends_at: u64,
    stops_at: Option<u64>,
}

struct End {
    number: u64,
    task: TaskId,
    attempt: Attempt,
    outcome: &'static str,
}

#[derive(Clone, Copy)]
struct UnansweredHeartbeat {
    sequence: u64,
    sent_at: u64,
    /// Whether the heartbeat reported that the server is draining.
    draining: bool,
}

/// Counts the events at the server, to show that a run of the model covers them.
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
    /// When the server ends after it has deregistered without having drained.
    pub shuts_down_at: Option<u64>,
    pub counts: ServerCounts,
    token: u64,
    sequence: u64,
    running: BTreeMap<TaskId, Run>,
    finished: Vec<End>,
    last_end_number: u64,
    /// The highest attempt of each task that has ended or was stopped.
    closed_attempts: BTreeMap<TaskId, Attempt>,
    next_heartbeat_at: u64,
    unanswered: Option<UnansweredHeartbeat>,
    lease_expires_at: u64,
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
            last_end_number: 0,
            closed_attempts: BTreeMap::new(),
            next_heartbeat_at: now,
            unanswered: None,
            lease_expires_at: 0,
        }
    }

    pub fn runs(&self, task: &TaskId) -> bool {
        self.running.contains_key(task)
    }

    /// Advances to `now`. Returns the sequence number and body of a heartbeat if one is due.
    pub fn tick(&mut self, now: u64) -> Option<(u64, String)> {
        self.end_runs(now);
        if self
            .unanswered
            .is_some_and(|heartbeat| now > heartbeat.sent_at + RESPONSE_TIMEOUT_MS)
        {
            self.unanswered = None;
            self.counts.dropped_responses += 1;
            self.next_heartbeat_at = now;
        }
        if self.unanswered.is_some() || now < self.next_heartbeat_at {
            return None;
        }
        self.sequence += 1;
        self.unanswered = Some(UnansweredHeartbeat {
            sequence: self.sequence,
            sent_at: now,
            draining: self.draining,
        });
        Some((self.sequence, self.body(now)))
    }

    pub fn receive_response(&mut self, sequence: u64, body: &str, now: u64, random: &mut Random) {
        let Some(heartbeat) = self
            .unanswered
            .filter(|heartbeat| heartbeat.sequence == sequence)
        else {
            self.counts.dropped_responses += 1;
            return;
        };
        if now > heartbeat.sent_at + RESPONSE_TIMEOUT_MS {
            return;
        }
        self.unanswered = None;
        let response: Value = serde_json::from_str(body).expect("a response is JSON");
        self.next_heartbeat_at = now + response["retry-after-ms"].as_u64().unwrap_or(HEARTBEAT_MS);
        let token = response["fence-token"].as_u64().unwrap_or(0);
        if token < self.token {
            self.counts.fenced += 1;
            return;
        }
        self.token = token;
        self.apply(&response, heartbeat, now, random);
    }

    fn apply(
        &mut self,
        response: &Value,
        heartbeat: UnansweredHeartbeat,
        now: u64,
        random: &mut Random,
    ) {
        let lease_ms = response["hold-ms"].as_u64();
        if let Some(lease_ms) = lease_ms {
            let clock_percent = 100 + random.below(CLOCK_SLOW_PERCENT + 1);
            let until = heartbeat.sent_at + lease_ms.min(LEASE_MAX_MS) * clock_percent / 100;
            self.lease_expires_at = self.lease_expires_at.max(until);
        }
        let observed = response["observed"].as_u64().unwrap_or(0);
        self.finished.retain(|end| end.number > observed);
        for row in rows(&response["stop"]) {
            self.stop(task_of(row), attempt_of(row), now, random);
        }
        for row in rows(&response["start"]) {
            assert!(lease_ms.is_some(), "a start without a lease");
            assert!(!heartbeat.draining, "a start for a server that is draining");
            self.start(task_of(row), attempt_of(row), now, random);
        }
    }

    fn start(&mut self, task: TaskId, attempt: Attempt, now: u64, random: &mut Random) {
        assert!(
            !self.running.contains_key(&task),
            "{task} started while it was running"
        );
        let highest_closed = self.closed_attempts.get(&task).copied().unwrap_or(0);
        assert!(
            attempt > highest_closed,
            "attempt {attempt} of {task} started after attempt {highest_closed} had ended or was stopped"
        );
        let max_duration_ms = if attempt % ATTEMPTS_PER_SUCCESS == 1 {
            5_000
        } else {
            1_000
        };
        let ends_at = now + 20 + random.below(max_duration_ms);
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
            None => self.close_attempts_up_to(task, attempt),
        }
    }

    fn end_runs(&mut self, now: u64) {
        let lease_expires_at = self.lease_expires_at;
        let outcome_at_now = |run: &Run| match run {
            _ if lease_expires_at <= now => Some("lapsed"),
            Run {
                stops_at: Some(at), ..
            } if *at <= now => Some("stopped"),
            Run {
                ends_at, attempt, ..
            } if *ends_at <= now => Some(if attempt.is_multiple_of(ATTEMPTS_PER_SUCCESS) {
                "done"
            } else {
                "failed"
            }),
            _ => None,
        };
        let ends: Vec<_> = self
            .running
            .iter()
            .filter_map(|(task, run)| outcome_at_now(run).map(|outcome| (*task, outcome)))
            .collect();
        for (task, outcome) in ends {
            self.end(task, outcome, now);
        }
    }

    fn end(&mut self, task: TaskId, outcome: &'static str, now: u64) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        self.counts.expired_leases += u64::from(outcome == "lapsed");
        self.last_end_number += 1;
        self.finished.push(End {
            number: self.last_end_number,
            task,
            attempt: run.attempt,
            outcome,
        });
        self.close_attempts_up_to(task, run.attempt);
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + 50);
    }

    fn close_attempts_up_to(&mut self, task: TaskId, attempt: Attempt) {
        let watermark = self.closed_attempts.entry(task).or_insert(0);
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
            .map(|end| {
                json!([
                    end.number,
                    end.task.to_string(),
                    end.attempt,
                    end.outcome,
                    ""
                ])
            })
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
