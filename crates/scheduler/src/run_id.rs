//! The identity of a run.

use lupinrack_cluster_api::identity::{Attempt, TaskId};

/// The identity of one start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunId {
    pub(crate) task: TaskId,
    /// The attempt number of the start.
    pub(crate) attempt: Attempt,
}

impl RunId {
    pub(crate) fn new(task: TaskId, attempt: Attempt) -> RunId {
        RunId { task, attempt }
    }
}
