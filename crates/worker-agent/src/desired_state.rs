//! What the owner wants to run on the server, compared with what runs there.

use crate::attempt_watermarks::AttemptMarks;
use crate::heartbeat_response::StopOrder;
use lupinrack_cluster_api::agent::{Assignment, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::server::{FinishedTask, RunningTask};
use std::collections::{BTreeMap, BTreeSet};

/// How many tasks' ends, and as many tasks' stops, are remembered.
pub const MARKED_TASKS_MOST: usize = 50_000;

/// The most bytes of texts in the starts of one answer. A byte can take six in JSON, and a server takes 4 MiB.
pub const STARTS_BYTES_MOST: usize = 512 * 1024;

/// The starts that are missing on the server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingStarts {
    /// Those to order now.
    pub starts: Vec<Assignment>,
    /// Whether there are others, which have to wait.
    pub withheld: bool,
}

/// The desired state of one life of the server.
#[derive(Clone, Debug)]
pub struct Orders {
    desired: BTreeMap<TaskId, Assignment>,
    stopped: AttemptMarks,
    ended: AttemptMarks,
}

impl Default for Orders {
    fn default() -> Self {
        let marks = || AttemptMarks::new(MARKED_TASKS_MOST);
        Orders {
            desired: BTreeMap::new(),
            stopped: marks(),
            ended: marks(),
        }
    }
}

impl Orders {
    /// Takes the owner's orders. A message that is whole replaces all earlier ones; only the memory of ends stays.
    pub fn apply(&mut self, message: OwnerMessage) {
        if message.complete {
            self.desired.clear();
            self.stopped.clear();
        }
        for (task, attempt) in message.stop {
            self.stop(task, attempt);
        }
        for assignment in message.assign {
            self.assign(assignment);
        }
    }

    /// Takes note of ends: what has ended is no longer desired, nor taken as an order again.
    pub fn note_ends(&mut self, finished: &[FinishedTask]) {
        for end in finished {
            self.ended.raise(end.task, end.attempt);
            self.drop_desired(&end.task, end.attempt);
        }
    }

    /// The desired runs that the server does not have; `allowed` says whether it may be told to start any. A run waits
    /// while an earlier one of its task is still there.
    pub fn missing_starts(&self, running: &[RunningTask], allowed: bool) -> MissingStarts {
        let present: BTreeSet<(TaskId, Attempt)> =
            running.iter().map(|run| (run.task, run.attempt)).collect();
        let mut missing = MissingStarts::default();
        let mut bytes = 0;
        for assignment in self.desired.values() {
            let newest = newest_present(&present, &assignment.task);
            if newest.is_some_and(|attempt| attempt >= assignment.attempt) {
                continue;
            }
            bytes += assignment.spec.len() + assignment.checkpoint.len();
            let fits = missing.starts.is_empty() || bytes <= STARTS_BYTES_MOST;
            if allowed && newest.is_none() && fits {
                missing.starts.push(assignment.clone());
            } else {
                missing.withheld = true;
            }
        }
        missing
    }

    /// The runs on the server that the owner wants stopped, or that a newer start of their task replaces.
    pub fn stops<'a>(&'a self, running: &'a [RunningTask]) -> impl Iterator<Item = StopOrder> + 'a {
        let unwanted = running.iter().filter(|run| self.is_unwanted(run));
        unwanted.map(|run| StopOrder {
            task: run.task.to_string(),
            attempt: run.attempt,
        })
    }

    fn is_unwanted(&self, run: &RunningTask) -> bool {
        let replaced = self
            .desired
            .get(&run.task)
            .is_some_and(|newer| run.attempt < newer.attempt);
        replaced || self.stopped.covers(&run.task, run.attempt)
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt) {
        self.stopped.raise(task, attempt);
        self.drop_desired(&task, attempt);
    }

    fn assign(&mut self, assignment: Assignment) {
        let (task, attempt) = (assignment.task, assignment.attempt);
        let over = self.ended.covers(&task, attempt) || self.stopped.covers(&task, attempt);
        let outdated = self
            .desired
            .get(&task)
            .is_some_and(|newer| attempt < newer.attempt);
        if !over && !outdated {
            self.desired.insert(task, assignment);
        }
    }

    fn drop_desired(&mut self, task: &TaskId, attempt: Attempt) {
        if self
            .desired
            .get(task)
            .is_some_and(|desired| desired.attempt <= attempt)
        {
            self.desired.remove(task);
        }
    }
}

fn newest_present(present: &BTreeSet<(TaskId, Attempt)>, task: &TaskId) -> Option<Attempt> {
    present
        .range((*task, Attempt::MIN)..=(*task, Attempt::MAX))
        .next_back()
        .map(|(_, attempt)| *attempt)
}
