//! A run on a modelled server.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::server::RunEnd;

/// How much work lies between two checkpoints.
const CHECKPOINT_INTERVAL_MS: f64 = 1_000.0;
/// How long it takes to begin from nothing, and how much longer from a checkpoint.
const START_MS: u64 = 10;
const RESTORE_MS: u64 = 200;
/// How many times as long a run takes on a server without the label of its affinity.
const FAR_FACTOR: f64 = 1.5;
/// Part of its work after which a task that is to fail by its own fault does so.
const OWN_FAILURE_PART: f64 = 0.95;
/// A checkpoint never says that all is done.
const MAX_CHECKPOINT_PART: f64 = 0.99;

/// How a run takes its task's work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunPlan {
    /// How many times as long as estimated it takes.
    pub(crate) work_factor: f64,
    /// Whether the server has the label of the step's affinity.
    pub(crate) near: bool,
    /// Whether it fails by its own fault.
    pub(crate) fails: bool,
}

/// A run on the server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRun {
    pub(crate) attempt: Attempt,
    pub(crate) needs: Resources,
    pub(crate) started_at: u64,
    /// Nothing happens before this moment: it starts, or restores its checkpoint.
    pub(crate) works_from: u64,
    /// Work done and all work, in milliseconds on this server.
    done_ms: f64,
    total_ms: f64,
    /// Work that its last checkpoint covers.
    checkpoint_ms: f64,
    writes_checkpoints: bool,
    pub(crate) gang: bool,
    long_running: bool,
    /// After so much work it fails by its own fault.
    fails_at_ms: Option<f64>,
    /// When it stops, if it was ordered to.
    pub(crate) stops_at: Option<u64>,
}

impl ServerRun {
    /// A run of a step's task that is started now from this checkpoint.
    pub(crate) fn new(
        attempt: Attempt,
        step: &Step,
        checkpoint: &str,
        plan: RunPlan,
        now: u64,
    ) -> ServerRun {
        let far_factor = if plan.near { 1.0 } else { FAR_FACTOR };
        let total_ms = step.estimate_ms as f64 * (plan.work_factor * far_factor);
        let checkpoint_ms = checkpoint_part(checkpoint) * total_ms;
        let restore_ms = if checkpoint.is_empty() { 0 } else { RESTORE_MS };
        ServerRun {
            attempt,
            needs: step.needs,
            started_at: now,
            works_from: now + START_MS + restore_ms,
            done_ms: checkpoint_ms,
            total_ms,
            checkpoint_ms,
            writes_checkpoints: step.checkpoints,
            gang: step.gang,
            long_running: step.long_running,
            fails_at_ms: plan.fails.then_some(total_ms * OWN_FAILURE_PART),
            stops_at: None,
        }
    }

    /// Works for so long. Returns how it ended, if it did.
    pub(crate) fn work(&mut self, work_ms: f64) -> Option<RunEnd> {
        self.done_ms += work_ms;
        if self.writes_checkpoints && self.done_ms >= self.checkpoint_ms + CHECKPOINT_INTERVAL_MS {
            self.checkpoint_ms = self.done_ms;
        }
        if self.fails_at_ms.is_some_and(|at| self.done_ms >= at) {
            return Some(RunEnd::Failed);
        }
        let done = self.done_ms >= self.total_ms && !self.long_running;
        done.then_some(RunEnd::Done)
    }

    /// Writes a last checkpoint, if it writes any.
    pub(crate) fn write_last_checkpoint(&mut self) {
        if self.writes_checkpoints {
            self.checkpoint_ms = self.checkpoint_ms.max(self.done_ms);
        }
    }

    /// How much of its work is done, in percent.
    pub(crate) fn percent(&self) -> u32 {
        (100.0 * self.done_ms / self.total_ms.max(1.0)).clamp(0.0, 100.0) as u32
    }

    /// The text of its checkpoint: its job, occurrence and step, and the part of the work that is done.
    pub(crate) fn checkpoint(&self, task: TaskId) -> String {
        if self.checkpoint_ms <= 0.0 {
            return String::new();
        }
        let part = self.checkpoint_ms / self.total_ms.max(1.0);
        let part = part.min(MAX_CHECKPOINT_PART);
        format!("{}{part:.4}", checkpoint_prefix(task))
    }
}

/// What the checkpoints of a task's step begin with.
pub(crate) fn checkpoint_prefix(task: TaskId) -> String {
    format!("{}.{}.{}/", task.job, task.occurrence, task.step)
}

/// The part of the work that a checkpoint covers.
fn checkpoint_part(checkpoint: &str) -> f64 {
    checkpoint
        .rsplit('/')
        .next()
        .and_then(|part| part.parse().ok())
        .unwrap_or(0.0)
}
