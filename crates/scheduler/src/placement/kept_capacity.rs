//! Which work may use capacity that is kept for other work: by a reservation, as headroom, or because a more urgent task
//! waits for it in the queue of its server.

use crate::jobs::idle_times::IdleTimes;
use crate::placement::candidate::Candidate;
use crate::placement::planner::MAX_IDLE_WAIT_MS;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// The exception for jobs that have been idle for too long in a service that is mostly free.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeptCapacityAccess<'a> {
    pub(crate) idle_times: &'a IdleTimes,
    /// Whether less than half of all capacity was in use when the pass began.
    pub(crate) is_under_half_used: bool,
    pub(crate) now: Millis,
}

impl KeptCapacityAccess<'_> {
    /// Whether work of this job may use kept capacity.
    pub(crate) fn is_granted_to(&self, job: JobId) -> bool {
        self.is_under_half_used && self.idle_times.idle_ms(job, self.now) >= MAX_IDLE_WAIT_MS
    }

    /// The capacity of a candidate that counts as free for work of this job and priority.
    pub(crate) fn free_for(&self, job: JobId, priority: u32, candidate: &Candidate) -> Resources {
        if self.is_granted_to(job) {
            candidate.free
        } else {
            candidate.free_for(priority)
        }
    }
}
