//! What identifies a run.

use lupinrack_cluster_api::identity::{Attempt, TaskId};

/// One start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunId {
    /// The task.
    pub(crate) task: TaskId,
    /// The number of the start.
    pub(crate) attempt: Attempt,
}

impl RunId {
    /// The run of a task under this attempt.
    pub(crate) fn new(task: TaskId, attempt: Attempt) -> RunId {
        RunId { task, attempt }
    }
}
