//! Gangs on the servers of the model: tasks that work only while all members of their gang do.

use crate::server::ServerBehavior;
use crate::world::World;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::server::RunEnd;
use std::collections::{BTreeMap, BTreeSet};

/// A member ends when its gang is not complete this long after its start, in milliseconds.
const GANG_MS: u64 = 3_000;

impl World {
    pub(crate) fn gang_member_over(&mut self, task: TaskId, attempt: u32, end: RunEnd) {
        let now = self.now;
        if end == RunEnd::Done {
            let count = self.oracle.step(task).map_or(0, |step| step.count);
            for index in 0..count {
                self.oracle.done(TaskId { index, ..task }, now);
            }
        }
        if let Some(over) = self.gangs.get_mut(&gang_key(task, attempt)) {
            *over = true;
        }
    }

    /// The gangs all of whose members are there.
    pub(crate) fn gangs_at_work(&mut self) -> BTreeSet<(TaskId, u32)> {
        let mut present: BTreeMap<(TaskId, u32), u32> = BTreeMap::new();
        for machine in &self.server_slots {
            let Some(server) = &machine.server else {
                continue;
            };
            for (task, run) in server.runs.iter().filter(|(_, run)| run.gang) {
                if run.stops_at.is_none()
                    && server.behavior != ServerBehavior::Stalled
                    && self.now >= run.works_from
                {
                    *present.entry(gang_key(*task, run.attempt)).or_default() += 1;
                }
            }
        }
        let replacement = |key: &(TaskId, u32), count: &u32| {
            self.oracle
                .step(key.0)
                .is_some_and(|step| step.count == *count)
        };
        let working: BTreeSet<(TaskId, u32)> = present
            .iter()
            .filter(|(key, count)| replacement(key, count))
            .map(|(key, _)| *key)
            .collect();
        for key in &working {
            self.gangs.entry(*key).or_insert(false);
        }
        working
    }

    /// Ends members whose gang has lost one, and those that waited too long for the others.
    pub(crate) fn end_gangs(&mut self) {
        let mut over = Vec::new();
        for (machine, slot) in self.server_slots.iter().enumerate() {
            let Some(server) = &slot.server else {
                continue;
            };
            for (task, run) in server.runs.iter().filter(|(_, run)| run.gang) {
                match self.gangs.get(&gang_key(*task, run.attempt)) {
                    Some(true) => over.push((machine, *task, run.attempt)),
                    None if self.now > run.started_at + GANG_MS => {
                        over.push((machine, *task, run.attempt));
                    }
                    _ => {}
                }
            }
        }
        for (machine, task, attempt) in over {
            let began = self.gangs.contains_key(&gang_key(task, attempt));
            let done = self
                .oracle
                .tasks
                .get(&task)
                .is_some_and(|history| history.done_at.is_some());
            let end = match (began, done) {
                (true, true) => RunEnd::Done,
                (true, false) => RunEnd::Broken,
                (false, _) => RunEnd::Alone,
            };
            self.end_run(machine, task, end);
        }
    }
}

/// A gang in one attempt, by its first member.
pub(crate) fn gang_key(task: TaskId, attempt: u32) -> (TaskId, u32) {
    (TaskId { index: 0, ..task }, attempt)
}
