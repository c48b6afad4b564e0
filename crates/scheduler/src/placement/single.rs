//! Placement of single tasks: chooses a server for each task, or leaves it waiting.

use crate::placement::candidate::Candidate;
use crate::placement::demand::Demand;
use crate::placement::planner::{CandidateSet, Planner};
use crate::placement::retry_limit::RetryLimit;
use crate::queues::task_queues::QueuedTask;
use crate::recorded::task_record;
use crate::resources::fits;
use lupinrack_cluster_api::identity::TaskId;

/// The factor on the expected duration of a task on a server where it has failed or stalled.
const FAULT_DURATION_FACTOR: f64 = 4.0;
/// The factor on the expected duration of a task on a suspected server.
const SUSPECT_DURATION_FACTOR: f64 = 8.0;
/// Duration factors are compared after rounding to multiples of 1 / this value.
const FACTOR_STEPS_PER_UNIT: f64 = 4.0;

/// A candidate that may run a task.
#[derive(Clone, Copy, Debug)]
struct Choice {
    /// The index of the candidate in the round.
    candidate: usize,
    /// The ratio of the task's duration there to its duration near its data on a server without
    /// slowdown or faults.
    duration_factor: f64,
}

impl Choice {
    /// The rounded duration factor. Candidates with the same rounded factor are equally good.
    fn rounded_factor(&self) -> u64 {
        (self.duration_factor * FACTOR_STEPS_PER_UNIT).round() as u64
    }
}

/// Whether capacity that is kept for other work counts as free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeptCapacity {
    Excluded,
    Included,
}

/// Places the single tasks of one step.
pub(crate) struct SinglePlacement<'p, 'a> {
    planner: &'p mut Planner<'a>,
    demand: &'p Demand<'p>,
    /// The candidates that may run tasks of the step, with the duration factor of a task that has
    /// no faults there.
    eligible: Vec<Choice>,
}

impl<'p, 'a> SinglePlacement<'p, 'a> {
    /// Prepares the placement of this demand.
    pub(crate) fn new(planner: &'p mut Planner<'a>, demand: &'p Demand<'p>) -> Self {
        let eligible = planner
            .eligible(demand)
            .into_iter()
            .map(|index| {
                let candidate = &planner.candidates[index];
                let suspicion_factor = if candidate.suspected {
                    SUSPECT_DURATION_FACTOR
                } else {
                    1.0
                };
                Choice {
                    candidate: index,
                    duration_factor: distance_factor(planner, demand, candidate)
                        * candidate.slowdown
                        * suspicion_factor,
                }
            })
            .collect();
        SinglePlacement {
            planner,
            demand,
            eligible,
        }
    }

    /// Places the waiting tasks. Returns `false` if a task stays unplaced for lack of capacity. A task
    /// that is kept apart from another one of the same name does not hold up the others.
    pub(crate) fn run(&mut self) -> bool {
        let has_namesakes = self.planner.has_namesakes(self.demand);
        for task in self.demand.tasks() {
            if self.planner.runs.contains(task) || self.planner.queues.contains(task) {
                continue;
            }
            let Some(candidate) = self.choose(task) else {
                if has_namesakes {
                    continue;
                }
                self.reserve_if_large();
                return false;
            };
            self.enqueue(candidate, task);
        }
        true
    }

    /// Adds a task to the queue of a candidate.
    fn enqueue(&mut self, index: usize, task: TaskId) {
        let planner = &mut *self.planner;
        let distance = distance_factor(planner, self.demand, &planner.candidates[index]);
        let profile = self.demand.profile(distance);
        let charge = planner.charge(index, &profile);
        let queued = QueuedTask {
            server: planner.candidates[index].server.clone(),
            expected_ms: planner.estimator.total_ms(&profile),
            affinity: self.demand.step.affinity.clone(),
            since: planner.now,
            profile,
        };
        planner.candidates[index]
            .queued
            .add(queued.profile.priority, &queued.profile.needs);
        planner.queues.enqueue(task, queued, charge);
    }

