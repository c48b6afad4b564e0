//! Servers that are about to leave: what would not end there in time is moved.

use crate::estimator::rest_ms;
use crate::eviction::unclaimed::Spare;
use crate::runs::table::{Run, StopReason};
use crate::scheduler::Scheduler;
use crate::servers::table::Server;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;

/// A run that a draining server does not list after this time was never started, in milliseconds.
const UNSTARTED_MS: u64 = 500;
/// Beside the time that a stop takes, what is left to get it there.
const STOP_DELAY_MS: u64 = 1_000;
/// Work that saves nothing is given up where it would take so many times the time that is left, in percent.
const GIVE_UP_PERCENT: u64 = 150;

/// What to do about a run on a draining server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Move {
    /// It ends in time, or nothing is won by a move.
    Stay,
    /// It is stopped where there is room for it elsewhere.
    WithRoom,
    /// It is stopped at once.
    Now,
}

impl Scheduler {
    /// Stops runs on draining servers that are better continued elsewhere.
    pub(crate) fn evacuate(&mut self, spare: &mut Spare, now: Millis) {
        let draining: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| server.draining_since.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        if draining.is_empty() {
            return;
        }
        self.claim_for_moving(spare);
        for server in draining {
            self.evacuate_server(&server, spare, now);
        }
    }

    /// Room for runs that are being stopped to go on elsewhere is not given away twice.
    fn claim_for_moving(&self, spare: &mut Spare) {
        let moving = self
            .runs
            .iter()
            .filter(|run| run.stop == Some(StopReason::Draining));
        for run in moving {
            spare.claim(&run.traits.needs, &run.traits.requires);
        }
    }

    fn evacuate_server(&mut self, id: &ServerId, spare: &mut Spare, now: Millis) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let wanted = self.runs.of_server(id).filter(|run| run.is_wanted());
        let mut stops: Vec<TaskId> = Vec::new();
        for run in wanted {
            let stop = match self.decide(server, run, now) {
                Move::Stay => false,
                Move::WithRoom => spare.claim(&run.traits.needs, &run.traits.requires),
                Move::Now => true,
            };
            if stop {
                stops.push(run.task);
            }
        }
        stops
            .into_iter()
            .for_each(|task| self.stop_run(task, StopReason::Draining));
    }

    /// Until when a draining server stays at least, by its own word or by the rule.
    fn leaves_at(&self, server: &Server, now: Millis) -> Millis {
        let since = server.draining_since.unwrap_or(now);
        server
            .leaves_at
            .unwrap_or_else(|| since.plus(self.settings.drain_ms))
    }

    fn decide(&self, server: &Server, run: &Run, now: Millis) -> Move {
        if run.running_since.is_none() {
            let since = server.draining_since.unwrap_or(now);
            return if now.since(since) >= UNSTARTED_MS {
                Move::Now
            } else {
                Move::Stay
            };
        }
        let left_ms = self.leaves_at(server, now).since(now);
        let rest = rest_ms(run, &self.durations, &self.settings, now);
        if rest <= left_ms {
            return Move::Stay;
        }
        let last_call = left_ms <= self.settings.max_stop_ms + STOP_DELAY_MS;
        let hopeless = rest.saturating_mul(100) > left_ms.saturating_mul(GIVE_UP_PERCENT);
        match (run.traits.checkpoints, hopeless) {
            (true, _) if last_call => Move::Now,
            (true, _) | (false, true) => Move::WithRoom,
            (false, false) => Move::Stay,
        }
    }
}
