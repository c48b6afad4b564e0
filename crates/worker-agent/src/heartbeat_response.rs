//! The response to a heartbeat.

use lupinrack_cluster_api::agent::Assignment;
use lupinrack_cluster_api::identity::{Attempt, FencingToken};

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The name of the run's task as the server lists it, even if it is not a task of this system.
    pub task: String,
    /// The number of the attempt.
    pub attempt: Attempt,
}

/// The content of a response to a heartbeat. Its JSON form omits fields that are zero or empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatResponse {
    /// Runs to start.
    pub starts: Vec<Assignment>,
    /// Runs to stop.
    pub stops: Vec<StopOrder>,
    /// The owner has recorded the ends up to this number, so the server may discard them.
    pub observed: u64,
    /// The fencing token of the owner that gave the orders.
    pub token: FencingToken,
    /// The lease of the runs, in milliseconds from the time at which the server sent the heartbeat; 0 for none.
    pub lease_ms: u64,
    /// How long the server should wait before its next heartbeat, in milliseconds; with 0 the server decides.
    pub heartbeat_after_ms: u64,
}
