//! Heartbeats whose responses are not delayed.

use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::{Agent, HeartbeatOutcome, HeartbeatResponse, ServerHeartbeat};

pub trait AnswerAtOnce {
    /// Receives a heartbeat at `now` and responds to it at the same time.
    fn heartbeat(&mut self, heartbeat: ServerHeartbeat, now: Millis) -> HeartbeatResponse;
}

impl AnswerAtOnce for Agent {
    fn heartbeat(&mut self, heartbeat: ServerHeartbeat, now: Millis) -> HeartbeatResponse {
        match self.receive_heartbeat(heartbeat, now) {
            HeartbeatOutcome::Answered(response) => response,
            HeartbeatOutcome::Pending(pending) => self.respond_to_heartbeat(&pending, now),
        }
    }
}
