//! Capacity that is kept free for urgent work.
//!
//! Urgent tasks are short and come all the time. When few of them run for a moment, longer work must
//! not take all that they left. So what urgent work used at its recent peak is kept free for it, up
//! to a part of all capacity.

use crate::placement::candidate::Candidate;
use crate::resources::times;
use crate::runs::table::RunTable;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// The priority of urgent work.
pub(crate) const URGENT_PRIORITY: u32 = 0;
/// In this time the remembered peak falls to a half, in milliseconds.
const PEAK_HALF_TIME_MS: f64 = 8_000.0;
/// At most this part of the capacity is kept free, in percent.
const MAX_RESERVE_PERCENT: u64 = 20;

/// How much processor urgent work has used lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentUsage {
    /// What it uses now, in thousandths of a core.
    current_millicores: u64,
    /// What it used at its peak, which decays, in thousandths of a core.
    peak_millicores: f64,
    /// When it was last observed.
    at: Millis,
}

impl UrgentUsage {
    /// Observes what urgent work uses now.
    pub(crate) fn observe(&mut self, runs: &RunTable, now: Millis) {
        self.current_millicores = runs
            .iter()
            .filter(|run| run.profile.priority == URGENT_PRIORITY && !run.ended)
            .map(|run| run.profile.needs.cpu)
            .sum();
        let halvings = now.since(self.at) as f64 / PEAK_HALF_TIME_MS;
        let decayed = self.peak_millicores * 0.5_f64.powf(halvings);
        self.peak_millicores = decayed.max(self.current_millicores as f64);
        self.at = now;
    }

    /// What is to be kept free on these candidates together.
    pub(crate) fn headroom(&self, candidates: &[Candidate]) -> Headroom {
        let capacity: u64 = candidates
            .iter()
            .map(|candidate| candidate.facts.capacity.cpu)
            .sum();
        let below_peak = (self.peak_millicores as u64).saturating_sub(self.current_millicores);
        Headroom {
            free_millicores: candidates.iter().map(|candidate| candidate.free.cpu).sum(),
            reserved_millicores: below_peak.min(capacity * MAX_RESERVE_PERCENT / 100),
        }
    }
}

/// What is free on all candidates, and how much of that is kept for urgent work; in thousandths of a
/// core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Headroom {
    free_millicores: u64,
    reserved_millicores: u64,
}

impl Headroom {
    /// Whether `count` tasks of this priority may take capacity.
    pub(crate) fn allows(&self, priority: u32, needs: &Resources, count: u64) -> bool {
        let taken = times(needs, count).cpu;
        priority == URGENT_PRIORITY
            || self.free_millicores.saturating_sub(taken) >= self.reserved_millicores
    }

    /// Capacity was taken.
    pub(crate) fn take(&mut self, needs: &Resources) {
        self.free_millicores = self.free_millicores.saturating_sub(needs.cpu);
    }
}
