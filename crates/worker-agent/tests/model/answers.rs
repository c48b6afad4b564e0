//! Responses to heartbeats, which may wait for a time.

use crate::world::{Packet, World, FAULTS_MS};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_worker_agent::heartbeat_json::render;
use lupinrack_worker_agent::{HeartbeatResponse, PendingHeartbeat};

/// A heartbeat, as it is known again in its answer.
pub struct HeartbeatCall {
    pub server: ServerId,
    pub sequence: u64,
    /// By the model's clock.
    pub arrived_at: u64,
}

/// A heartbeat whose answer waits for orders.
pub struct PendingCall {
    pub open: PendingHeartbeat,
    pub call: HeartbeatCall,
    pub until: u64,
    /// The owner's messages that were accepted since it arrived.
    pub messages: u64,
}

impl World {
    /// Answers the open heartbeat if there are orders, or if it has waited for long enough.
    pub fn respond_if_due(&mut self) {
        let Some(open) = &self.open else { return };
        let has_orders = self.agent.has_orders(self.agent_now());
        if has_orders || self.now >= open.until {
            self.respond_to_pending();
        }
    }

    pub fn respond_to_pending(&mut self) {
        let Some(PendingCall {
            open,
            call,
            messages,
            ..
        }) = self.open.take()
        else {
            return;
        };
        let had_orders = self.agent.has_orders(self.agent_now());
        let answer = self.agent.respond_to_heartbeat(&open, self.agent_now());
        let ordered = !answer.starts.is_empty() || !answer.stops.is_empty();
        assert!(
            !had_orders || ordered,
            "the orders that there were are not in the answer"
        );
        if self.now > call.arrived_at {
            self.counts.waits += u64::from(!ordered);
            self.counts.waits_for_orders += u64::from(ordered);
            self.counts.messages_meanwhile += u64::from(messages > 0);
        }
        self.send_response(call, &answer);
    }

    pub fn send_response(&mut self, call: HeartbeatCall, answer: &HeartbeatResponse) {
        let HeartbeatCall {
            server,
            sequence,
            arrived_at,
        } = call;
        if answer.token != FencingToken::default() {
            assert!(answer.token >= self.response_token, "the token fell");
            self.response_token = answer.token;
        }
        assert!(
            answer.starts.is_empty() || !self.deregistered.contains(&server),
            "a start for a server that has deregistered"
        );
        let granted_until = self.granted_until.get(&server).copied().unwrap_or(0);
        // The server counts from the sending, which lies before the arrival.
        assert!(
            answer.lease_ms == 0 || arrived_at + answer.lease_ms <= granted_until,
            "a lease beyond the grant"
        );
        let lost = self.now < FAULTS_MS && self.random.once_in(10);
        let delay = self.delay(self.now >= FAULTS_MS);
        if !lost {
            self.send(
                Packet::Response {
                    server,
                    sequence,
                    body: render(answer),
                },
                delay,
            );
        }
    }
}
