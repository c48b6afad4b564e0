//! Processes that subscribed to views and configurations.

use super::CoreMachine;
use crate::core::pending_requests::UpdateRequest;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::time::Millis;

impl CoreMachine {
    /// A process subscribed, or said again what it has. It is sent the newest view at once, and the newest configuration
    /// by the head, after a barrier that begins after now: so the answer was true at a moment after the request.
    pub(super) fn on_subscribe(
        &mut self,
        connection: u64,
        interest: Interest,
        requested_at: Millis,
    ) {
        let view = self.views.current();
        let subscriber = self.subscribers.subscribe(connection, interest);
        subscriber.requested_at = requested_at;
        if subscriber.sent_view < view.number {
            subscriber.sent_view = view.number;
            self.outbox
                .send_on(connection, Frame::ViewUpdate(view.clone()));
        }
        if let Interest::Configuration { have } = interest {
            if self.chain.is_head() {
                self.requests.await_update(UpdateRequest {
                    connection,
                    have,
                    requested_at,
                });
            }
        }
    }

    /// Answers a subscriber after the barrier for which its request waited.
    pub(super) fn send_update(&mut self, request: UpdateRequest) {
        let newest = self.replica.state().configuration();
        if newest.version == 0 {
            return;
        }
        let is_known = request.have == newest.version;
        let update = Frame::ConfigurationUpdate {
            requested_at: request.requested_at,
            age_ms: 0,
            version: newest.version,
            configuration: (!is_known).then(|| newest.clone()),
        };
        self.outbox.send_on(request.connection, update);
    }

    /// Sends a change that was committed to all subscribers that want it. When it was committed is not certain here: the
    /// message that says so may have been long on its way. So the update carries no moment, and subscribers ask at once.
    pub(super) fn send_configuration(&mut self) {
        if !self.chain.is_head() {
            return;
        }
        let newest = self.replica.state().configuration();
        for (connection, subscriber) in self.subscribers.iter_mut() {
            if !subscriber.wants(newest.version) {
                continue;
            }
            subscriber.was_sent(newest.version);
            let update = Frame::ConfigurationUpdate {
                requested_at: Millis(0),
                age_ms: 0,
                version: newest.version,
                configuration: Some(newest.clone()),
            };
            self.outbox.send_on(*connection, update);
        }
    }
}
