//! The response to a heartbeat, as a server receives it.

use lupinrack_cluster_api::identity::{Attempt, FencingToken, TaskId};

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The job's spec.
    pub spec: String,
    /// The checkpoint to continue from; empty for none.
    pub checkpoint: String,
}

/// The response to a heartbeat.
#[derive(Clone, Debug)]
pub struct HeartbeatResponse {
    /// When the server sent the heartbeat.
    pub heartbeat_sent_at: u64,
    /// The fencing token of the owner that sent the orders.
    pub token: FencingToken,
    /// The lease, counted from when the heartbeat was sent; 0 for none.
    pub lease_ms: u64,
    /// The owner has recorded the ends up to and including this number.
    pub observed: u64,
    /// Runs to start.
    pub starts: Vec<StartCommand>,
    /// Runs to stop.
    pub stops: Vec<(TaskId, Attempt)>,
    /// The delay until the next heartbeat.
    pub heartbeat_after_ms: u64,
}
