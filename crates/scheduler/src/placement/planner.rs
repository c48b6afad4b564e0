//! The state of one placement pass, and the queries on it that gangs and single tasks share.

use crate::estimator::Estimator;
use crate::history::faults::FaultHistory;
use crate::placement::candidate::{Candidate, FreedCapacity};
use crate::placement::demand::Demand;
use crate::placement::earliest_fit::{
    earliest_fit, Allocation, CapacitySupply, EarliestFit, TaskGroup,
};
use crate::placement::headroom::Headroom;
use crate::placement::kept_capacity::KeptCapacityAccess;
use crate::placement::reservation::Reservation;
use crate::placement::retry_limit::{
    RetryLimit, BUSY_SERVICE_QUIET_MS, FREE_SERVICE_QUIET_MS, LAST_ATTEMPT_QUIET_MS,
};
use crate::queues::task_queues::{Charge, TaskQueues};
use crate::queues::weights::{task_cost, StreamWeights};
use crate::recorded::task_record;
use crate::resources::{difference, fits, scaled, sum};
use crate::runs::profile::RunProfile;
use crate::runs::run::{Run, RunPhase};
use crate::runs::table::RunTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::ControlState;

/// The maximum expected wait in a server's queue, in milliseconds. A task that would wait longer
/// stays unplaced.
const MAX_QUEUE_WAIT_MS: u64 = 2_000;

/// A job with nothing running waits for better servers for this long at most, in milliseconds.
pub(crate) const MAX_IDLE_WAIT_MS: u64 = 1_500;

/// A set of candidates on which work may be placed.
#[derive(Clone, Debug)]
pub(crate) struct CandidateSet {
    /// The indices of the candidates in the round.
    pub(crate) members: Vec<usize>,
    /// The ratio of the duration of work on these candidates to its duration near its data.
    pub(crate) duration_factor: f64,
}

/// When work would start and finish if it starts as early as possible.
#[derive(Clone, Debug)]
pub(crate) struct Forecast {
    /// The expected start time.
    pub(crate) starts_at: Millis,
    /// The expected completion time.
    pub(crate) done_at: Millis,
    /// The candidates on which it runs.
    pub(crate) allocations: Vec<Allocation>,
    /// The ratio of its duration on these candidates to its duration near its data.
    pub(crate) duration_factor: f64,
}

/// The state of one placement pass: the remaining capacity of the candidates and the decisions made
/// so far.
#[derive(Debug)]
pub(crate) struct Planner<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) settings: &'a SchedulerSettings,
    /// The time of the round.
    pub(crate) now: Millis,
    /// Estimates of how long runs take.
    pub(crate) estimator: Estimator<'a>,
    /// The servers that accept new work. Other types refer to a candidate by its index here.
    pub(crate) candidates: Vec<Candidate>,
    /// The capacity that is kept free for urgent work.
    pub(crate) headroom: Headroom,
    /// The dispatcher weights of the streams.
    pub(crate) weights: StreamWeights,
    pub(crate) runs: &'a mut RunTable,
    pub(crate) queues: &'a mut TaskQueues,
    pub(crate) faults: &'a mut FaultHistory,
    /// Which jobs may use capacity that is kept for other work.
    pub(crate) kept_capacity: KeptCapacityAccess<'a>,
    /// The starts that the pass has decided. The starts of one gang form one group.
    pub(crate) starts: Vec<Vec<StartRecord>>,
    /// The number of demands that have reserved capacity.
    pub(crate) reservations: usize,
}

