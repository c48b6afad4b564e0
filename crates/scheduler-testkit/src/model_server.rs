//! A server that follows the heartbeat protocol: fencing tokens, attempts, leases, lists of runs and ends.

use crate::heartbeat_response::HeartbeatResponse;
use crate::server_run::ServerRun;
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, FencingToken, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use std::collections::BTreeMap;

/// A response is ignored if it arrives later than this after the heartbeat, in milliseconds.
pub const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// The factor by which the server's clock is slow, so that its leases last longer.
const CLOCK_SLOWDOWN: f64 = 1.02;
/// The heartbeat interval until a response sets another one.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// The maximum delay from the end of a run to the next heartbeat.
const END_REPORT_DELAY_MS: u64 = 50;
/// The maximum of ends in one heartbeat.
const MAX_LISTED_ENDS: usize = 500;

/// How a server performs its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Runs take as long as planned.
    Healthy,
    /// Every run fails soon after its start.
    Failing,
    /// Every run takes longer.
    Slow,
    /// No run makes progress.
    Stalled,
}

/// The effect of the response to an earlier heartbeat while the server waits for the response to a later one. A response
/// that arrives after [`RESPONSE_TIMEOUT_MS`] gives no orders in either case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutdatedResponses {
    /// The response is ignored.
    Ignored,
    /// The response ends the wait, so the server sends its next heartbeat when that is due.
    EndWait,
}

/// How a simulation's servers process responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// The maximum lease, in milliseconds. Longer ones are shortened to it.
    pub max_lease_ms: u64,
    /// The effect of the response to an earlier heartbeat.
    pub outdated_responses: OutdatedResponses,
}

/// An end that the owner has not acknowledged as recorded.
#[derive(Clone, Debug)]
pub(crate) struct ServerEnd {
    pub(crate) finished: FinishedTask,
    pub(crate) ended_at: u64,
    /// Whether the server's lease has expired since the end. Then the owner may have inferred another end.
    pub(crate) lease_expired_since: bool,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub struct ModelServer {
    facts: ServerFacts,
    settings: ServerSettings,
    pub(crate) behavior: ServerBehavior,
    /// The highest fencing token received.
    token: FencingToken,
    lease_until: u64,
    pub(crate) runs: BTreeMap<TaskId, ServerRun>,
    ends: Vec<ServerEnd>,
    /// The number of the newest end.
    last_end_number: u64,
    /// The highest ended attempt of each task on this server.
    ended: BTreeMap<TaskId, Attempt>,
    draining_since: Option<u64>,
    shuts_down_at: Option<u64>,
    next_heartbeat_at: u64,
    /// When the heartbeat was sent whose response is outstanding.
    awaiting_since: Option<u64>,
}

impl ModelServer {
    /// A server that starts now, without a lease.
    pub(crate) fn new(facts: ServerFacts, settings: ServerSettings, now: u64) -> ModelServer {
        ModelServer {
            facts,
            settings,
            behavior: ServerBehavior::Healthy,
            token: FencingToken(0),
            lease_until: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end_number: 0,
            ended: BTreeMap::new(),
            draining_since: None,
            shuts_down_at: None,
            next_heartbeat_at: now,
            awaiting_since: None,
        }
    }

    /// The identity of the server in this incarnation.
    pub fn id(&self) -> &ServerId {
        &self.facts.id
    }

    /// The server's description of itself.
    pub fn facts(&self) -> &ServerFacts {
        &self.facts
    }

    /// Since when the server has been draining.
    pub fn draining_since(&self) -> Option<u64> {
        self.draining_since
    }

    /// When the server shuts down, if it is draining.
    pub fn shuts_down_at(&self) -> Option<u64> {
        self.shuts_down_at
    }

    /// Changes how the server performs its work.
    pub fn set_behavior(&mut self, behavior: ServerBehavior) {
        self.behavior = behavior;
    }

