//! The replicated record of tasks, reduced to what the agent's safety rests on.

use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::server::RunEnd;
use std::collections::BTreeMap;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    Waiting,
    Assigned(ServerId),
    /// It runs on a server other than the modelled one until this moment.
    Elsewhere(u64),
    Done,
}

#[derive(Clone, Debug)]
pub struct TaskEntry {
    pub place: Place,
    pub attempt: Attempt,
}

/// The record; writes under a lower token than the highest are refused.
pub struct Record {
    pub tasks: BTreeMap<TaskId, TaskEntry>,
    pub token: u64,
}

impl Record {
    pub fn new(tasks: impl Iterator<Item = TaskId>) -> Record {
        let entry = TaskEntry {
            place: Place::Waiting,
            attempt: 0,
        };
        Record {
            tasks: tasks.map(|task| (task, entry.clone())).collect(),
            token: 0,
        }
    }

    /// Assigns a waiting task; its attempt, where that holds.
    pub fn start(&mut self, token: u64, task: TaskId, place: Place) -> Option<Attempt> {
        let entry = self.tasks.get_mut(&task)?;
        if token < self.token || entry.place != Place::Waiting {
            return None;
        }
        entry.attempt += 1;
        entry.place = place;
        Some(entry.attempt)
    }

    /// Records an end; whether the token was not refused.
    pub fn end(&mut self, token: u64, task: TaskId, attempt: Attempt, end: RunEnd) -> bool {
        if token < self.token {
            return false;
        }
        if let Some(entry) = self.tasks.get_mut(&task) {
            if matches!(entry.place, Place::Assigned(_)) && entry.attempt == attempt {
                entry.place = if end == RunEnd::Done {
                    Place::Done
                } else {
                    Place::Waiting
                };
            }
        }
        true
    }

    /// The tasks that are assigned to this life of the server.
    pub fn assigned(&self, server: &ServerId) -> Vec<(TaskId, Attempt)> {
        self.assigned_if(|incarnation| incarnation == server)
    }

    /// The tasks that are assigned to lives for which `fits` holds.
    pub fn assigned_if(&self, fits: impl Fn(&ServerId) -> bool) -> Vec<(TaskId, Attempt)> {
        let assigned = |entry: &TaskEntry| matches!(&entry.place, Place::Assigned(incarnation) if fits(incarnation));
        let tasks = self.tasks.iter().filter(|(_, entry)| assigned(entry));
        tasks.map(|(task, entry)| (*task, entry.attempt)).collect()
    }

    pub fn end_elsewhere(&mut self, now: u64) {
        for entry in self.tasks.values_mut() {
            if matches!(entry.place, Place::Elsewhere(until) if until <= now) {
                entry.place = Place::Waiting;
            }
        }
    }

    pub fn all_done(&self) -> bool {
        self.tasks.values().all(|entry| entry.place == Place::Done)
    }
}