impl Planner<'_> {
    /// When `count` tasks would finish on these candidates if they started together as early as
    /// possible. `None` if the known ends of runs do not free enough capacity, or if the tasks fit
    /// now but the capacity is kept for other work.
    pub(crate) fn forecast(
        &self,
        demand: &Demand<'_>,
        set: &CandidateSet,
        count: u64,
    ) -> Option<Forecast> {
        let group = TaskGroup {
            needs: demand.step.needs,
            count,
        };
        let max_tasks_on = |candidate: usize| self.max_tasks_on(demand, candidate);
        let supply = CapacitySupply {
            chosen: &set.members,
            free: |candidate| self.free_for(demand, candidate),
            freed: |candidate| self.freed(candidate),
        };
        let EarliestFit { at, allocations } =
            earliest_fit(&supply, &group, max_tasks_on, self.now)?;
        let done_at = at.plus(demand.work_ms(set.duration_factor));
        let is_admitted = at > self.now || self.admits_all(demand, &allocations, done_at);
        is_admitted.then_some(Forecast {
            starts_at: at,
            done_at,
            allocations,
            duration_factor: set.duration_factor,
        })
    }

    /// The capacity of a candidate that counts as free for the demand.
    pub(crate) fn free_for(&self, demand: &Demand<'_>, index: usize) -> Resources {
        let candidate = &self.candidates[index];
        self.kept_capacity
            .free_for(demand.id, demand.job.priority, candidate)
    }

    /// When the runs of a candidate are expected to free capacity, soonest first. Leaves out runs
    /// that this round has proposed, since their capacity counts as used in this round.
    pub(crate) fn freed(&self, index: usize) -> &[FreedCapacity] {
        let candidate = &self.candidates[index];
        candidate.freed.get_or_init(|| {
            let is_proposed_now =
                |run: &Run| run.phase == RunPhase::Proposed && run.progressed_at == self.now;
            let mut freed: Vec<FreedCapacity> = self
                .runs
                .of_server(&candidate.server)
                .filter(|run| !run.ended && !is_proposed_now(run))
                .map(|run| FreedCapacity {
                    at: self.now.plus(self.estimator.remaining_ms(run)),
                    amount: run.profile.needs,
                })
                .collect();
            freed.sort_by_key(|freed| freed.at);
            freed
        })
    }

    /// The earliest time at which a candidate has capacity for one task in addition to queued tasks
    /// of the same or a more urgent priority; `None` if the known ends of its runs do not free
    /// enough.
    pub(crate) fn earliest_start(
        &self,
        index: usize,
        needs: &Resources,
        priority: u32,
    ) -> Option<Millis> {
        let mut free = self.candidates[index].free_for(priority);
        if fits(needs, &free) {
            return Some(self.now);
        }
        for freed in self.freed(index) {
            free = sum(&free, &freed.amount);
            if fits(needs, &free) {
                return Some(freed.at);
            }
        }
        None
    }

    /// The candidates that have the labels and the total capacity for tasks of this step. Includes
    /// suspected servers only if all of these candidates are suspected, or as the last resort of work
    /// that has to start anywhere.
    pub(crate) fn eligible(&self, demand: &Demand<'_>) -> Vec<usize> {
        let step = demand.step;
        let capable: Vec<usize> = (0..)
            .zip(&self.candidates)
            .filter(|(_, candidate)| {
                candidate.has_label(&step.requires) && candidate.could_fit(&step.needs)
            })
            .map(|(index, _)| index)
            .collect();
        let retry_limit = self.retry_limit(demand);
        let is_usable = |index: &usize| {
            let candidate = &self.candidates[*index];
            !candidate.suspected || retry_limit.allows(candidate.since_fault_ms)
        };
        let usable: Vec<usize> = capable.iter().copied().filter(is_usable).collect();
        if usable.is_empty() {
            capable
        } else {
            usable
        }
    }

    /// Whether the placement of single tasks of the demand might change anything: a candidate takes
    /// one now or in its queue, or capacity is reserved. A cheap check that does not consider labels
    /// and suspicion.
    pub(crate) fn might_place(&self, demand: &Demand<'_>) -> bool {
        let (needs, priority) = (&demand.step.needs, demand.job.priority);
        let may_reserve = self.may_reserve();
        (0..).zip(&self.candidates).any(|(index, candidate)| {
            fits(needs, &self.free_for(demand, index))
                || (may_reserve && candidate.is_large(needs))
                || self.queue_end(index, needs, priority).is_some()
        })
    }

    /// When a task that joins the queue of a candidate is expected to start; `None` if the queue is
    /// too long, capacity is reserved there, or the wait would be too long.
    pub(crate) fn queue_end(
        &self,
        index: usize,
        needs: &Resources,
        priority: u32,
    ) -> Option<Millis> {
        let candidate = &self.candidates[index];
        let is_short = candidate.reservation.is_none()
            && candidate.queued_share(needs) <= self.settings.max_queued_share;
        if !is_short {
            return None;
        }
        let starts_at = self.earliest_start(index, needs, priority)?;
        (starts_at.since(self.now) <= MAX_QUEUE_WAIT_MS).then_some(starts_at)
    }

    /// Whether the job has had nothing running, or a long-running step waiting tasks, for so long that
    /// the work has to start on any server that has room. Preferences among servers no longer count.
    pub(crate) fn must_start_anywhere(&self, demand: &Demand<'_>) -> bool {
        let waited_ms = if demand.step.long_running {
            self.now.since(demand.ready.since)
        } else {
            self.kept_capacity.idle_times.idle_ms(demand.id, self.now)
        };
        waited_ms >= MAX_IDLE_WAIT_MS
    }

    /// When work of the demand may use servers in spite of faults there.
    pub(crate) fn retry_limit(&self, demand: &Demand<'_>) -> RetryLimit {
        if !self.must_start_anywhere(demand) {
            return RetryLimit::Never;
        }
        let failed = |task| task_record(demand.job, task).map_or(0, |record| record.failed);
        let failures = demand.tasks().map(failed).max().unwrap_or(0);
        let is_last_attempt = failures + 1 >= demand.job.max_retries;
        RetryLimit::AfterQuiet {
            ms: match (demand.step.long_running, is_last_attempt) {
                (false, true) => LAST_ATTEMPT_QUIET_MS,
                _ if self.kept_capacity.is_under_half_used => FREE_SERVICE_QUIET_MS,
                _ => BUSY_SERVICE_QUIET_MS,
            },
        }
    }

    /// Whether further demands may reserve capacity.
    pub(crate) fn may_reserve(&self) -> bool {
        self.reservations < self.settings.max_reservations
    }

    /// How many more tasks of a step a candidate may run or queue under the step's anti-affinity
    /// limit; none of a gang where a namesake of a member is.
    pub(crate) fn max_tasks_on(&self, demand: &Demand<'_>, candidate: usize) -> u64 {
        let is_kept_apart = |task| self.holds_namesake(task, candidate);
        if demand.step.gang && self.has_namesakes(demand) && demand.tasks().any(is_kept_apart) {
            return 0;
        }
        if demand.step.anti_affinity == 0 {
            return u64::from(demand.step.count.max(1));
        }
        let server = &self.candidates[candidate].server;
        let any_task = demand.task(0);
        let running = self
            .runs
            .of_step(any_task)
            .filter(|run| !run.ended && run.server == *server)
            .count();
        let queued = self.queues.count_of_step(any_task, server);
        u64::from(demand.step.anti_affinity).saturating_sub((running + queued) as u64)
    }

    /// Whether a task of another job with the same name runs on a candidate, is queued there or is
    /// about to start there. The server could not tell the two apart.
    pub(crate) fn holds_namesake(&self, task: TaskId, candidate: usize) -> bool {
        let jobs = self.state.jobs();
        if jobs.namesakes().is_empty() {
            return false;
        }
        let server = &self.candidates[candidate].server;
        let is_proposed_or_queued = jobs.namesake_tasks(task).any(|namesake| {
            let run = self.runs.get(namesake);
            run.is_some_and(|run| run.server == *server)
                || self.queues.is_queued_on(namesake, server)
        });
        is_proposed_or_queued || jobs.has_namesake_on(task, server)
    }

    /// Whether jobs of other queues have the identity of the demand's job.
    pub(crate) fn has_namesakes(&self, demand: &Demand<'_>) -> bool {
        let task = demand.task(0);
        self.state.jobs().namesake_tasks(task).next().is_some()
    }

    /// Whether a candidate is neither suspected nor slow, and no waiting task of the demand has failed
    /// or stalled on it.
    pub(crate) fn is_reliable_for(&self, demand: &Demand<'_>, index: usize) -> bool {
        let candidate = &self.candidates[index];
        !candidate.suspected && candidate.slowdown <= 1.0 && !self.has_faulted(demand, index)
    }

    /// Whether a waiting task of the demand has failed or stalled on a candidate.
    pub(crate) fn has_faulted(&self, demand: &Demand<'_>, index: usize) -> bool {
        let server = &self.candidates[index].server;
        let mut tasks = demand.tasks();
        tasks.any(|task| self.faults.has_faulted(task, server))
    }

    /// Reserves capacity for work until its expected start, unless the limit on reservations is
    /// reached.
    pub(crate) fn reserve(&mut self, demand: &Demand<'_>, forecast: &Forecast) {
        if !self.may_reserve() || forecast.starts_at <= self.now {
            return;
        }
        self.reservations += 1;
        for allocation in &forecast.allocations {
            self.candidates[allocation.candidate].reserve(Reservation {
                until: forecast.starts_at,
                priority: demand.job.priority,
                needs: scaled(&demand.step.needs, allocation.count),
            });
        }
    }

    /// Allocates capacity of a candidate.
    pub(crate) fn allocate(&mut self, candidate: usize, needs: &Resources) {
        let candidate = &mut self.candidates[candidate];
        candidate.free = difference(&candidate.free, needs);
        self.headroom.allocate(needs);
    }

    /// The weight and cost with which a run on a candidate is charged to its stream.
    pub(crate) fn charge(&self, candidate: usize, profile: &RunProfile) -> Charge {
        Charge {
            weight: self.weights.weight(profile.priority),
            cost: task_cost(&profile.needs, &self.candidates[candidate].facts.capacity),
        }
    }

    /// Records the decision to start a task whose capacity has been allocated.
    pub(crate) fn record_start(
        &mut self,
        candidate: usize,
        start: &StartRecord,
        profile: RunProfile,
    ) {
        let candidate = &mut self.candidates[candidate];
        candidate.running += 1;
        if candidate.suspected {
            self.faults.record_probation(&candidate.server, self.now);
        }
        self.runs.insert(Run::proposed(start, profile, self.now));
    }

    /// Whether these tasks may start now without using capacity that is kept for other work, or
    /// although it is kept, since the job has been idle for too long in a service that is mostly free.
    fn admits_all(&self, demand: &Demand<'_>, allocations: &[Allocation], ends_at: Millis) -> bool {
        if self.kept_capacity.is_under_half_used && self.must_start_anywhere(demand) {
            return true;
        }
        let (priority, needs) = (demand.job.priority, &demand.step.needs);
        let count = allocations.iter().map(|allocation| allocation.count).sum();
        let admits = |allocation: &Allocation| {
            let needs = scaled(needs, allocation.count);
            self.candidates[allocation.candidate].admits(priority, &needs, ends_at)
        };
        self.headroom.allows(priority, needs, count) && allocations.iter().all(admits)
    }
}
