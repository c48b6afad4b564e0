//! Gangs on the simulated servers: tasks that make progress only while all members of their gang run.

use crate::server::ServerBehavior;
use crate::world::World;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::server::RunEnd;
use std::collections::{BTreeMap, BTreeSet};

/// Time after a member's start within which its gang has to be complete, or the member ends, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

impl World {
    pub(crate) fn record_gang_member_end(&mut self, task: TaskId, attempt: u32, end: RunEnd) {
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

    /// The gangs whose members all make progress. Marks these gangs as begun.
    pub(crate) fn working_gangs(&mut self) -> BTreeSet<(TaskId, u32)> {
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
        let is_complete = |key: &(TaskId, u32), count: &u32| {
            self.oracle
                .step(key.0)
                .is_some_and(|step| step.count == *count)
        };
        let working: BTreeSet<(TaskId, u32)> = present
            .iter()
            .filter(|(key, count)| is_complete(key, count))
            .map(|(key, _)| *key)
            .collect();
        for key in &working {
            self.gangs.entry(*key).or_insert(false);
        }
        working
    }

    /// Ends members whose gang has lost a member, and members that waited too long for the others.
    pub(crate) fn end_gangs(&mut self) {
        let mut over = Vec::new();
        for (machine, slot) in self.server_slots.iter().enumerate() {
            let Some(server) = &slot.server else {
                continue;
            };
            for (task, run) in server.runs.iter().filter(|(_, run)| run.gang) {
                match self.gangs.get(&gang_key(*task, run.attempt)) {
                    Some(true) => over.push((machine, *task, run.attempt)),
                    None if self.now > run.started_at + GANG_TIMEOUT_MS => {
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

/// Identifies an attempt of a gang, by its first member.
pub(crate) fn gang_key(task: TaskId, attempt: u32) -> (TaskId, u32) {
    (TaskId { index: 0, ..task }, attempt)
}
