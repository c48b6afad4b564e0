//! A server that follows the protocol of heartbeats: fencing, attempts, leases, lists of runs and ends.

use crate::heartbeat_response::HeartbeatResponse;
use crate::server_run::ServerRun;
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, FencingToken, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use std::collections::BTreeMap;

/// A response that takes longer than this, in milliseconds, is dropped.
pub const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// A server's clock may run this much slow, so that a lease lasts longer.
const CLOCK_SLOWDOWN: f64 = 1.02;
/// How often it sends a heartbeat of its own accord.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// It sends a heartbeat so soon after a run has ended.
const END_REPORT_MS: u64 = 50;
/// A heartbeat lists so many ends.
const MAX_LISTED_ENDS: usize = 500;

/// What a server does with its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// It works.
    Healthy,
    /// Everything that it starts fails soon.
    Failing,
    /// Everything takes longer.
    Slow,
    /// Nothing moves.
    Stalled,
}

/// What the response to an earlier heartbeat does while the server waits for that of a later one. Its orders count in
/// neither case unless it is in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutdatedResponses {
    /// Nothing.
    Ignored,
    /// It ends the wait, so that the server sends its next heartbeat when that is due.
    EndWait,
}

/// How a simulation's servers read responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// A longer lease is cut to this, in milliseconds.
    pub max_lease_ms: u64,
    /// What the response to an earlier heartbeat does.
    pub outdated_responses: OutdatedResponses,
}

/// An end that the owner has not recorded yet, as far as the server knows.
#[derive(Clone, Debug)]
pub(crate) struct ServerEnd {
    pub(crate) finished: FinishedTask,
    pub(crate) at: u64,
    /// Whether the server's lease has expired since: the owner may have inferred another end meanwhile.
    pub(crate) lease_expired_since: bool,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub struct ModelServer {
    facts: ServerFacts,
    settings: ServerSettings,
    pub(crate) behavior: ServerBehavior,
    /// The highest token that it has seen.
    token: FencingToken,
    lease_until: u64,
    pub(crate) runs: BTreeMap<TaskId, ServerRun>,
    ends: Vec<ServerEnd>,
    /// The number of the newest end.
    last_end: u64,
    /// The highest attempt of each task that has ended here.
    ended: BTreeMap<TaskId, Attempt>,
    draining_since: Option<u64>,
    shuts_down_at: Option<u64>,
    next_heartbeat_at: u64,
    /// When it sent the heartbeat whose response it waits for.
    awaiting_since: Option<u64>,
}

impl ModelServer {
    /// A server that begins now, without a lease.
    pub(crate) fn new(facts: ServerFacts, settings: ServerSettings, now: u64) -> ModelServer {
        ModelServer {
            facts,
            settings,
            behavior: ServerBehavior::Healthy,
            token: FencingToken(0),
            lease_until: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            ended: BTreeMap::new(),
            draining_since: None,
            shuts_down_at: None,
            next_heartbeat_at: now,
            awaiting_since: None,
        }
    }

    /// Its identity in this incarnation.
    pub fn id(&self) -> &ServerId {
        &self.facts.id
    }

    /// What it says of itself.
    pub fn facts(&self) -> &ServerFacts {
        &self.facts
    }

    /// Since when it drains.
    pub fn draining_since(&self) -> Option<u64> {
        self.draining_since
    }

    /// When it shuts down, if it drains.
    pub fn shuts_down_at(&self) -> Option<u64> {
        self.shuts_down_at
    }

    /// Changes what it does with its work.
    pub fn set_behavior(&mut self, behavior: ServerBehavior) {
        self.behavior = behavior;
    }

    /// Begins to drain, unless it does so already.
    pub fn drain(&mut self, now: u64, shuts_down_at: u64) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.shuts_down_at = Some(shuts_down_at);
        }
    }

    /// What its runs need together.
    pub(crate) fn used(&self) -> Resources {
        self.runs
            .values()
            .fold(Resources::default(), |total, run| Resources {
                cpu: total.cpu + run.needs.cpu,
                memory_mb: total.memory_mb + run.needs.memory_mb,
                gpu: total.gpu + run.needs.gpu,
            })
    }

    /// Whether it has a lease.
    pub(crate) fn has_lease(&self, now: u64) -> bool {
        now < self.lease_until
    }

    /// Whether a heartbeat is due, and none is out.
    pub fn wants_heartbeat(&self, now: u64) -> bool {
        let waits = self
            .awaiting_since
            .is_some_and(|since| now < since + RESPONSE_TIMEOUT_MS);
        now >= self.next_heartbeat_at && !waits
    }

    /// Sends a heartbeat.
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
            // Sequence numbers begin at 1, moments at 0.
            sequence: now + 1,
            draining: self.draining_since.is_some(),
            remaining_ms: self.shuts_down_at.map(|at| at.saturating_sub(now)),
            running: running.collect(),
            finished: finished.map(|end| end.finished.clone()).collect(),
            orders_seen: 0,
        }
    }

    /// When this heartbeat of a server was sent.
    pub fn sent_at(heartbeat: &Heartbeat) -> u64 {
        heartbeat.sequence - 1
    }

    /// Takes token and lease of a response. Returns whether its orders are to be followed.
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
            let lasts_ms = (lease_ms as f64 * CLOCK_SLOWDOWN) as u64;
            let until = response.heartbeat_sent_at + lasts_ms;
            self.lease_until = self.lease_until.max(until);
        }
        true
    }

    /// Drops and returns the ends up to this number, which the owner has recorded.
    pub(crate) fn remove_observed_ends(&mut self, observed: u64) -> Vec<ServerEnd> {
        let (removed, rest) = self
            .ends
            .drain(..)
            .partition(|end| end.finished.number <= observed);
        self.ends = rest;
        removed
    }

    /// Records for all ends that are not recorded yet that the lease has expired since.
    pub(crate) fn record_lease_expiry(&mut self) {
        for end in &mut self.ends {
            end.lease_expired_since = true;
        }
    }

    /// Whether an attempt is above all that ended here, and the task does not run.
    pub(crate) fn is_newer(&self, task: TaskId, attempt: Attempt) -> bool {
        let above_ended = self.ended.get(&task).is_none_or(|ended| attempt > *ended);
        above_ended && !self.runs.contains_key(&task)
    }

    /// Runs of the same step and occurrence as this task.
    pub(crate) fn siblings(&self, task: TaskId) -> u32 {
        let siblings = self.runs.keys().filter(|other| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        });
        siblings.count() as u32
    }

    /// Ends a run, and lists its end.
    pub(crate) fn end(&mut self, task: TaskId, end: RunEnd, now: u64) -> Option<ServerRun> {
        let run = self.runs.remove(&task)?;
        let checkpoint = if end == RunEnd::Done {
            String::new()
        } else {
            run.checkpoint(task)
        };
        self.last_end += 1;
        self.ends.push(ServerEnd {
            finished: FinishedTask {
                number: self.last_end,
                task,
                attempt: run.attempt,
                end,
                checkpoint,
            },
            at: now,
            lease_expired_since: false,
        });
        let ended = self.ended.entry(task).or_insert(0);
        *ended = run.attempt.max(*ended);
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + END_REPORT_MS);
        Some(run)
    }
}
