//! Responses to heartbeats, some of which are delayed.

use crate::world::{Packet, World, FAULTS_MS};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_worker_agent::heartbeat_json::render;
use lupinrack_worker_agent::{HeartbeatResponse, PendingHeartbeat};

/// The heartbeat that a response belongs to.
pub struct HeartbeatCall {
    pub server: ServerId,
    pub sequence: u64,
    /// On the model's clock.
    pub arrived_at: u64,
}

/// A heartbeat whose response is delayed until there are orders.
pub struct PendingCall {
    pub pending: PendingHeartbeat,
    pub call: HeartbeatCall,
    pub until: u64,
    /// How many of the owner's messages the agent has accepted since the heartbeat arrived.
    pub messages: u64,
}

impl World {
    /// Responds to the pending heartbeat if there are orders or its delay is over.
    pub fn respond_if_due(&mut self) {
        let Some(pending) = &self.pending else { return };
        let has_orders = self.agent.has_orders(self.agent_now());
        if has_orders || self.now >= pending.until {
            self.respond_to_pending();
        }
    }

    pub fn respond_to_pending(&mut self) {
        let Some(PendingCall {
            pending,
            call,
            messages,
            ..
        }) = self.pending.take()
        else {
            return;
        };
        let had_orders = self.agent.has_orders(self.agent_now());
        let response = self.agent.respond_to_heartbeat(&pending, self.agent_now());
        let ordered = !response.starts.is_empty() || !response.stops.is_empty();
        assert!(
            !had_orders || ordered,
            "the response lacks the orders that there were"
        );
        if self.now > call.arrived_at {
            self.counts.delayed_without_orders += u64::from(!ordered);
            self.counts.delayed_with_orders += u64::from(ordered);
            self.counts.delayed_with_messages += u64::from(messages > 0);
        }
        self.send_response(call, &response);
    }

    pub fn send_response(&mut self, call: HeartbeatCall, response: &HeartbeatResponse) {
        let HeartbeatCall {
            server,
            sequence,
            arrived_at,
        } = call;
        if response.token != FencingToken::default() {
            assert!(response.token >= self.response_token, "the token decreased");
            self.response_token = response.token;
        }
        assert!(
            response.starts.is_empty() || !self.deregistered.contains(&server),
            "a start for a server that has deregistered"
        );
        let granted_until = self.granted_until.get(&server).copied().unwrap_or(0);
        // The server counts the lease from the time at which it sent the heartbeat, which is before the arrival.
        assert!(
            response.lease_ms == 0 || arrived_at + response.lease_ms <= granted_until,
            "a lease beyond the grant"
        );
        let lost = self.now < FAULTS_MS && self.random.once_in(10);
        let delay = self.delay(self.now >= FAULTS_MS);
        if !lost {
            self.send(
                Packet::Response {
                    server,
                    sequence,
                    body: render(response),
                },
                delay,
            );
        }
    }
}