    /// The candidate to place a task on; `None` if the task has to wait.
    fn choose(&self, task: TaskId) -> Option<usize> {
        if let Some(suspected) = self.choose_for_probation(task) {
            return Some(suspected);
        }
        let choices = self.choices(task);
        let best_factor = choices.iter().map(Choice::rounded_factor).min()?;
        let best: Vec<usize> = choices
            .iter()
            .filter(|choice| choice.rounded_factor() == best_factor)
            .map(|choice| choice.candidate)
            .collect();
        match self.immediate(&choices) {
            Some(immediate) if immediate.rounded_factor() == best_factor => {
                Some(immediate.candidate)
            }
            Some(immediate)
                if self.must_start_on(task, immediate)
                    || !self.should_wait(&best, best_factor, immediate.duration_factor) =>
            {
                Some(immediate.candidate)
            }
            _ => self.shortest_queue(&best),
        }
    }

    /// The candidates that may run a task, with its duration factors.
    fn choices(&self, task: TaskId) -> Vec<Choice> {
        let planner = &*self.planner;
        let faulty = planner.faults.faulty_servers_of(task);
        let fault_factor = |index: usize| {
            let server = &planner.candidates[index].server;
            match faulty {
                Some(faulty) if faulty.contains(server) => FAULT_DURATION_FACTOR,
                _ => 1.0,
            }
        };
        self.eligible
            .iter()
            .filter(|choice| planner.max_tasks_on(self.demand, choice.candidate) > 0)
            .filter(|choice| !planner.holds_namesake(task, choice.candidate))
            .map(|choice| Choice {
                candidate: choice.candidate,
                duration_factor: choice.duration_factor * fault_factor(choice.candidate),
            })
            .collect()
    }

    /// The best candidate that has capacity now. If none has, one task of the job may use capacity that
    /// is kept for other work, once the job has access to it.
    fn immediate(&self, choices: &[Choice]) -> Option<Choice> {
        let unreserved = self.best_with_capacity(choices, KeptCapacity::Excluded);
        let (planner, job) = (&*self.planner, self.demand.id);
        let has_access = planner.kept_capacity.is_granted_to(job) && !planner.queues.has_job(job);
        if unreserved.is_some() || !has_access {
            return unreserved;
        }
        self.best_with_capacity(choices, KeptCapacity::Included)
    }

    /// The best candidate that has capacity now.
    ///
    /// Among candidates with the same rounded factor, chooses the one with the least and most
    /// balanced remaining capacity. Long-running tasks are spread instead, to the candidate with
    /// the most remaining capacity. They never end by themselves: packed on one server they would
    /// use up one of its resources permanently, and its other resources would stay idle.
    fn best_with_capacity(&self, choices: &[Choice], kept: KeptCapacity) -> Option<Choice> {
        if !self.planner.settings.policy.packs {
            let with_capacity = choices
                .iter()
                .filter(|choice| self.has_capacity(choice, kept));
            return with_capacity
                .min_by_key(|choice| choice.rounded_factor())
                .copied();
        }
        // Positive to pack tasks, negative to spread them.
        let leftover_sign = if self.demand.step.long_running {
            -1.0
        } else {
            1.0
        };
        let cost = |choice: &Choice| {
            let candidate = &self.planner.candidates[choice.candidate];
            let leftover = candidate.leftover(&self.demand.step.needs);
            leftover_sign * leftover.total + leftover.imbalance
        };
        choices
            .iter()
            .filter(|choice| self.has_capacity(choice, kept))
            .map(|choice| (choice.rounded_factor(), cost(choice), choice))
            .min_by(|(rounded_a, cost_a, _), (rounded_b, cost_b, _)| {
                rounded_a.cmp(rounded_b).then(cost_a.total_cmp(cost_b))
            })
            .map(|(_, _, choice)| *choice)
    }

    fn has_capacity(&self, choice: &Choice, kept: KeptCapacity) -> bool {
        let planner = &*self.planner;
        let candidate = &planner.candidates[choice.candidate];
        let (needs, priority) = (&self.demand.step.needs, self.demand.job.priority);
        if kept == KeptCapacity::Included {
            return fits(needs, &candidate.free);
        }
        let ends_at = planner
            .now
            .plus(self.demand.work_ms(choice.duration_factor));
        fits(needs, &candidate.free_for(priority))
            && candidate.admits(priority, needs, ends_at)
            && planner.headroom.allows(priority, needs, 1)
    }