    /// Starts to drain, unless the server is already draining.
    pub fn drain(&mut self, now: u64, shuts_down_at: u64) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.shuts_down_at = Some(shuts_down_at);
        }
    }

    /// The total resources of its runs.
    pub(crate) fn used(&self) -> Resources {
        self.runs
            .values()
            .fold(Resources::default(), |total, run| Resources {
                cpu: total.cpu + run.needs.cpu,
                memory_mb: total.memory_mb + run.needs.memory_mb,
                gpu: total.gpu + run.needs.gpu,
            })
    }

    /// Whether the server has a lease.
    pub(crate) fn has_lease(&self, now: u64) -> bool {
        now < self.lease_until
    }

    /// Whether a heartbeat is due and no response is outstanding.
    pub fn is_heartbeat_due(&self, now: u64) -> bool {
        let is_waiting = self
            .awaiting_since
            .is_some_and(|since| now < since + RESPONSE_TIMEOUT_MS);
        now >= self.next_heartbeat_at && !is_waiting
    }

    /// Creates the next heartbeat.
    pub fn send_heartbeat(&mut self, now: u64) -> Heartbeat {
        self.awaiting_since = Some(now);
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        let running = self.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            attempt: run.attempt,
            checkpoint: run.checkpoint(*task),
            percent: run.percent(),
        });
        let finished = self.ends.iter().take(MAX_LISTED_ENDS);
        Heartbeat {
            server: self.facts.id.clone(),
            // Sequence numbers start at 1, times at 0.
            sequence: now + 1,
            draining: self.draining_since.is_some(),
            remaining_ms: self.shuts_down_at.map(|at| at.saturating_sub(now)),
            running: running.collect(),
            finished: finished.map(|end| end.finished.clone()).collect(),
            orders_seen: 0,
        }
    }

    /// When this heartbeat was sent.
    pub fn sent_at(heartbeat: &Heartbeat) -> u64 {
        heartbeat.sequence - 1
    }

    /// Applies the fencing token and the lease of a response. Returns whether its orders apply.
    pub(crate) fn accept_response(&mut self, response: &HeartbeatResponse, now: u64) -> bool {
        let awaited = self.awaiting_since == Some(response.heartbeat_sent_at);
        if !awaited && self.settings.outdated_responses == OutdatedResponses::Ignored {
            return false;
        }
        self.awaiting_since = None;
        let late = now > response.heartbeat_sent_at + RESPONSE_TIMEOUT_MS;
        if late || response.token < self.token {
            return false;
        }
        self.token = response.token;
        self.next_heartbeat_at = now + response.heartbeat_after_ms;
        if response.lease_ms > 0 {
            let lease_ms = response.lease_ms.min(self.settings.max_lease_ms);
            let duration_ms = (lease_ms as f64 * CLOCK_SLOWDOWN) as u64;
            let until = response.heartbeat_sent_at + duration_ms;
            self.lease_until = self.lease_until.max(until);
        }
        true
    }

    /// Removes and returns the ends up to this number, which the owner has recorded.
    pub(crate) fn remove_observed_ends(&mut self, observed: u64) -> Vec<ServerEnd> {
        let (removed, rest) = self
            .ends
            .drain(..)
            .partition(|end| end.finished.number <= observed);
        self.ends = rest;
        removed
    }

    /// Marks all unacknowledged ends: the lease has expired since.
    pub(crate) fn record_lease_expiry(&mut self) {
        for end in &mut self.ends {
            end.lease_expired_since = true;
        }
    }

    /// Whether the attempt is higher than all ended ones of the task here, and the task is not running.
    pub(crate) fn is_new_attempt(&self, task: TaskId, attempt: Attempt) -> bool {
        let above_ended = self.ended.get(&task).is_none_or(|ended| attempt > *ended);
        above_ended && !self.runs.contains_key(&task)
    }

    /// The number of runs of the same step and occurrence as this task.
    pub(crate) fn siblings(&self, task: TaskId) -> u32 {
        let siblings = self.runs.keys().filter(|other| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        });
        siblings.count() as u32
    }

    /// Ends a run. Heartbeats list its end from now on.
    pub(crate) fn end(&mut self, task: TaskId, end: RunEnd, now: u64) -> Option<ServerRun> {
        let run = self.runs.remove(&task)?;
        let checkpoint = if end == RunEnd::Done {
            String::new()
        } else {
            run.checkpoint(task)
        };
        self.last_end_number += 1;
        self.ends.push(ServerEnd {
            finished: FinishedTask {
                number: self.last_end_number,
                task,
                attempt: run.attempt,
                end,
                checkpoint,
            },
            ended_at: now,
            lease_expired_since: false,
        });
        let ended = self.ended.entry(task).or_insert(0);
        *ended = run.attempt.max(*ended);
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + END_REPORT_DELAY_MS);
        Some(run)
    }
}
