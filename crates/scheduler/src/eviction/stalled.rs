//! Detects runs that make no progress, and runs that their server never started.

use crate::estimator::Estimator;
use crate::runs::run::Run;
use crate::runs::table::RunTable;
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;

/// The part of its expected duration by which the stall timeout of a run is extended, in percent.
const STALL_PERCENT: u64 = 15;
/// The maximum time until a server lists a run that it was ordered to start, in milliseconds. After
/// it the run is stopped.
const MAX_UNLISTED_MS: u64 = 5_000;
/// A run is overdue after this multiple of its expected duration.
const OVERDUE_FACTOR: u64 = 2;

/// A run that takes much longer than expected.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OverdueRun {
    pub(crate) task: TaskId,
    pub(crate) server: ServerId,
    /// The ratio of its duration, extrapolated from its progress, to its expected duration.
    pub(crate) ratio: f64,
}

/// A run that makes no progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StalledRun {
    pub(crate) task: TaskId,
    pub(crate) server: ServerId,
    /// Whether its server has started it, so that the stall counts as a fault of the server.
    pub(crate) was_started: bool,
}

/// Finds runs that are overdue and runs that make no progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallDetector<'a> {
    pub(crate) servers: &'a ServerTable,
    pub(crate) runs: &'a RunTable,
    /// Estimates of how long runs take.
    pub(crate) estimator: Estimator<'a>,
    pub(crate) settings: &'a SchedulerSettings,
    /// The time of the round.
    pub(crate) now: Millis,
}

impl StallDetector<'_> {
    /// The runs that take much longer than expected and have not been counted as overdue yet.
    pub(crate) fn overdue(&self) -> Vec<OverdueRun> {
        self.runs
            .iter()
            .filter(|run| run.is_duration_sample() && !run.overdue && !run.ended)
            .filter_map(|run| {
                Some(OverdueRun {
                    task: run.task,
                    server: run.server.clone(),
                    ratio: self.overdue_ratio(run)?,
                })
            })
            .collect()
    }

    /// The runs that make no progress although their servers are reachable.
    pub(crate) fn stalled(&self) -> Vec<StalledRun> {
        self.runs
            .iter()
            .filter(|run| self.is_stalled(run))
            .map(|run| StalledRun {
                task: run.task,
                server: run.server.clone(),
                was_started: run.running_since.is_some(),
            })
            .collect()
    }

    fn overdue_ratio(&self, run: &Run) -> Option<f64> {
        let elapsed_ms = self.now.since(run.running_since?);
        let total_ms = self.estimator.total_ms(&run.profile).max(1);
        let fraction_done = f64::from(run.percent.clamp(1, 100)) / 100.0;
        let ratio = elapsed_ms as f64 / (total_ms as f64 * fraction_done);
        (elapsed_ms > OVERDUE_FACTOR * total_ms).then_some(ratio)
    }

    fn is_stalled(&self, run: &Run) -> bool {
        if !run.should_run() || !self.is_reachable(&run.server) {
            return false;
        }
        if run.running_since.is_none() {
            let waited_ms = self.now.since(run.progressed_at);
            return run.start_ordered_in.is_some() && waited_ms > MAX_UNLISTED_MS;
        }
        !run.profile.long_running && self.without_progress_ms(run) > self.stall_timeout_ms(run)
    }

    fn is_reachable(&self, server: &ServerId) -> bool {
        let timeout_ms = self.settings.heartbeat_timeout_ms;
        self.servers
            .get(server)
            .is_some_and(|server| server.is_reachable(self.now, timeout_ms))
    }

    /// The time since a run last made progress, in milliseconds. A member of a gang makes progress
    /// only while all other members run, so for a gang the time counts from the latest start of a
    /// member.
    fn without_progress_ms(&self, run: &Run) -> u64 {
        let mut since = run.progressed_at;
        if run.profile.gang {
            let gang = self
                .runs
                .of_step(run.task)
                .filter(|member| member.attempt == run.attempt);
            for member in gang {
                since = since.max(member.running_since.unwrap_or(self.now));
            }
        }
        self.now.since(since)
    }

    fn stall_timeout_ms(&self, run: &Run) -> u64 {
        let expected_ms = self.estimator.local_ms(&run.profile);
        let extension_ms = expected_ms.saturating_mul(STALL_PERCENT) / 100;
        self.settings.stall_ms + self.settings.restore_ms + extension_ms
    }
}
