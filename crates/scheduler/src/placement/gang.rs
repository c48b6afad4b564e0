//! Placement of gangs: all tasks of a gang start at once or none of them does.

use crate::placement::demand::Demand;
use crate::placement::planner::{CandidateSet, Forecast, Planner};
use crate::recorded::task_record;
use crate::resources::fitting_count;
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use std::collections::BTreeMap;

/// The placement of one gang.
pub(crate) struct GangPlacement<'p, 'a> {
    planner: &'p mut Planner<'a>,
    demand: &'p Demand<'p>,
    tasks: Vec<TaskId>,
}

/// The start parameters that all members of a gang share.
struct GangStart {
    attempt: Attempt,
    /// The checkpoint that the members continue from; empty for none.
    checkpoint: String,
}

impl<'p, 'a> GangPlacement<'p, 'a> {
    /// Prepares the placement of this demand's gang.
    pub(crate) fn new(planner: &'p mut Planner<'a>, demand: &'p Demand<'p>) -> Self {
        let tasks = demand.tasks().collect();
        GangPlacement {
            planner,
            demand,
            tasks,
        }
    }

    /// Starts the gang on the candidates where it would finish first, if it can start there now.
    /// Otherwise reserves capacity there.
    pub(crate) fn run(&mut self) {
        if self
            .tasks
            .iter()
            .any(|task| self.planner.runs.contains(*task))
        {
            return;
        }
        let count = self.tasks.len() as u64;
        if !self.planner.may_reserve() && !self.might_start_now(count) {
            return;
        }
        match self.best_forecast() {
            Some(forecast) if forecast.starts_at <= self.planner.now => self.start(&forecast),
            Some(forecast) => self.planner.reserve(self.demand, &forecast),
            None => {}
        }
    }

    /// Where the gang should run. One that has to start anywhere uses unreliable candidates if it can
    /// start there now and nowhere else.
    fn best_forecast(&self) -> Option<Forecast> {
        let now = self.planner.now;
        let starts_now = |forecast: &Forecast| forecast.starts_at <= now;
        let preferred = self.soonest(self.preferred());
        if preferred.as_ref().is_some_and(starts_now) || !self.must_start_anywhere() {
            return preferred;
        }
        self.soonest(self.last_resort())
            .filter(starts_now)
            .or(preferred)
    }

    /// The eligible candidates without those on which a member failed lately.
    fn last_resort(&self) -> Vec<usize> {
        let planner = &*self.planner;
        let retry_limit = planner.retry_limit(self.demand);
        let is_allowed = |index: &usize| {
            retry_limit.allows(planner.candidates[*index].since_fault_ms)
                || !planner.has_faulted(self.demand, *index)
        };
        let eligible = planner.eligible(self.demand);
        eligible.into_iter().filter(is_allowed).collect()
    }

    fn must_start_anywhere(&self) -> bool {
        self.planner.must_start_anywhere(self.demand)
    }

    /// Where the gang would finish first on these candidates. One that has to start anywhere prefers
    /// to start now.
    fn soonest(&self, candidates: Vec<usize>) -> Option<Forecast> {
        let (now, must_start) = (self.planner.now, self.must_start_anywhere());
        let has_to_wait = |forecast: &Forecast| must_start && forecast.starts_at > now;
        let count = self.tasks.len() as u64;
        self.candidate_sets(candidates)
            .iter()
            .filter_map(|set| self.planner.forecast(self.demand, set, count))
            .min_by_key(|forecast| {
                let allocations = forecast.allocations.len();
                (has_to_wait(forecast), forecast.done_at, allocations)
            })
    }

    /// Whether all candidates together have free capacity for the gang. A cheap check that does not
    /// consider labels, racks and suspicion.
    fn might_start_now(&self, count: u64) -> bool {
        let (planner, demand) = (&*self.planner, self.demand);
        let fitting: u64 = (0..planner.candidates.len())
            .map(|index| planner.free_for(demand, index))
            .map(|free| fitting_count(&demand.step.needs, &free, count))
            .sum();
        fitting >= count
    }

    /// The sets of these candidates on which the gang could run. A gang that prefers one rack may use
    /// each rack or all racks together; other gangs may use the candidates near their data or all
    /// candidates.
    fn candidate_sets(&self, candidates: Vec<usize>) -> Vec<CandidateSet> {
        let mut sets = if self.demand.step.same_rack {
            self.sets_by_rack(candidates)
        } else {
            self.sets_by_distance(candidates)
        };
        for set in &mut sets {
            if !self.is_local(&set.members) {
                set.duration_factor *= self.planner.settings.remote_factor;
            }
        }
        sets.retain(|set| self.could_fit(&set.members));
        sets
    }

