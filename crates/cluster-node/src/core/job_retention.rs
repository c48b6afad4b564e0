//! When jobs that ended long ago are dropped from the record, so that it stays bounded by the open jobs and those that
//! ended lately.

use super::moment::Moment;
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};

/// Between two looks for jobs that may be dropped, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 5_000;

/// How long ended jobs are remembered.
#[derive(Debug)]
pub(super) struct JobRetention {
    remember_ms: u64,
    last_sweep_at: Millis,
}

impl JobRetention {
    /// Remembers ended jobs for so many milliseconds.
    pub(super) fn new(remember_ms: u64) -> JobRetention {
        JobRetention {
            remember_ms,
            last_sweep_at: Millis(0),
        }
    }

    /// Whether the head should look for jobs that may be dropped.
    pub(super) fn is_sweep_due(&self, now: Millis) -> bool {
        now.since(self.last_sweep_at) >= SWEEP_INTERVAL_MS
    }

    /// Looks for jobs that may be dropped; returns the operation that drops them.
    pub(super) fn sweep(&mut self, state: &ControlState, moment: Moment) -> Option<Operation> {
        self.last_sweep_at = moment.now;
        let ended_before = WallMillis(moment.wall.0.saturating_sub(self.remember_ms));
        let is_old = |job: &JobRecord| job.ended_at.is_some_and(|ended_at| ended_at < ended_before);
        let has_old = state.jobs().values().any(is_old);
        has_old.then_some(Operation::ForgetJobs { ended_before })
    }
}
