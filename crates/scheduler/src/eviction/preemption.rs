//! Preemption: stops less urgent runs that can continue later from a checkpoint, to free capacity
//! for the most urgent work.

use crate::estimator::Estimator;
use crate::eviction::unclaimed::{UnclaimedCandidate, UnclaimedCapacity};
use crate::placement::candidate::Candidate;
use crate::placement::demand::Demand;
use crate::placement::headroom::URGENT_PRIORITY;
use crate::resources::{difference, fits, sum};
use crate::runs::run::{Run, StopReason};
use crate::runs::table::RunTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;
use std::cmp::Reverse;

/// The maximum number of waiting tasks for which one round preempts runs.
const MAX_TASKS: usize = 32;

/// Runs on one server whose stop would free enough capacity.
#[derive(Debug)]
struct Victims {
    candidate: usize,
    tasks: Vec<TaskId>,
    freed: Resources,
    /// The work since their last checkpoints, which a stop would lose, in milliseconds.
    lost_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Preemption<'a> {
    pub(crate) runs: &'a mut RunTable,
    /// Estimates of when runs end.
    pub(crate) estimator: Estimator<'a>,
    pub(crate) settings: &'a SchedulerSettings,
    /// The time of the round.
    pub(crate) now: Millis,
}

impl Preemption<'_> {
    /// Stops runs for the most urgent tasks that have waited too long. For each task, stops only as
    /// many runs as are needed to free enough capacity.
    pub(crate) fn run(&mut self, demands: &[Demand<'_>], candidates: Vec<Candidate>) {
        let waiting = self.waiting_too_long(demands);
        if waiting.is_empty() {
            return;
        }
        let mut unclaimed = UnclaimedCapacity::ahead_of_queues(candidates);
        self.add_soon_freed(&mut unclaimed);
        for demand in waiting {
            let needs = &demand.step.needs;
            if unclaimed.claim(needs, &demand.step.requires) {
                continue;
            }
            let Some(victims) = self.cheapest_victims(demand, &unclaimed) else {
                continue;
            };
            let candidate = &mut unclaimed.candidates[victims.candidate];
            candidate.free = difference(&sum(&candidate.free, &victims.freed), needs);
            for task in victims.tasks {
                self.runs.request_stop(task, StopReason::Preempted);
            }
        }
    }

    /// The demands of the tasks that may preempt runs. A demand occurs once for each such task.
    fn waiting_too_long<'d, 'a>(&self, demands: &'d [Demand<'a>]) -> Vec<&'d Demand<'a>> {
        demands
            .iter()
            .filter(|demand| {
                let waited_ms = self.now.since(demand.ready.since);
                demand.job.priority == URGENT_PRIORITY
                    && !demand.rank.expired
                    && waited_ms >= self.settings.preempt_after_ms
            })
            .flat_map(|demand| {
                demand
                    .tasks()
                    .filter(|task| !self.runs.contains(*task))
                    .map(move |_| demand)
            })
            .take(MAX_TASKS)
            .collect()
    }

    /// Adds the capacity of runs that are being stopped, and of runs that are expected to end
    /// within the time that a stop takes.
    fn add_soon_freed(&self, unclaimed: &mut UnclaimedCapacity) {
        for run in self.runs.iter().filter(|run| !run.ended) {
            if self.estimator.remaining_ms(run) <= self.settings.max_stop_ms {
                unclaimed.add(&run.server, &run.profile.needs);
            }
        }
    }

    /// The runs of one server whose preemption loses the least work, over all candidates.
    fn cheapest_victims(
        &self,
        demand: &Demand<'_>,
        unclaimed: &UnclaimedCapacity,
    ) -> Option<Victims> {
        (0..)
            .zip(&unclaimed.candidates)
            .filter(|(_, unclaimed)| {
                let candidate = &unclaimed.candidate;
                !candidate.suspected
                    && candidate.has_label(&demand.step.requires)
                    && candidate.could_fit(&demand.step.needs)
            })
            .filter_map(|(index, unclaimed)| self.victims_on(index, unclaimed, &demand.step.needs))
            .min_by_key(|victims| (victims.lost_ms, victims.tasks.len()))
    }

    /// The runs on a server whose preemption loses the least work, as many as are needed to free
    /// `needs`; `None` if all preemptible runs together do not free enough.
    fn victims_on(
        &self,
        candidate: usize,
        unclaimed: &UnclaimedCandidate,
        needs: &Resources,
    ) -> Option<Victims> {
        let mut preemptible: Vec<&Run> = self
            .runs
            .of_server(&unclaimed.candidate.server)
            .filter(|run| self.is_preemptible(run))
            .collect();
        let lost_ms = |run: &Run| self.now.since(run.checkpointed_at);
        preemptible.sort_by_key(|run| (Reverse(run.profile.priority), lost_ms(run), run.task));
        let mut victims = Victims {
            candidate,
            tasks: Vec::new(),
            freed: Resources::default(),
            lost_ms: 0,
        };
        let is_enough = |freed: &Resources| fits(needs, &sum(&unclaimed.free, freed));
        for run in preemptible {
            if is_enough(&victims.freed) {
                break;
            }
            victims.freed = sum(&victims.freed, &run.profile.needs);
            victims.lost_ms += lost_ms(run);
            victims.tasks.push(run.task);
        }
        is_enough(&victims.freed).then_some(victims)
    }

    /// Whether a run may be preempted: it can continue later from a checkpoint, and would not end
    /// by itself within the time that a stop takes.
    fn is_preemptible(&self, run: &Run) -> bool {
        run.should_run()
            && run.running_since.is_some()
            && run.profile.priority > URGENT_PRIORITY
            && run.profile.checkpoints
            && !run.profile.gang
            && !run.profile.long_running
            && self.estimator.remaining_ms(run) > self.settings.max_stop_ms
    }
}
