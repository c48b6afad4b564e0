//! Eviction: stops runs so that they continue on another server or at a later time.

pub(crate) mod draining;
pub(crate) mod preemption;
pub(crate) mod stalled;
pub(crate) mod unclaimed;

use crate::estimator::Estimator;
use crate::eviction::draining::Evacuation;
use crate::eviction::preemption::Preemption;
use crate::eviction::stalled::StallDetector;
use crate::eviction::unclaimed::UnclaimedCapacity;
use crate::history::History;
use crate::placement::candidate::Candidate;
use crate::placement::demand::Demand;
use crate::runs::run::StopReason;
use crate::runs::table::RunTable;
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::time::Millis;

#[derive(Debug)]
pub(crate) struct Eviction<'a> {
    pub(crate) servers: &'a ServerTable,
    pub(crate) runs: &'a mut RunTable,
    /// The durations, faults and speeds learned from runs.
    pub(crate) history: &'a mut History,
    pub(crate) settings: &'a SchedulerSettings,
    /// The time of the round.
    pub(crate) now: Millis,
}

impl Eviction<'_> {
    /// Records overdue runs as slowness of their servers, and stops runs that make no progress.
    pub(crate) fn stop_stalled_runs(mut self) {
        self.record_overdue();
        self.stop_stalled();
    }

    /// Stops runs on draining servers that would not end in time, and preempts runs for more urgent
    /// demands. `candidates` has the capacity that remains after the placement pass.
    pub(crate) fn make_way(self, demands: &[Demand<'_>], candidates: Vec<Candidate>) {
        let Eviction {
            servers,
            runs,
            history,
            settings,
            now,
        } = self;
        let estimator = Estimator::new(&history.durations, settings, now);
        if servers.has_draining() {
            Evacuation {
                servers,
                runs,
                estimator,
                settings,
                now,
            }
            .run(UnclaimedCapacity::beside_queues(&candidates));
        }
        if settings.policy.preempts {
            Preemption {
                runs,
                estimator,
                settings,
                now,
            }
            .run(demands, candidates);
        }
    }

    /// Records runs that take much longer than expected in the speed history of their servers, each
    /// run once.
    fn record_overdue(&mut self) {
        if !self.settings.policy.learns_speeds {
            return;
        }
        for overdue in self.detector().overdue() {
            self.runs.set_overdue(overdue.task);
            let speeds = &mut self.history.speeds;
            speeds.record(&overdue.server, overdue.ratio, self.now);
        }
    }

    /// Stops the runs that make no progress. If the server has started the run, this counts as a
    /// fault of the server.
    fn stop_stalled(&mut self) {
        for stalled in self.detector().stalled() {
            if stalled.was_started {
                let faults = &mut self.history.faults;
                faults.record_fault(&stalled.server, stalled.task, self.now);
            }
            self.runs.request_stop(stalled.task, StopReason::Stalled);
        }
    }

    fn detector(&self) -> StallDetector<'_> {
        StallDetector {
            servers: self.servers,
            runs: self.runs,
            estimator: Estimator::new(&self.history.durations, self.settings, self.now),
            settings: self.settings,
            now: self.now,
        }
    }
}
