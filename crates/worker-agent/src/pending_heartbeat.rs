//! The outcome of receiving a heartbeat.

use crate::heartbeat_response::HeartbeatResponse;
use crate::server_heartbeat::{ServerHeartbeat, UnknownRun};
use lupinrack_cluster_api::time::Millis;

/// The outcome of receiving a heartbeat.
#[derive(Clone, Debug)]
pub enum HeartbeatOutcome {
    /// The driver sends this response, without orders, at once: the heartbeat is stale, or its incarnation is unconfirmed.
    Answered(HeartbeatResponse),
    /// The driver calls [`Agent::respond_to_heartbeat`](crate::Agent::respond_to_heartbeat) now or shortly afterwards.
    Pending(PendingHeartbeat),
}

/// An accepted heartbeat without a response. The driver may delay the response until there are orders.
#[derive(Clone, Debug)]
pub struct PendingHeartbeat {
    /// Runs that this system cannot have started; the response stops them.
    pub(crate) unknown_runs: Vec<UnknownRun>,
    /// When it arrived; the lease in its response starts at this time.
    pub arrived_at: Millis,
    /// Whether it lists ends: the freed capacity is likely to be assigned to other tasks soon.
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
