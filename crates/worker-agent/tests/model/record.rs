//! The replicated record of tasks, reduced to the parts that the agent's safety depends on.

use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::server::RunEnd;
use std::collections::BTreeMap;

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    Waiting,
    Assigned(ServerId),
    /// It runs on a server other than the modelled one until this time.
    Elsewhere(u64),
    Done,
}

#[derive(Clone, Debug)]
pub struct TaskEntry {
    pub state: TaskState,
    pub attempt: Attempt,
}

/// The record; it rejects writes under a lower token than the highest.
pub struct Record {
    pub tasks: BTreeMap<TaskId, TaskEntry>,
    pub token: u64,
}

impl Record {
    pub fn new(tasks: impl Iterator<Item = TaskId>) -> Record {
        let entry = TaskEntry {
            state: TaskState::Waiting,
            attempt: 0,
        };
        Record {
            tasks: tasks.map(|task| (task, entry.clone())).collect(),
            token: 0,
        }
    }

    /// Assigns a waiting task and returns its attempt, unless the token is outdated.
    pub fn start(&mut self, token: u64, task: TaskId, state: TaskState) -> Option<Attempt> {
        let entry = self.tasks.get_mut(&task)?;
        if token < self.token || entry.state != TaskState::Waiting {
            return None;
        }
        entry.attempt += 1;
        entry.state = state;
        Some(entry.attempt)
    }

    /// Records an end. Returns whether the token was accepted.
    pub fn end(&mut self, token: u64, task: TaskId, attempt: Attempt, end: RunEnd) -> bool {
        if token < self.token {
            return false;
        }
        if let Some(entry) = self.tasks.get_mut(&task) {
            if matches!(entry.state, TaskState::Assigned(_)) && entry.attempt == attempt {
                entry.state = if end == RunEnd::Done {
                    TaskState::Done
                } else {
                    TaskState::Waiting
                };
            }
        }
        true
    }

    /// The tasks assigned to this incarnation of the server.
    pub fn assigned(&self, server: &ServerId) -> Vec<(TaskId, Attempt)> {
        self.assigned_if(|incarnation| incarnation == server)
    }

    /// The tasks assigned to incarnations for which `matches_incarnation` is true.
    pub fn assigned_if(
        &self,
        matches_incarnation: impl Fn(&ServerId) -> bool,
    ) -> Vec<(TaskId, Attempt)> {
        let assigned = |entry: &TaskEntry| matches!(&entry.state, TaskState::Assigned(incarnation) if matches_incarnation(incarnation));
        let tasks = self.tasks.iter().filter(|(_, entry)| assigned(entry));
        tasks.map(|(task, entry)| (*task, entry.attempt)).collect()
    }

    pub fn end_elsewhere(&mut self, now: u64) {
        for entry in self.tasks.values_mut() {
            if matches!(entry.state, TaskState::Elsewhere(until) if until <= now) {
                entry.state = TaskState::Waiting;
            }
        }
    }

    pub fn all_done(&self) -> bool {
        self.tasks
            .values()
            .all(|entry| entry.state == TaskState::Done)
    }
}
