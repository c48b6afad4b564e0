//! A server that follows the protocol: fencing, attempts, leases, lists of runs and of ended runs.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, FencingToken, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use std::collections::BTreeMap;

/// Factor by which a slow server clock prolongs a lease.
const SLOW_CLOCK_FACTOR: f64 = 1.02;
/// The longest lease that a server accepts, in milliseconds.
pub(crate) const MAX_LEASE_MS: u64 = 3_000;
/// Replies older than this are dropped, in milliseconds.
pub(crate) const MAX_REPLY_AGE_MS: u64 = 1_000;
/// Maximum number of ended runs in a heartbeat.
const MAX_LISTED_ENDS: usize = 500;

/// How a server treats its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Runs proceed normally.
    Healthy,
    /// Every run fails shortly after its start.
    Failing,
    /// Runs take longer.
    Slow,
    /// Runs make no progress.
    Stalled,
}

/// A run on the server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRun {
    pub attempt: Attempt,
    pub needs: Resources,
    pub started_at: u64,
    /// The run makes no progress before this time: it restores a checkpoint or starts up.
    pub works_from: u64,
    /// Completed and total work, in milliseconds on this server.
    pub done_ms: f64,
    pub total_ms: f64,
    pub saved_ms: f64,
    pub checkpoints: bool,
    pub gang: bool,
    pub long_running: bool,
    /// Work after which the run fails through its own fault, if it does.
    pub fails_at_ms: Option<f64>,
    pub stops_at: Option<u64>,
}

impl ServerRun {
    fn percent(&self) -> u32 {
        (100.0 * self.done_ms / self.total_ms.max(1.0)).clamp(0.0, 100.0) as u32
    }

    /// The text of its checkpoint: job, step, occurrence time, and the completed part of the work.
    pub(crate) fn saved_text(&self, task: TaskId) -> String {
        if self.saved_ms <= 0.0 {
            return String::new();
        }
        let part = self.saved_ms / self.total_ms.max(1.0);
        format!(
            "{}.{}.{}/{:.4}",
            task.job,
            task.occurrence,
            task.step,
            part.min(0.99)
        )
    }
}

/// An ended run whose end the control plane has not confirmed as observed.
#[derive(Clone, Debug)]
pub(crate) struct ServerEnd {
    pub finished: FinishedTask,
    pub at: u64,
    /// Whether the server's lease has expired since.
    pub lease_expired_since: bool,
}

/// A command in a reply to start a run.
#[derive(Clone, Debug)]
pub(crate) struct StartCommand {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: String,
    pub checkpoint: String,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReply {
    pub heartbeat_sent_at: u64,
    pub token: FencingToken,
    pub lease_ms: u64,
    pub observed: u64,
    pub starts: Vec<StartCommand>,
    pub stops: Vec<(TaskId, Attempt)>,
    pub retry_after_ms: u64,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct ModelServer {
    pub facts: ServerFacts,
    pub behavior: ServerBehavior,
    pub token: FencingToken,
    pub lease_until: u64,
    pub runs: BTreeMap<TaskId, ServerRun>,
    pub ends: Vec<ServerEnd>,
    pub last_number: u64,
    /// The highest attempt of each task that has ended or was stopped here.
    pub ended: BTreeMap<TaskId, Attempt>,
    pub draining_since: Option<u64>,
    pub shuts_down_at: Option<u64>,
    pub next_heartbeat_at: u64,
    pub awaiting_since: Option<u64>,
}

impl ModelServer {
    pub(crate) fn new(facts: ServerFacts, now: u64) -> ModelServer {
        ModelServer {
            facts,
            behavior: ServerBehavior::Healthy,
            token: FencingToken(0),
            lease_until: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
            ended: BTreeMap::new(),
            draining_since: None,
            shuts_down_at: None,
            next_heartbeat_at: now,
            awaiting_since: None,
        }
    }

    pub(crate) fn id(&self) -> &ServerId {
        &self.facts.id
    }

    pub(crate) fn used(&self) -> Resources {
        self.runs
            .values()
            .fold(Resources::default(), |total, run| Resources {
                cpu: total.cpu + run.needs.cpu,
                memory_mb: total.memory_mb + run.needs.memory_mb,
                gpu: total.gpu + run.needs.gpu,
            })
    }

    pub(crate) fn is_heartbeat_due(&self, now: u64) -> bool {
        let answer_is_out = self
            .awaiting_since
            .is_some_and(|since| now < since + MAX_REPLY_AGE_MS);
        now >= self.next_heartbeat_at && !answer_is_out
    }

    pub(crate) fn heartbeat(&mut self, now: u64) -> Heartbeat {
        self.awaiting_since = Some(now);
        self.next_heartbeat_at = now + 400;
        let running = self.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            attempt: run.attempt,
            checkpoint: run.saved_text(*task),
            percent: run.percent(),
        });
        Heartbeat {
            server: self.facts.id.clone(),
            sequence: now + 1,
            draining: self.draining_since.is_some(),
            remaining_ms: self.shuts_down_at.map(|at| at.saturating_sub(now)),
            running: running.collect(),
            finished: self
                .ends
                .iter()
                .take(MAX_LISTED_ENDS)
                .map(|end| end.finished.clone())
                .collect(),
            orders_seen: 0,
        }
    }

