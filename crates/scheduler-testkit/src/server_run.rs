//! A run on a modelled server.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::server::RunEnd;

/// The work between two checkpoints.
const CHECKPOINT_INTERVAL_MS: f64 = 1_000.0;
/// The delay of a start without a checkpoint.
const START_DELAY_MS: u64 = 10;
/// The further delay of a start from a checkpoint.
const RESTORE_DELAY_MS: u64 = 200;
/// The factor on a run's duration on a server without the label of its affinity.
const REMOTE_FACTOR: f64 = 1.5;
/// The fraction of its work after which a run with an injected failure fails.
const INJECTED_FAILURE_FRACTION: f64 = 0.95;
/// The largest fraction of the work that a checkpoint covers. It is below 1: a checkpoint never covers all work.
const MAX_CHECKPOINT_FRACTION: f64 = 0.99;

/// How a run performs its task's work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunPlan {
    /// The factor of the run's duration to the estimate.
    pub(crate) work_factor: f64,
    /// Whether the server has the label of the step's affinity.
    pub(crate) has_affinity_label: bool,
    /// Whether the run has an injected failure.
    pub(crate) has_injected_failure: bool,
}

/// A run on a modelled server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRun {
    pub(crate) attempt: Attempt,
    pub(crate) needs: Resources,
    pub(crate) started_at: u64,
    /// When the work begins. Before that, the run starts or restores its checkpoint.
    pub(crate) work_begins_at: u64,
    /// The work done, in milliseconds on this server.
    done_work_ms: f64,
    /// All work, in milliseconds on this server.
    total_work_ms: f64,
    /// The work that its last checkpoint covers.
    checkpointed_work_ms: f64,
    writes_checkpoints: bool,
    pub(crate) gang: bool,
    long_running: bool,
    /// The work after which the run fails, if it has an injected failure.
    fails_after_work_ms: Option<f64>,
    /// When the run stops, if it was ordered to.
    pub(crate) stops_at: Option<u64>,
}

impl ServerRun {
    /// Starts a run of a task of `step` from this checkpoint.
    pub(crate) fn new(
        attempt: Attempt,
        step: &Step,
        checkpoint: &str,
        plan: RunPlan,
        now: u64,
    ) -> ServerRun {
        let remote_factor = if plan.has_affinity_label {
            1.0
        } else {
            REMOTE_FACTOR
        };
        let total_work_ms = step.estimate_ms as f64 * (plan.work_factor * remote_factor);
        let checkpointed_work_ms = checkpoint_fraction(checkpoint) * total_work_ms;
        let restore_ms = if checkpoint.is_empty() {
            0
        } else {
            RESTORE_DELAY_MS
        };
        ServerRun {
            attempt,
            needs: step.needs,
            started_at: now,
            work_begins_at: now + START_DELAY_MS + restore_ms,
            done_work_ms: checkpointed_work_ms,
            total_work_ms,
            checkpointed_work_ms,
            writes_checkpoints: step.checkpoints,
            gang: step.gang,
            long_running: step.long_running,
            fails_after_work_ms: plan
                .has_injected_failure
                .then_some(total_work_ms * INJECTED_FAILURE_FRACTION),
            stops_at: None,
        }
    }

    /// Adds `work_ms` of work. Returns the run's end if it has ended.
    pub(crate) fn work(&mut self, work_ms: f64) -> Option<RunEnd> {
        self.done_work_ms += work_ms;
        if self.writes_checkpoints
            && self.done_work_ms >= self.checkpointed_work_ms + CHECKPOINT_INTERVAL_MS
        {
            self.checkpointed_work_ms = self.done_work_ms;
        }
        if self
            .fails_after_work_ms
            .is_some_and(|at| self.done_work_ms >= at)
        {
            return Some(RunEnd::Failed);
        }
        let done = self.done_work_ms >= self.total_work_ms && !self.long_running;
        done.then_some(RunEnd::Done)
    }

    /// Writes a final checkpoint, if the step writes checkpoints.
    pub(crate) fn write_last_checkpoint(&mut self) {
        if self.writes_checkpoints {
            self.checkpointed_work_ms = self.checkpointed_work_ms.max(self.done_work_ms);
        }
    }

    /// The part of the work that is done, in percent.
    pub(crate) fn percent(&self) -> u32 {
        (100.0 * self.done_work_ms / self.total_work_ms.max(1.0)).clamp(0.0, 100.0) as u32
    }

    /// The text of its last checkpoint: job, occurrence and step, and the fraction of the work that it covers.
    pub(crate) fn checkpoint(&self, task: TaskId) -> String {
        if self.checkpointed_work_ms <= 0.0 {
            return String::new();
        }
        let fraction = self.checkpointed_work_ms / self.total_work_ms.max(1.0);
        let fraction = fraction.min(MAX_CHECKPOINT_FRACTION);
        format!("{}{fraction:.4}", checkpoint_prefix(task))
    }
}

/// The prefix of all checkpoints of a task's step.
pub(crate) fn checkpoint_prefix(task: TaskId) -> String {
    format!("{}.{}.{}/", task.job, task.occurrence, task.step)
}

/// The fraction of the work that a checkpoint covers.
fn checkpoint_fraction(checkpoint: &str) -> f64 {
    checkpoint
        .rsplit('/')
        .next()
        .and_then(|fraction| fraction.parse().ok())
        .unwrap_or(0.0)
}
