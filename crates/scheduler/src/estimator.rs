//! When runs are expected to end.

use crate::history::durations::DurationModel;
use crate::runs::profile::RunProfile;
use crate::runs::run::Run;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::time::Millis;

/// Stands for work that does not end by itself, in milliseconds (about 35 years).
pub(crate) const NEVER_MS: u64 = 1 << 40;
/// From the proposal of a start until its server has it, in milliseconds.
const START_DELAY_MS: u64 = 200;
/// A run without recent progress is expected to need at least this part of what its progress
/// leaves.
const MIN_REMAINING_DIVISOR: u64 = 4;

/// Estimates at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimator<'a> {
    durations: &'a DurationModel,
    max_stop_ms: u64,
    now: Millis,
}

impl<'a> Estimator<'a> {
    /// Estimates at this moment.
    pub(crate) fn new(
        durations: &'a DurationModel,
        settings: &SchedulerSettings,
        now: Millis,
    ) -> Estimator<'a> {
        Estimator {
            durations,
            max_stop_ms: settings.max_stop_ms,
            now,
        }
    }

    /// How long a run is expected to take in all, in milliseconds.
    pub(crate) fn total_ms(&self, profile: &RunProfile) -> u64 {
        if profile.long_running {
            return NEVER_MS;
        }
        let near_ms = self.near_ms(profile);
        (near_ms as f64 * profile.distance_factor) as u64
    }

    /// How long a run is expected to take near its data, in milliseconds, whether or not it ends by
    /// itself.
    pub(crate) fn near_ms(&self, profile: &RunProfile) -> u64 {
        self.durations
            .expected_ms(&profile.queue, profile.estimate_ms)
    }

    /// For how long from now on a run is expected to take capacity, in milliseconds.
    pub(crate) fn remaining_ms(&self, run: &Run) -> u64 {
        if run.ended {
            return 0;
        }
        if run.stop.is_some() {
            return self.max_stop_ms;
        }
        let total_ms = self.total_ms(&run.profile);
        let Some(since) = run.running_since else {
            return total_ms.saturating_add(START_DELAY_MS);
        };
        if run.profile.long_running {
            return total_ms;
        }
        let remaining_percent = 100_u64.saturating_sub(u64::from(run.percent));
        let by_progress_ms = total_ms.saturating_mul(remaining_percent) / 100;
        let since_progress_ms = self.now.since(run.progressed_at.max(since));
        by_progress_ms
            .saturating_sub(since_progress_ms)
            .max(by_progress_ms / MIN_REMAINING_DIVISOR)
            .max(1)
    }
}
