//! The observed starts, ends and failures of a task.

use lupinrack_cluster_api::identity::Attempt;
use std::collections::BTreeSet;

/// The observed starts, ends and failures of a task.
#[derive(Clone, Debug, Default)]
pub struct TaskHistory {
    /// The servers that run the task: slots of the farm, and incarnations.
    pub running_on: BTreeSet<(usize, u64)>,
    /// When the task was last started.
    pub last_start_at: Option<u64>,
    /// When the task was first done.
    pub done_at: Option<u64>,
    /// Whether the owner has recorded that the task is done.
    pub done_recorded: bool,
    /// How often the task has failed.
    pub failures: u32,
    /// How many of these failures the owner has recorded.
    pub failures_recorded: u32,
    /// The highest attempt that was started.
    pub highest_attempt: Attempt,
}
