//! What becomes of a heartbeat that the agent received.

use crate::heartbeat_response::HeartbeatResponse;
use crate::server_heartbeat::{ServerHeartbeat, UnknownRun};
use lupinrack_cluster_api::time::Millis;

/// What becomes of a heartbeat that the agent received.
#[derive(Clone, Debug)]
pub enum HeartbeatOutcome {
    /// It is answered at once, without orders: it is stale, or of an incarnation that is not confirmed yet.
    Answered(HeartbeatResponse),
    /// It is answered by [`Agent::respond_to_heartbeat`](crate::Agent::respond_to_heartbeat), now or a moment later.
    Pending(PendingHeartbeat),
}

/// A heartbeat that was taken and not answered yet. The driver may let the server wait a moment for orders.
#[derive(Clone, Debug)]
pub struct PendingHeartbeat {
    /// Runs that this system cannot have started, and that the response stops.
    pub(crate) unknown_runs: Vec<UnknownRun>,
    /// When it arrived; the lease in its response counts from then.
    pub arrived_at: Millis,
    /// Whether it lists ends, whose capacity is likely to be given to other tasks soon.
    pub lists_ends: bool,
    /// Whether it lists neither runs nor ends.
    pub idle: bool,
}

impl PendingHeartbeat {
    pub(crate) fn new(received: &ServerHeartbeat, arrived_at: Millis) -> PendingHeartbeat {
        let lists_ends = !received.heartbeat.finished.is_empty();
        PendingHeartbeat {
            unknown_runs: received.unknown_runs.clone(),
            arrived_at,
            lists_ends,
            idle: received.heartbeat.running.is_empty() && !lists_ends,
        }
    }
}
