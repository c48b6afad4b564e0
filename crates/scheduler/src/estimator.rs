//! When runs are expected to end.

use crate::history::durations::Durations;
use crate::runs::table::Run;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::time::Millis;

/// Stands for work that does not end by itself, in milliseconds.
pub const NEVER_MS: u64 = 1 << 40;
/// From a start's decision until its server has it, in milliseconds.
const START_DELAY_MS: u64 = 200;

/// How long a run is expected to take in all, in milliseconds.
pub fn total_ms(run: &Run, durations: &Durations) -> u64 {
    if run.traits.long_running {
        return NEVER_MS;
    }
    let near_ms = durations.expected_ms(&run.traits.queue, run.traits.estimate_ms);
    (near_ms as f64 * run.traits.distance_factor) as u64
}

/// How long a run is expected to take room from now on, in milliseconds.
pub fn rest_ms(run: &Run, durations: &Durations, settings: &SchedulerSettings, now: Millis) -> u64 {
    if run.ended {
        return 0;
    }
    if run.stop.is_some() {
        return settings.max_stop_ms;
    }
    let total = total_ms(run, durations);
    let Some(since) = run.running_since else {
        return total.saturating_add(START_DELAY_MS);
    };
    if run.traits.long_running {
        return total;
    }
    let left_percent = 100_u64.saturating_sub(u64::from(run.percent));
    let by_progress = total.saturating_mul(left_percent) / 100;
    let since_progress = now.since(run.progressed_at.max(since));
    by_progress
        .saturating_sub(since_progress)
        .max(by_progress / 4)
        .max(1)
}
