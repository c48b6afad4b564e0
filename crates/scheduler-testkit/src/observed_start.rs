//! A start as a server observes it.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::job::Resources;

/// A start as a server observes it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedStart<'a> {
    /// When the server started the run.
    pub(crate) now: u64,
    /// The wall clock time, in milliseconds since 1970.
    pub(crate) wall_ms: u64,
    /// The server's slot in the farm.
    pub(crate) slot: usize,
    /// The server's incarnation.
    pub(crate) incarnation: u64,
    /// The task.
    pub(crate) task: TaskId,
    /// The number of the attempt.
    pub(crate) attempt: Attempt,
    /// The job's spec in the order to start.
    pub(crate) spec: &'a str,
    /// The checkpoint that the run continues from; empty for none.
    pub(crate) checkpoint: &'a str,
    /// The resources that the server's other runs use.
    pub(crate) used: Resources,
    /// The server's capacity.
    pub(crate) capacity: Resources,
    /// The server's labels.
    pub(crate) labels: &'a [String],
    /// The number of other runs of the same step and occurrence on the server.
    pub(crate) siblings: u32,
    /// Since when the server has been draining.
    pub(crate) draining_since: Option<u64>,
}
