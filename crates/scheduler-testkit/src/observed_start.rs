//! A start as a server observes it.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::job::Resources;

/// A start as a server observes it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedStart<'a> {
    /// When.
    pub(crate) now: u64,
    /// The time of day, in milliseconds since 1970.
    pub(crate) wall_ms: u64,
    /// The server's slot in the farm.
    pub(crate) slot: usize,
    /// The server's incarnation.
    pub(crate) incarnation: u64,
    /// The task.
    pub(crate) task: TaskId,
    /// The number of the start.
    pub(crate) attempt: Attempt,
    /// The text of its job.
    pub(crate) spec: &'a str,
    /// The checkpoint that it continues from; empty for none.
    pub(crate) checkpoint: &'a str,
    /// What the server's runs need already.
    pub(crate) used: Resources,
    /// What the server has.
    pub(crate) capacity: Resources,
    /// The server's labels.
    pub(crate) labels: &'a [String],
    /// Runs of the same step and occurrence on the server.
    pub(crate) siblings: u32,
    /// Since when the server drains.
    pub(crate) draining_since: Option<u64>,
}
