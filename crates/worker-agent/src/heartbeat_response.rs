//! The answer to a heartbeat.

use lupinrack_cluster_api::agent::Assignment;
use lupinrack_cluster_api::identity::{Attempt, FencingToken};

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The name of its task as the server lists it, also where it is none of ours.
    pub task: String,
    /// The number of its start.
    pub attempt: Attempt,
}

/// What a server is told in answer to a heartbeat. Zero and empty fields are left out of its JSON form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatResponse {
    /// Runs to start.
    pub starts: Vec<Assignment>,
    /// Runs to stop.
    pub stops: Vec<StopOrder>,
    /// Ends up to this number may be forgotten.
    pub observed: u64,
    /// The token of the owner that the orders are from.
    pub token: FencingToken,
    /// How long, in milliseconds from the sending of the heartbeat, the server may hold what runs.
    pub lease_ms: u64,
    /// How long, in milliseconds, the server should wait before it beats again.
    pub heartbeat_after_ms: u64,
}
