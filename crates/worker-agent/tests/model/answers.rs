//! Answers to heartbeats, which may be left open for a time.

use crate::world::{Packet, World, TROUBLE_MS};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_worker_agent::heartbeat_json::render;
use lupinrack_worker_agent::{HeartbeatResponse, PendingHeartbeat};

/// A heartbeat, as it is known again in its answer.
pub struct BeatCall {
    pub server: ServerId,
    pub sequence: u64,
    /// By the model's clock.
    pub arrived_at: u64,
}

/// A heartbeat whose answer waits for orders.
pub struct OpenCall {
    pub open: PendingHeartbeat,
    pub call: BeatCall,
    pub until: u64,
    /// The owner's messages that were taken since it arrived.
    pub messages: u64,
}

impl World {
    /// Answers the open heartbeat if there are orders, or if it has waited for long enough.
    pub fn answer_if_due(&mut self) {
        let Some(open) = &self.open else { return };
        let has_orders = self.agent.has_orders(self.agent_now());
        if has_orders || self.now >= open.until {
            self.answer_open();
        }
    }

    pub fn answer_open(&mut self) {
        let Some(OpenCall {
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
        self.send_answer(call, &answer);
    }

    pub fn send_answer(&mut self, call: BeatCall, answer: &HeartbeatResponse) {
        let BeatCall {
            server,
            sequence,
            arrived_at,
        } = call;
        if answer.token != FencingToken::default() {
            assert!(answer.token >= self.answered_token, "the token fell");
            self.answered_token = answer.token;
        }
        assert!(
            answer.starts.is_empty() || !self.told_to_leave.contains(&server),
            "a start for a server that leaves"
        );
        let granted_until = self.granted_until.get(&server).copied().unwrap_or(0);
        // The server counts from the sending, which lies before the arrival.
        assert!(
            answer.lease_ms == 0 || arrived_at + answer.lease_ms <= granted_until,
            "a hold beyond the grant"
        );
        let lost = self.now < TROUBLE_MS && self.random.once_in(10);
        let delay = self.delay(self.now >= TROUBLE_MS);
        if !lost {
            self.send(
                Packet::Answer {
                    server,
                    sequence,
                    body: render(answer),
                },
                delay,
            );
        }
    }
}
