//! The response to a heartbeat.

use lupinrack_cluster_api::agent::Assignment;
use lupinrack_cluster_api::identity::{Attempt, FencingToken};

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The name of the run's task as the server lists it, also where it is none of this system's.
    pub task: String,
    /// The number of the run's start.
    pub attempt: Attempt,
}

/// What a server learns from the response to a heartbeat. Zero and empty fields are left out of its JSON form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatResponse {
    /// Runs to start.
    pub starts: Vec<Assignment>,
    /// Runs to stop.
    pub stops: Vec<StopOrder>,
    /// The owner has recorded the ends up to this number; the server may forget them.
    pub observed: u64,
    /// The fencing token of the owner that the orders are from.
    pub token: FencingToken,
    /// The lease of what runs, in milliseconds from the moment at which the server sent the heartbeat; 0 for none.
    pub lease_ms: u64,
    /// How long the server should wait before its next heartbeat, in milliseconds; 0 leaves that to the server.
    pub heartbeat_after_ms: u64,
}
