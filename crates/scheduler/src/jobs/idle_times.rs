//! For how long jobs with waiting tasks have had nothing running.

use crate::placement::demand::Demand;
use crate::runs::table::RunTable;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// A job with waiting tasks and nothing running.
#[derive(Clone, Copy, Debug)]
struct IdleJob {
    since: Millis,
    /// The last round in which it was seen.
    seen_at: Millis,
}

/// The jobs with waiting tasks and nothing running, and since when they have been idle.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleTimes(BTreeMap<JobId, IdleJob>);

impl IdleTimes {
    /// Updates the times with the waiting steps of a round.
    pub(crate) fn update(&mut self, demands: &[Demand<'_>], runs: &RunTable, now: Millis) {
        for demand in demands.iter().filter(|demand| runs.is_idle(demand.id)) {
            let new = IdleJob {
                since: now,
                seen_at: now,
            };
            self.0.entry(demand.id).or_insert(new).seen_at = now;
        }
        self.0.retain(|_, job| job.seen_at == now);
    }

    /// For how long a job has been idle, in milliseconds; 0 if it is not.
    pub(crate) fn idle_ms(&self, job: JobId, now: Millis) -> u64 {
        self.0.get(&job).map_or(0, |job| now.since(job.since))
    }
}
