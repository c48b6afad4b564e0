//! A server that follows the protocol: fencing, attempts, leases, lists of runs and ends.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, FencingToken, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use std::collections::BTreeMap;

/// A server's clock may run this much slow, so that a lease lasts longer.
const SLOW_CLOCK: f64 = 1.02;
/// The longest lease that a server accepts, in milliseconds.
pub(crate) const LEASE_MOST_MS: u64 = 3_000;
/// An answer later than this is dropped.
pub(crate) const MAX_REPLY_AGE_MS: u64 = 1_000;
/// A heartbeat lists so many ends.
const ENDS_LISTED: usize = 500;

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

/// A run on the server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRun {
    pub attempt: Attempt,
    pub needs: Resources,
    pub started_at: u64,
    /// Nothing happens before this moment: restoring, or a short start.
    pub works_from: u64,
    /// Work done and all work, in milliseconds on this server.
    pub done_ms: f64,
    pub total_ms: f64,
    pub saved_ms: f64,
    pub checkpoints: bool,
    pub gang: bool,
    pub long_running: bool,
    /// By its own fault it fails after so much work.
    pub fails_at_ms: Option<f64>,
    pub stops_at: Option<u64>,
}

impl ServerRun {
    fn percent(&self) -> u32 {
        (100.0 * self.done_ms / self.total_ms.max(1.0)).clamp(0.0, 100.0) as u32
    }

    /// The text of its checkpoint: its job, step and time, and the part of the work that is done.
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

/// An end that was not observed yet.
#[derive(Clone, Debug)]
pub(crate) struct ServerEnd {
    pub finished: FinishedTask,
    pub at: u64,
    /// Whether the server's lease has expired since.
    pub lease_expired_since: bool,
}

/// An order of an answer to start a run.
#[derive(Clone, Debug)]
pub(crate) struct StartCommand {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: String,
    pub checkpoint: String,
}

/// The answer to a heartbeat.
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
                .take(ENDS_LISTED)
                .map(|end| end.finished.clone())
                .collect(),
            orders_seen: 0,
        }
    }

    /// Whether the reply orders something under a lower token than one that was seen before.
    pub(crate) fn refuses(&self, answer: &HeartbeatReply) -> bool {
        let orders = answer.lease_ms > 0 || !answer.starts.is_empty() || !answer.stops.is_empty();
        orders && answer.token < self.token
    }

    /// Takes the lease and the observed ends of a reply; returns whether its commands are to be followed.
    pub(crate) fn take_reply(&mut self, answer: &HeartbeatReply, now: u64) -> bool {
        self.awaiting_since = None;
        if now > answer.heartbeat_sent_at + MAX_REPLY_AGE_MS || answer.token < self.token {
            return false;
        }
        self.token = answer.token;
        self.next_heartbeat_at = now + answer.retry_after_ms;
        let lease_ms = (answer.lease_ms.min(LEASE_MOST_MS) as f64 * SLOW_CLOCK) as u64;
        if answer.lease_ms > 0 {
            self.lease_until = self.lease_until.max(answer.heartbeat_sent_at + lease_ms);
        }
        true
    }

    /// Drops the ends that were observed, and gives them.
    pub(crate) fn observe(&mut self, observed: u64) -> Vec<ServerEnd> {
        let (observed_start, kept) = self
            .ends
            .drain(..)
            .partition(|end| end.finished.number <= observed);
        self.ends = kept;
        observed_start
    }

    /// Whether an attempt is above all that ended here and all that run.
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
