//! Estimates of how long runs take and when they end.

use crate::history::durations::DurationModel;
use crate::runs::profile::RunProfile;
use crate::runs::run::Run;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::time::Millis;

/// The duration of work that does not end by itself, in milliseconds (about 35 years).
pub(crate) const NEVER_MS: u64 = 1 << 40;
/// The expected time from the proposal of a start until its server receives it, in milliseconds.
const START_DELAY_MS: u64 = 200;
/// The lower bound of the remaining time of a run without recent progress is the remaining time by
/// its last reported progress, divided by this value.
const MIN_REMAINING_DIVISOR: u64 = 4;

/// Estimates at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimator<'a> {
    durations: &'a DurationModel,
    max_stop_ms: u64,
    now: Millis,
}

impl<'a> Estimator<'a> {
    /// Creates the estimator for the time `now`.
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

    /// The expected total duration of a run, in milliseconds.
    pub(crate) fn total_ms(&self, profile: &RunProfile) -> u64 {
        if profile.long_running {
            return NEVER_MS;
        }
        let local_ms = self.local_ms(profile);
        (local_ms as f64 * profile.distance_factor) as u64
    }

    /// The expected duration of a run on a server near its data, in milliseconds. For a
    /// long-running task this is its client's estimate corrected by the queue's ratio, although it
    /// does not end by itself.
    pub(crate) fn local_ms(&self, profile: &RunProfile) -> u64 {
        self.durations
            .expected_ms(&profile.queue, profile.estimate_ms)
    }

    /// For how long from now a run is expected to use capacity, in milliseconds.
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