    /// Whether the reply carries commands under a lower token than one seen before.
    pub(crate) fn refuses(&self, answer: &HeartbeatReply) -> bool {
        let has_effect =
            answer.lease_ms > 0 || !answer.starts.is_empty() || !answer.stops.is_empty();
        has_effect && answer.token < self.token
    }

    /// Applies the lease and the observed ends of a reply; returns whether its commands have to be followed.
    pub(crate) fn take_reply(&mut self, answer: &HeartbeatReply, now: u64) -> bool {
        self.awaiting_since = None;
        if now > answer.heartbeat_sent_at + MAX_REPLY_AGE_MS || answer.token < self.token {
            return false;
        }
        self.token = answer.token;
        self.next_heartbeat_at = now + answer.retry_after_ms;
        let lease_ms = (answer.lease_ms.min(MAX_LEASE_MS) as f64 * SLOW_CLOCK_FACTOR) as u64;
        if answer.lease_ms > 0 {
            self.lease_until = self.lease_until.max(answer.heartbeat_sent_at + lease_ms);
        }
        true
    }

    /// Removes and returns the observed ends.
    pub(crate) fn observe(&mut self, observed: u64) -> Vec<ServerEnd> {
        let (observed_start, kept) = self
            .ends
            .drain(..)
            .partition(|end| end.finished.number <= observed);
        self.ends = kept;
        observed_start
    }

    /// Whether an attempt is higher than all attempts of its task that ended or run here.
    pub(crate) fn is_newer(&self, task: TaskId, attempt: Attempt) -> bool {
        let ended = self.ended.get(&task).is_none_or(|ended| attempt > *ended);
        ended && !self.runs.contains_key(&task)
    }

    /// Ends a run and lists it.
    pub(crate) fn end(&mut self, task: TaskId, end: RunEnd, now: u64) -> Option<ServerRun> {
        let run = self.runs.remove(&task)?;
        let checkpoint = if end == RunEnd::Done {
            String::new()
        } else {
            run.saved_text(task)
        };
        self.list_end(task, run.attempt, end, checkpoint, now);
        Some(run)
    }

    pub(crate) fn list_end(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        end: RunEnd,
        checkpoint: String,
        now: u64,
    ) {
        self.last_number += 1;
        let number = self.last_number;
        let finished = FinishedTask {
            number,
            task,
            attempt,
            end,
            checkpoint,
        };
        self.ends.push(ServerEnd {
            finished,
            at: now,
            lease_expired_since: false,
        });
        let ended = self.ended.entry(task).or_insert(0);
        *ended = (*ended).max(attempt);
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + 50);
    }
}