    /// One set for each rack, and one for all racks together, where the gang is slower.
    fn sets_by_rack(&self, members: Vec<usize>) -> Vec<CandidateSet> {
        let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for index in &members {
            let rack = self.planner.candidates[*index].rack();
            racks.entry(rack).or_default().push(*index);
        }
        let spread_factor = if racks.len() > 1 {
            self.planner.settings.remote_factor
        } else {
            1.0
        };
        let mut sets: Vec<CandidateSet> = racks
            .into_values()
            .map(|members| CandidateSet {
                members,
                duration_factor: 1.0,
            })
            .collect();
        sets.push(CandidateSet {
            members,
            duration_factor: spread_factor,
        });
        sets
    }

    /// One set with the candidates near the gang's data, and one with all candidates.
    fn sets_by_distance(&self, members: Vec<usize>) -> Vec<CandidateSet> {
        let local = members
            .iter()
            .copied()
            .filter(|index| self.is_local(&[*index]))
            .collect();
        [local, members]
            .map(|members| CandidateSet {
                members,
                duration_factor: 1.0,
            })
            .into()
    }

    /// Whether all these candidates are near the gang's data.
    fn is_local(&self, members: &[usize]) -> bool {
        members
            .iter()
            .all(|index| self.planner.candidates[*index].has_label(&self.demand.step.affinity))
    }

    /// The eligible candidates that are neither suspected nor slow and on which no member has failed
    /// or stalled, if the gang would fit on them without other work. Otherwise all eligible candidates.
    fn preferred(&self) -> Vec<usize> {
        let eligible = self.planner.eligible(self.demand);
        let reliable: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|index| self.planner.is_reliable_for(self.demand, *index))
            .collect();
        if self.could_fit(&reliable) {
            reliable
        } else {
            eligible
        }
    }

    /// Whether the gang fits on these candidates when they are otherwise empty.
    fn could_fit(&self, members: &[usize]) -> bool {
        let count = self.tasks.len() as u64;
        let max_on_one = match self.demand.step.anti_affinity {
            0 => count,
            max_on_one => u64::from(max_on_one),
        };
        let fitting: u64 = members
            .iter()
            .map(|index| &self.planner.candidates[*index].facts.capacity)
            .map(|capacity| fitting_count(&self.demand.step.needs, capacity, max_on_one))
            .sum();
        fitting >= count
    }

    fn start(&mut self, forecast: &Forecast) {
        let GangStart {
            attempt,
            checkpoint,
        } = self.next_start();
        let candidates = forecast
            .allocations
            .iter()
            .flat_map(|allocation| (0..allocation.count).map(|_| allocation.candidate));
        let planner = &mut *self.planner;
        let mut starts = Vec::with_capacity(self.tasks.len());
        for (task, candidate) in self.tasks.iter().copied().zip(candidates) {
            let profile = self.demand.profile(forecast.duration_factor);
            planner.allocate(candidate, &profile.needs);
            let charge = planner.charge(candidate, &profile);
            let server = planner.candidates[candidate].server.clone();
            let running = planner.candidates[candidate].running;
            // The members skip the queue, since the gang starts as a unit. Their cost is still
            // charged to their stream.
            planner
                .queues
                .charge(&server, task, &profile, charge, running, planner.now);
            let start = StartRecord {
                task,
                attempt,
                server,
                checkpoint: checkpoint.clone(),
            };
            planner.record_start(candidate, &start, profile);
            starts.push(start);
        }
        planner.starts.push(starts);
    }

    /// The next attempt number, which fits all members, and a checkpoint of any
    /// member. The checkpoint of one member is valid for the whole gang.
    fn next_start(&self) -> GangStart {
        let records = || {
            self.tasks
                .iter()
                .filter_map(|task| task_record(self.demand.job, *task))
        };
        let jobs = self.planner.state.jobs();
        let next_attempts = self.tasks.iter().map(|task| jobs.next_attempt(*task));
        let checkpoint = records()
            .map(|record| &record.checkpoint)
            .find(|checkpoint| !checkpoint.is_empty());
        GangStart {
            attempt: next_attempts.max().unwrap_or(1),
            checkpoint: checkpoint.cloned().unwrap_or_default(),
        }
    }
}
