//! Gangs: steps whose tasks start all at once or not at all.

use crate::placement::candidate::{whole_copies, Share};
use crate::placement::planner::{Candidates, Demand, Placer};
use crate::queues::task_queues::task_record;
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use std::collections::BTreeMap;

impl Placer<'_> {
    /// Starts a gang where it would be done soonest, if it can start there now; otherwise keeps room for it there.
    pub(crate) fn place_gang(&mut self, demand: &Demand<'_>) {
        let tasks: Vec<TaskId> = demand
            .ready
            .indices
            .iter()
            .map(|index| demand.task(*index))
            .collect();
        if tasks.iter().any(|task| self.runs.contains(*task)) {
            return;
        }
        let sets = self.gang_sets(demand, &tasks);
        let count = tasks.len() as u64;
        let found = sets
            .iter()
            .filter_map(|set| self.finish_on(demand, set, count));
        let Some(finish) = found.min_by_key(|finish| (finish.done_at, finish.shares.len())) else {
            return;
        };
        if finish.starts_at <= self.now {
            self.start_gang(demand, &tasks, &finish.shares, finish.factor);
        } else {
            self.reserve(demand, finish.starts_at, &finish.shares);
        }
    }

    /// Where a gang may run: each rack, where it should not be spread, and all servers together; near its data and
    /// anywhere.
    fn gang_sets(&self, demand: &Demand<'_>, tasks: &[TaskId]) -> Vec<Candidates> {
        let allowed = self.reliable(demand, tasks);
        let far = self.settings.remote_factor;
        let mut sets = Vec::new();
        if demand.step.same_rack {
            let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
            for place in &allowed {
                racks
                    .entry(self.rows[*place].rack())
                    .or_default()
                    .push(*place);
            }
            let spread = if racks.len() > 1 { far } else { 1.0 };
            sets.extend(
                racks
                    .into_values()
                    .map(|rows| Candidates { rows, factor: 1.0 }),
            );
            sets.push(Candidates {
                rows: allowed,
                factor: spread,
            });
        } else {
            let near = |place: &usize| self.rows[*place].has_label(&demand.step.affinity);
            let near: Vec<usize> = allowed.iter().copied().filter(near).collect();
            sets.push(Candidates {
                rows: near,
                factor: 1.0,
            });
            sets.push(Candidates {
                rows: allowed,
                factor: 1.0,
            });
        }
        for set in &mut sets {
            if !set
                .rows
                .iter()
                .all(|place| self.rows[*place].has_label(&demand.step.affinity))
            {
                set.factor *= far;
            }
        }
        let count = tasks.len() as u64;
        sets.retain(|set| self.could_hold(demand, set, count));
        sets
    }

    /// The rows that may be used, without slow ones and those on which the gang has failed if the others could hold it.
    fn reliable(&self, demand: &Demand<'_>, tasks: &[TaskId]) -> Vec<usize> {
        let allowed = self.allowed(demand);
        let reliable = |place: &usize| {
            let row = &self.rows[*place];
            let faulted = tasks
                .iter()
                .any(|task| self.evidence.has_faulted(*task, &row.server));
            !faulted && row.slowness <= 1.0
        };
        let rows = allowed.iter().copied().filter(reliable).collect();
        let reliable = Candidates { rows, factor: 1.0 };
        if self.could_hold(demand, &reliable, tasks.len() as u64) {
            reliable.rows
        } else {
            allowed
        }
    }

    /// Whether these servers could hold so many tasks of the step if nothing else ran on them.
    fn could_hold(&self, demand: &Demand<'_>, set: &Candidates, count: u64) -> bool {
        let most = match demand.step.anti_affinity {
            0 => count,
            most => u64::from(most),
        };
        let held = set
            .rows
            .iter()
            .map(|place| whole_copies(&self.rows[*place], &demand.step.needs, most));
        held.sum::<u64>() >= count
    }

    fn start_gang(&mut self, demand: &Demand<'_>, tasks: &[TaskId], shares: &[Share], factor: f64) {
        let (attempt, checkpoint) = gang_start(demand, tasks);
        let places = shares
            .iter()
            .flat_map(|share| (0..share.count).map(|_| share.row));
        let members: Vec<(TaskId, usize)> = tasks.iter().copied().zip(places).collect();
        let mut starts = Vec::with_capacity(members.len());
        for (task, place) in members {
            let traits = demand.traits(factor);
            self.take(place, &traits.needs);
            self.charge(place, task, &traits);
            let server = self.rows[place].server.clone();
            let start = StartRecord {
                task,
                attempt,
                server,
                checkpoint: checkpoint.clone(),
            };
            self.note_start(place, &start, traits);
            starts.push(start);
        }
        self.starts.push(starts);
    }
}

/// The number of a gang's next start, above that of every member, and the checkpoint that all of them continue from:
/// any member's is good for all.
fn gang_start(demand: &Demand<'_>, tasks: &[TaskId]) -> (Attempt, String) {
    let records = tasks
        .iter()
        .filter_map(|task| task_record(demand.job, *task));
    let attempt = records
        .clone()
        .map(|record| record.attempt)
        .max()
        .unwrap_or(0)
        + 1;
    let checkpoint = records
        .map(|record| &record.checkpoint)
        .find(|checkpoint| !checkpoint.is_empty());
    (attempt, checkpoint.cloned().unwrap_or_default())
}
