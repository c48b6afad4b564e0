//! Evacuation of draining servers: runs that would not end there in time continue on another
//! server.

use crate::estimator::Estimator;
use crate::eviction::unclaimed::UnclaimedCapacity;
use crate::runs::run::{Run, StopReason};
use crate::runs::table::RunTable;
use crate::servers::server::Server;
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;

/// If a server does not list a run within this time after it began to drain, in milliseconds, it
/// never started the run.
const MAX_UNSTARTED_MS: u64 = 500;
/// The time to deliver the order to stop, in addition to the duration of the stop itself, in
/// milliseconds.
const STOP_DELIVERY_MS: u64 = 1_000;
/// A run without checkpoints is restarted on another server only if its expected remaining time
/// exceeds this percentage of the time until the server's drain deadline.
const MIN_RESTART_PERCENT: u64 = 150;

/// The action for a run on a draining server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainAction {
    /// Let it continue: it ends in time, or a restart on another server would not end it earlier.
    Continue,
    /// Stop it if another server has capacity for it.
    StopIfMovable,
    /// Stop it now.
    StopNow,
}

/// Stops runs on draining servers.
#[derive(Debug)]
pub(crate) struct Evacuation<'a> {
    pub(crate) servers: &'a ServerTable,
    pub(crate) runs: &'a mut RunTable,
    /// Estimates of when runs end.
    pub(crate) estimator: Estimator<'a>,
    pub(crate) settings: &'a SchedulerSettings,
    /// The time of the round.
    pub(crate) now: Millis,
}

impl Evacuation<'_> {
    /// Stops the runs on draining servers that should continue on another server.
    pub(crate) fn run(&mut self, mut unclaimed: UnclaimedCapacity) {
        self.claim_for_stopping_runs(&mut unclaimed);
        let servers = self.servers;
        for (id, server) in servers.iter() {
            if let Some(since) = server.draining_since {
                self.evacuate(id, server, since, &mut unclaimed);
            }
        }
    }

    /// Claims capacity for the draining runs that are already being stopped, so that it is not
    /// promised to other runs.
    fn claim_for_stopping_runs(&self, unclaimed: &mut UnclaimedCapacity) {
        let moving = self
            .runs
            .iter()
            .filter(|run| run.stop == Some(StopReason::Draining));
        for run in moving {
            unclaimed.claim(&run.profile.needs, &run.profile.requires);
        }
    }

    fn evacuate(
        &mut self,
        id: &ServerId,
        server: &Server,
        since: Millis,
        unclaimed: &mut UnclaimedCapacity,
    ) {
        let drain_deadline = server
            .drain_deadline
            .unwrap_or_else(|| since.plus(self.settings.drain_ms));
        let mut stopped: Vec<TaskId> = Vec::new();
        for run in self.runs.of_server(id).filter(|run| run.should_run()) {
            let is_stopped = match self.action_for(run, since, drain_deadline) {
                DrainAction::Continue => false,
                DrainAction::StopIfMovable => {
                    unclaimed.claim(&run.profile.needs, &run.profile.requires)
                }
                DrainAction::StopNow => true,
            };
            if is_stopped {
                stopped.push(run.task);
            }
        }
        for task in stopped {
            self.runs.request_stop(task, StopReason::Draining);
        }
    }

    fn action_for(&self, run: &Run, draining_since: Millis, drain_deadline: Millis) -> DrainAction {
        if run.running_since.is_none() {
            return if self.now.since(draining_since) >= MAX_UNSTARTED_MS {
                DrainAction::StopNow
            } else {
                DrainAction::Continue
            };
        }
        let until_deadline_ms = drain_deadline.since(self.now);
        let remaining_ms = self.estimator.remaining_ms(run);
        if remaining_ms <= until_deadline_ms {
            return DrainAction::Continue;
        }
        let must_stop_now = until_deadline_ms <= self.settings.max_stop_ms + STOP_DELIVERY_MS;
        let is_restart_better = remaining_ms.saturating_mul(100)
            > until_deadline_ms.saturating_mul(MIN_RESTART_PERCENT);
        match (run.profile.checkpoints, is_restart_better) {
            (true, _) if must_stop_now => DrainAction::StopNow,
            (true, _) | (false, true) => DrainAction::StopIfMovable,
            (false, false) => DrainAction::Continue,
        }
    }
}
