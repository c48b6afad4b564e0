//! Room that is kept free for urgent work.
//!
//! Urgent tasks are short and come all the time; when few of them run for a moment, longer work must not take all that
//! they left. What urgent work used at its recent peak stays free for it, up to a part of all capacity.

use crate::placement::candidate::Row;
use crate::resources::times;
use crate::runs::table::RunLedger;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// The priority of urgent work.
const URGENT: u32 = 0;
/// The remembered peak falls by half in this time, in milliseconds.
const PEAK_HALF_LIFE_MS: f64 = 8_000.0;
/// At most this part of the capacity is kept, in percent.
const KEPT_MOST_PERCENT: u64 = 20;

/// How much processor urgent work has used lately.
#[derive(Clone, Debug, Default)]
pub struct UrgentUse {
    current_cpu: u64,
    peak_cpu: f64,
    at: Millis,
}

impl UrgentUse {
    /// Notes what urgent work uses now.
    pub fn observe(&mut self, runs: &RunLedger, now: Millis) {
        let urgent = runs
            .iter()
            .filter(|run| run.traits.priority == URGENT && !run.ended);
        self.current_cpu = urgent.map(|run| run.traits.needs.cpu).sum();
        let faded = self.peak_cpu * 0.5_f64.powf(now.since(self.at) as f64 / PEAK_HALF_LIFE_MS);
        self.peak_cpu = faded.max(self.current_cpu as f64);
        self.at = now;
    }

    /// What is to be kept free on these servers together.
    pub fn headroom(&self, rows: &[Row]) -> Headroom {
        let capacity: u64 = rows.iter().map(|row| row.facts.capacity.cpu).sum();
        let kept_cpu = (self.peak_cpu as u64).saturating_sub(self.current_cpu);
        Headroom {
            free_cpu: rows.iter().map(|row| row.free.cpu).sum(),
            kept_cpu: kept_cpu.min(capacity * KEPT_MOST_PERCENT / 100),
        }
    }
}

/// What is free, and what of it is kept.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headroom {
    free_cpu: u64,
    kept_cpu: u64,
}

impl Headroom {
    /// Whether so many tasks of this priority may take room.
    pub fn allows(&self, priority: u32, needs: &Resources, count: u64) -> bool {
        let taken = times(needs, count).cpu;
        priority == URGENT || self.free_cpu.saturating_sub(taken) >= self.kept_cpu
    }

    /// Notes that room was taken.
    pub fn take(&mut self, needs: &Resources) {
        self.free_cpu = self.free_cpu.saturating_sub(needs.cpu);
    }
}
