//! Evacuation of draining servers: what would not end there in time is continued elsewhere.

use crate::estimator::Estimator;
use crate::eviction::unclaimed::UnclaimedCapacity;
use crate::runs::run::{Run, StopReason};
use crate::runs::table::RunTable;
use crate::servers::server::Server;
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;

/// A run that a draining server does not list within this time was never started, in milliseconds.
const MAX_UNSTARTED_MS: u64 = 500;
/// What is left beside the time of the stop itself to deliver the order, in milliseconds.
const STOP_DELIVERY_MS: u64 = 1_000;
/// Work without checkpoints is stopped, and begins anew elsewhere, where it needs more than this part of the time that is left,
/// in percent.
const RESTART_PERCENT: u64 = 150;

/// What happens to a run on a draining server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It ends in time, or nothing is gained by a move.
    Stay,
    /// It is stopped if there is capacity for it elsewhere.
    MoveIfPossible,
    /// It is stopped at once.
    StopNow,
}

/// Stops runs on draining servers.
#[derive(Debug)]
pub(crate) struct Evacuation<'a> {
    /// The servers.
    pub(crate) servers: &'a ServerTable,
    /// The runs.
    pub(crate) runs: &'a mut RunTable,
    /// When runs are expected to end.
    pub(crate) estimator: Estimator<'a>,
    /// The settings.
    pub(crate) settings: &'a SchedulerSettings,
    /// The moment.
    pub(crate) now: Millis,
}

impl Evacuation<'_> {
    /// Stops runs on draining servers that are better continued elsewhere.
    pub(crate) fn run(&mut self, mut unclaimed: UnclaimedCapacity) {
        self.claim_for_moving(&mut unclaimed);
        let servers = self.servers;
        for (id, server) in servers.iter() {
            if let Some(since) = server.draining_since {
                self.evacuate(id, server, since, &mut unclaimed);
            }
        }
    }

    /// The capacity in which runs that are being stopped will continue is not given away twice.
    fn claim_for_moving(&self, unclaimed: &mut UnclaimedCapacity) {
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
        let stays_until = server
            .stays_until
            .unwrap_or_else(|| since.plus(self.settings.drain_ms));
        let mut stopped: Vec<TaskId> = Vec::new();
        for run in self.runs.of_server(id).filter(|run| run.should_run()) {
            let is_stopped = match self.verdict(run, since, stays_until) {
                Verdict::Stay => false,
                Verdict::MoveIfPossible => {
                    unclaimed.claim(&run.profile.needs, &run.profile.requires)
                }
                Verdict::StopNow => true,
            };
            if is_stopped {
                stopped.push(run.task);
            }
        }
        for task in stopped {
            self.runs.request_stop(task, StopReason::Draining);
        }
    }

    fn verdict(&self, run: &Run, draining_since: Millis, stays_until: Millis) -> Verdict {
        if run.running_since.is_none() {
            return if self.now.since(draining_since) >= MAX_UNSTARTED_MS {
                Verdict::StopNow
            } else {
                Verdict::Stay
            };
        }
        let left_ms = stays_until.since(self.now);
        let remaining_ms = self.estimator.remaining_ms(run);
        if remaining_ms <= left_ms {
            return Verdict::Stay;
        }
        let is_last_chance = left_ms <= self.settings.max_stop_ms + STOP_DELIVERY_MS;
        let is_restart_better =
            remaining_ms.saturating_mul(100) > left_ms.saturating_mul(RESTART_PERCENT);
        match (run.profile.checkpoints, is_restart_better) {
            (true, _) if is_last_chance => Verdict::StopNow,
            (true, _) | (false, true) => Verdict::MoveIfPossible,
            (false, false) => Verdict::Stay,
        }
    }
}
