//! The runs that the owner wants on the server, compared with the runs that the server lists.

use crate::attempt_watermarks::AttemptWatermarks;
use crate::heartbeat_response::StopOrder;
use lupinrack_cluster_api::agent::{Assignment, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::server::{FinishedTask, RunningTask};
use std::collections::{BTreeMap, BTreeSet};

/// The largest number of tasks whose ends are kept, and of tasks whose stops are kept.
pub const MAX_WATERMARKED_TASKS: usize = 50_000;

/// The largest total size, in bytes, of the specs and checkpoints in the starts of one response. A byte can take six bytes in
/// JSON, and a server accepts 4 MiB.
pub const MAX_START_BYTES: usize = 512 * 1024;

/// Whether the server may be ordered to start runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartPermission {
    /// It may: it has a lease, is not draining, and lists every end.
    Granted,
    /// Starts have to wait.
    Withheld,
}

/// The desired runs that the server has not started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MissingStarts {
    /// The starts to order now.
    pub(crate) starts: Vec<Assignment>,
    /// Whether further starts were withheld.
    pub(crate) has_withheld: bool,
}

/// The runs that one incarnation of the server should have, and the attempts that must not run there again.
#[derive(Clone, Debug)]
pub(crate) struct DesiredState {
    assignments: BTreeMap<TaskId, Assignment>,
    /// Attempts that the owner has stopped.
    stopped: AttemptWatermarks,
    /// Attempts that have ended on the server.
    ended: AttemptWatermarks,
}

impl Default for DesiredState {
    fn default() -> Self {
        DesiredState {
            assignments: BTreeMap::new(),
            stopped: AttemptWatermarks::new(MAX_WATERMARKED_TASKS),
            ended: AttemptWatermarks::new(MAX_WATERMARKED_TASKS),
        }
    }
}

impl DesiredState {
    /// Applies the owner's orders. A complete message replaces all earlier ones; recorded ends are kept.
    pub(crate) fn apply(&mut self, message: OwnerMessage) {
        if message.complete {
            self.assignments.clear();
            self.stopped.clear();
        }
        for (task, attempt) in message.stop {
            self.stop(task, attempt);
        }
        for assignment in message.assign {
            self.assign(assignment);
        }
    }

    /// Records ends: an ended run is no longer desired, and is not accepted as an order again.
    pub(crate) fn record_ends(&mut self, finished: &[FinishedTask]) {
        for end in finished {
            self.ended.raise(end.task, end.attempt);
            self.remove_assignment(&end.task, end.attempt);
        }
    }

    /// The desired runs that the server does not list. A start waits while an earlier attempt of its task is still running,
    /// and while it does not fit into the response.
    pub(crate) fn missing_starts(
        &self,
        running: &[RunningTask],
        permission: StartPermission,
    ) -> MissingStarts {
        let present: BTreeSet<(TaskId, Attempt)> =
            running.iter().map(|run| (run.task, run.attempt)).collect();
        let mut missing = MissingStarts::default();
        let mut bytes = 0;
        for assignment in self.assignments.values() {
            let newest = newest_attempt(&present, &assignment.task);
            if newest.is_some_and(|attempt| attempt >= assignment.attempt) {
                continue;
            }
            bytes += assignment.spec.len() + assignment.checkpoint.len();
            // The first start is always included: one that exceeds the limit alone would otherwise wait forever.
            let fits = missing.starts.is_empty() || bytes <= MAX_START_BYTES;
            if permission == StartPermission::Granted && newest.is_none() && fits {
                missing.starts.push(assignment.clone());
            } else {
                missing.has_withheld = true;
            }
        }
        missing
    }

    /// The runs on the server that the owner has stopped, or that a newer attempt of their task replaces.
    pub(crate) fn stops<'a>(
        &'a self,
        running: &'a [RunningTask],
    ) -> impl Iterator<Item = StopOrder> + 'a {
        running
            .iter()
            .filter(|run| self.is_unwanted(run))
            .map(|run| StopOrder {
                task: run.task.to_string(),
                attempt: run.attempt,
            })
    }

    fn is_unwanted(&self, run: &RunningTask) -> bool {
        let replaced = self
            .assignments
            .get(&run.task)
            .is_some_and(|newer| run.attempt < newer.attempt);
        replaced || self.stopped.covers(&run.task, run.attempt)
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt) {
        self.stopped.raise(task, attempt);
        self.remove_assignment(&task, attempt);
    }

    fn assign(&mut self, assignment: Assignment) {
        let (task, attempt) = (assignment.task, assignment.attempt);
        let has_ended = self.ended.covers(&task, attempt) || self.stopped.covers(&task, attempt);
        let outdated = self
            .assignments
            .get(&task)
            .is_some_and(|newer| attempt < newer.attempt);
        if !has_ended && !outdated {
            self.assignments.insert(task, assignment);
        }
    }

    /// Removes the task's assignment unless it is of a later attempt.
    fn remove_assignment(&mut self, task: &TaskId, attempt: Attempt) {
        let covered = self
            .assignments
            .get(task)
            .is_some_and(|assignment| assignment.attempt <= attempt);
        if covered {
            self.assignments.remove(task);
        }
    }
}

fn newest_attempt(present: &BTreeSet<(TaskId, Attempt)>, task: &TaskId) -> Option<Attempt> {
    let attempts_of_task = (*task, Attempt::MIN)..=(*task, Attempt::MAX);
    present
        .range(attempts_of_task)
        .next_back()
        .map(|(_, attempt)| *attempt)
}
