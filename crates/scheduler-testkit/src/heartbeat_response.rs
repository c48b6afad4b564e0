//! The response to a heartbeat, as a server reads it.

use lupinrack_cluster_api::identity::{Attempt, FencingToken, TaskId};

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub attempt: Attempt,
    /// The text of the job.
    pub spec: String,
    /// The checkpoint to continue from; empty for none.
    pub checkpoint: String,
}

/// The response to a heartbeat.
#[derive(Clone, Debug)]
pub struct HeartbeatResponse {
    /// When the server sent the heartbeat.
    pub heartbeat_sent_at: u64,
    /// The token of the owner that the orders are from.
    pub token: FencingToken,
    /// The lease from the sending of the heartbeat on; 0 for none.
    pub lease_ms: u64,
    /// The owner has recorded the ends up to this number.
    pub observed: u64,
    /// Runs to start.
    pub starts: Vec<StartCommand>,
    /// Runs to stop.
    pub stops: Vec<(TaskId, Attempt)>,
    /// After how long the next heartbeat is wanted.
    pub heartbeat_after_ms: u64,
}