    /// Whether a task must not wait for a better candidate than this one. If it has failed here, it
    /// waits until that was some time ago.
    fn must_start_on(&self, task: TaskId, choice: Choice) -> bool {
        let planner = &*self.planner;
        let candidate = &planner.candidates[choice.candidate];
        match planner.retry_limit(self.demand) {
            RetryLimit::Never => false,
            limit @ RetryLimit::AfterQuiet { .. } => {
                limit.allows(candidate.since_fault_ms)
                    || !planner.faults.has_faulted(task, &candidate.server)
            }
        }
    }

    /// Whether waiting for one of the best candidates is better than starting now on a candidate
    /// with the duration factor `immediate_factor`. Slower work also blocks capacity for longer,
    /// which delays other work, so the additional time counts twice.
    fn should_wait(&self, best: &[usize], best_factor: u64, immediate_factor: f64) -> bool {
        let planner = &*self.planner;
        let set = CandidateSet {
            members: best.to_vec(),
            duration_factor: best_factor as f64 / FACTOR_STEPS_PER_UNIT,
        };
        let immediate_ms = self.demand.work_ms(immediate_factor);
        let best_ms = self.demand.work_ms(set.duration_factor);
        let additional_ms = immediate_ms.saturating_sub(best_ms);
        let immediate_done_at = planner.now.plus(immediate_ms.saturating_add(additional_ms));
        planner
            .forecast(self.demand, &set, 1)
            .is_some_and(|forecast| forecast.done_at < immediate_done_at)
    }

    /// The candidate whose queue is expected to start the task first; `None` if the task would wait
    /// too long in each queue.
    fn shortest_queue(&self, candidates: &[usize]) -> Option<usize> {
        let (needs, priority) = (&self.demand.step.needs, self.demand.job.priority);
        let queue_end = |candidate| self.planner.queue_end(candidate, needs, priority);
        candidates
            .iter()
            .filter_map(|candidate| Some((queue_end(*candidate)?, *candidate)))
            .min()
            .map(|(_, candidate)| candidate)
    }

    /// A suspected server that may run this task as its next probation task.
    fn choose_for_probation(&self, task: TaskId) -> Option<usize> {
        let (planner, demand) = (&*self.planner, self.demand);
        let failed = task_record(demand.job, task).map_or(0, |record| record.failed);
        let can_tolerate_failure = failed == 0 && demand.job.max_retries > 1;
        if !can_tolerate_failure || demand.step.long_running {
            return None;
        }
        (0..planner.candidates.len()).find(|index| {
            let candidate = &planner.candidates[*index];
            candidate.suspected
                && candidate.running == 0
                && candidate.queued.is_empty()
                && candidate.has_label(&demand.step.requires)
                && planner.max_tasks_on(demand, *index) > 0
                && !planner.holds_namesake(task, *index)
                && fits(&demand.step.needs, &candidate.free)
                && planner.faults.is_probation_due(
                    &candidate.server,
                    planner.now,
                    planner.settings.probation_interval_ms,
                )
        })
    }

    /// Reserves capacity for a task that found none, if it needs a large share of a server.
    fn reserve_if_large(&mut self) {
        let needs = &self.demand.step.needs;
        let is_large = |choice: &Choice| self.planner.candidates[choice.candidate].is_large(needs);
        if !self.eligible.iter().any(is_large) {
            return;
        }
        let set = CandidateSet {
            members: self
                .eligible
                .iter()
                .map(|choice| choice.candidate)
                .collect(),
            duration_factor: 1.0,
        };
        if let Some(forecast) = self.planner.forecast(self.demand, &set, 1) {
            self.planner.reserve(self.demand, &forecast);
        }
    }
}

/// The ratio of the duration of work on a candidate to its duration near its data.
fn distance_factor(planner: &Planner<'_>, demand: &Demand<'_>, candidate: &Candidate) -> f64 {
    if candidate.has_label(&demand.step.affinity) {
        1.0
    } else {
        planner.settings.remote_factor
    }
}
