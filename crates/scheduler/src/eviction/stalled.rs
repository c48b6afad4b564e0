//! Runs that make no progress, or that their server never began.

use crate::estimator::Estimator;
use crate::runs::run::Run;
use crate::runs::table::RunTable;
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;

/// By this part of its expected duration a run may stand still for longer, in percent.
const STALL_PERCENT: u64 = 15;
/// A start that its server does not list within this time is taken back, in milliseconds.
const MAX_UNLISTED_MS: u64 = 5_000;
/// A run is overdue after this many times its expected duration.
const OVERDUE_FACTOR: u64 = 2;

/// A run that takes much longer than expected.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OverdueRun {
    /// Its task.
    pub(crate) task: TaskId,
    /// Its server.
    pub(crate) server: ServerId,
    /// How many times as long as expected it is going to take, by its progress.
    pub(crate) ratio: f64,
}

/// A run that makes no progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StalledRun {
    /// Its task.
    pub(crate) task: TaskId,
    /// Its server.
    pub(crate) server: ServerId,
    /// Whether its server has begun it, and is to blame.
    pub(crate) has_begun: bool,
}

/// Finds the runs that are late or make no progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallDetector<'a> {
    /// The servers.
    pub(crate) servers: &'a ServerTable,
    /// The runs.
    pub(crate) runs: &'a RunTable,
    /// How long runs are expected to take.
    pub(crate) estimator: Estimator<'a>,
    /// The settings.
    pub(crate) settings: &'a SchedulerSettings,
    /// The moment.
    pub(crate) now: Millis,
}

impl StallDetector<'_> {
    /// The runs that take much longer than expected and were not counted as such before.
    pub(crate) fn overdue(&self) -> Vec<OverdueRun> {
        self.runs
            .iter()
            .filter(|run| run.shows_duration() && !run.overdue && !run.ended)
            .filter_map(|run| {
                Some(OverdueRun {
                    task: run.task,
                    server: run.server.clone(),
                    ratio: self.overdue_ratio(run)?,
                })
            })
            .collect()
    }

    /// The runs that make no progress, although their servers are reachable.
    pub(crate) fn stalled(&self) -> Vec<StalledRun> {
        self.runs
            .iter()
            .filter(|run| self.is_stalled(run))
            .map(|run| StalledRun {
                task: run.task,
                server: run.server.clone(),
                has_begun: run.running_since.is_some(),
            })
            .collect()
    }

    fn overdue_ratio(&self, run: &Run) -> Option<f64> {
        let elapsed_ms = self.now.since(run.running_since?);
        let total_ms = self.estimator.total_ms(&run.profile).max(1);
        let part_done = f64::from(run.percent.clamp(1, 100)) / 100.0;
        let ratio = elapsed_ms as f64 / (total_ms as f64 * part_done);
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

    /// For how long a run has made no progress, in milliseconds. A member of a gang only works while
    /// all others are there.
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
        let expected_ms = self.estimator.near_ms(&run.profile);
        let part_ms = expected_ms.saturating_mul(STALL_PERCENT) / 100;
        self.settings.stall_ms + self.settings.restore_ms + part_ms
    }
}
