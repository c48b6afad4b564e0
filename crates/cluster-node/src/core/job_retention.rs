//! Removal of jobs that ended long ago, which bounds the state by the open jobs and those that ended recently.

use super::moment::Moment;
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};

/// Interval between sweeps for jobs that may be dropped, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 5_000;

/// The retention time of ended jobs.
#[derive(Debug)]
pub(super) struct JobRetention {
    remember_ms: u64,
    last_sweep_at: Millis,
}

impl JobRetention {
    /// Keeps ended jobs for `remember_ms` milliseconds.
    pub(super) fn new(remember_ms: u64) -> JobRetention {
        JobRetention {
            remember_ms,
            last_sweep_at: Millis(0),
        }
    }

    /// Whether the next sweep is due.
    pub(super) fn is_sweep_due(&self, now: Millis) -> bool {
        now.since(self.last_sweep_at) >= SWEEP_INTERVAL_MS
    }

    /// Searches for jobs that may be dropped. Returns the operation that drops them, if there are any.
    pub(super) fn sweep(&mut self, state: &ControlState, moment: Moment) -> Option<Operation> {
        self.last_sweep_at = moment.now;
        let ended_before = WallMillis(moment.wall.0.saturating_sub(self.remember_ms));
        let is_old = |job: &JobRecord| job.ended_at.is_some_and(|ended_at| ended_at < ended_before);
        let has_old = state.jobs().values().any(is_old);
        has_old.then_some(Operation::ForgetJobs { ended_before })
    }
}
