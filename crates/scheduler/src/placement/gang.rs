//! Gangs: steps whose tasks start all at once or not at all.

use crate::placement::demand::Demand;
use crate::placement::planner::{CandidateSet, Forecast, Planner};
use crate::recorded::task_record;
use crate::resources::copies;
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use std::collections::BTreeMap;

/// The placement of one gang.
pub(crate) struct GangPlacement<'p, 'a> {
    planner: &'p mut Planner<'a>,
    demand: &'p Demand<'p>,
    tasks: Vec<TaskId>,
}

/// What all members of a gang start with.
struct GangStart {
    attempt: Attempt,
    /// Empty for none.
    checkpoint: String,
}

impl<'p, 'a> GangPlacement<'p, 'a> {
    /// The placement of the gang of this demand.
    pub(crate) fn new(planner: &'p mut Planner<'a>, demand: &'p Demand<'p>) -> Self {
        let tasks = demand.tasks().collect();
        GangPlacement {
            planner,
            demand,
            tasks,
        }
    }

    /// Starts the gang where it would be done soonest, if it can start there now. Otherwise reserves
    /// capacity for it there.
    pub(crate) fn run(&mut self) {
        if self
            .tasks
            .iter()
            .any(|task| self.planner.runs.contains(*task))
        {
            return;
        }
        let count = self.tasks.len() as u64;
        let soonest = self
            .candidate_sets()
            .iter()
            .filter_map(|set| self.planner.forecast(self.demand, set, count))
            .min_by_key(|forecast| (forecast.done_at, forecast.allotments.len()));
        match soonest {
            Some(forecast) if forecast.starts_at <= self.planner.now => self.start(&forecast),
            Some(forecast) => self.planner.reserve(self.demand, &forecast),
            None => {}
        }
    }

    /// Where the gang may run: in each rack where it should not be spread, and on all candidates
    /// together; near its data, and anywhere.
    fn candidate_sets(&self) -> Vec<CandidateSet> {
        let reliable = self.reliable();
        let mut sets = if self.demand.step.same_rack {
            self.sets_by_rack(reliable)
        } else {
            self.sets_by_distance(reliable)
        };
        for set in &mut sets {
            if !self.is_near(&set.members) {
                set.factor *= self.planner.settings.remote_factor;
            }
        }
        sets.retain(|set| self.could_fit(&set.members));
        sets
    }

    /// Each rack, and all racks together, over which the gang is slower.
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
                factor: 1.0,
            })
            .collect();
        sets.push(CandidateSet {
            members,
            factor: spread_factor,
        });
        sets
    }

    /// The candidates near the gang's data, and all of them.
    fn sets_by_distance(&self, members: Vec<usize>) -> Vec<CandidateSet> {
        let near = members
            .iter()
            .copied()
            .filter(|index| self.is_near(&[*index]))
            .collect();
        [near, members]
            .map(|members| CandidateSet {
                members,
                factor: 1.0,
            })
            .into()
    }

    /// Whether all these candidates are near the gang's data.
    fn is_near(&self, members: &[usize]) -> bool {
        members
            .iter()
            .all(|index| self.planner.candidates[*index].has_label(&self.demand.step.affinity))
    }

    /// The eligible candidates without slow ones and those on which a member has failed, if the
    /// others could hold the gang; otherwise all eligible ones.
    fn reliable(&self) -> Vec<usize> {
        let eligible = self.planner.eligible(self.demand);
        let reliable: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|index| self.is_reliable(*index))
            .collect();
        if self.could_fit(&reliable) {
            reliable
        } else {
            eligible
        }
    }

    fn is_reliable(&self, index: usize) -> bool {
        let candidate = &self.planner.candidates[index];
        let has_faulted = self
            .tasks
            .iter()
            .any(|task| self.planner.faults.has_faulted(*task, &candidate.server));
        !has_faulted && candidate.slowdown <= 1.0
    }

    /// Whether these candidates could hold the gang if nothing else ran on them.
    fn could_fit(&self, members: &[usize]) -> bool {
        let count = self.tasks.len() as u64;
        let max_on_one = match self.demand.step.anti_affinity {
            0 => count,
            max_on_one => u64::from(max_on_one),
        };
        let held: u64 = members
            .iter()
            .map(|index| &self.planner.candidates[*index].facts.capacity)
            .map(|capacity| copies(&self.demand.step.needs, capacity, max_on_one))
            .sum();
        held >= count
    }

    fn start(&mut self, forecast: &Forecast) {
        let GangStart {
            attempt,
            checkpoint,
        } = self.next_start();
        let candidates = forecast
            .allotments
            .iter()
            .flat_map(|allotment| (0..allotment.count).map(|_| allotment.candidate));
        let planner = &mut *self.planner;
        let mut starts = Vec::with_capacity(self.tasks.len());
        for (task, candidate) in self.tasks.iter().copied().zip(candidates) {
            let profile = self.demand.profile(forecast.factor);
            planner.take(candidate, &profile.needs);
            let charge = planner.charge(candidate, &profile);
            let server = planner.candidates[candidate].server.clone();
            let running = planner.candidates[candidate].running;
            // Members do not wait for their tags, since the gang starts as one; but they are charged.
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

    /// The attempt above that of every member, and the checkpoint of any member: it is good for all.
    fn next_start(&self) -> GangStart {
        let records = || {
            self.tasks
                .iter()
                .filter_map(|task| task_record(self.demand.job, *task))
        };
        let newest = records().map(|record| record.attempt).max().unwrap_or(0);
        let checkpoint = records()
            .map(|record| &record.checkpoint)
            .find(|checkpoint| !checkpoint.is_empty());
        GangStart {
            attempt: newest + 1,
            checkpoint: checkpoint.cloned().unwrap_or_default(),
        }
    }
}
