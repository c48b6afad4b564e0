//! What has happened to a task.

use lupinrack_cluster_api::identity::Attempt;
use std::collections::BTreeSet;

/// What has happened to a task.
#[derive(Clone, Debug, Default)]
pub struct TaskHistory {
    /// Where it runs: slots of the farm, and the incarnations of their servers.
    pub running_on: BTreeSet<(usize, u64)>,
    /// When it was started last.
    pub last_start_at: Option<u64>,
    /// When it was done first.
    pub done_at: Option<u64>,
    /// Whether the owner has recorded that it is done.
    pub done_recorded: bool,
    /// How often it failed.
    pub failures: u32,
    /// How many of its failures the owner has recorded.
    pub failures_recorded: u32,
    /// The highest number of its starts.
    pub highest_attempt: Attempt,
}
