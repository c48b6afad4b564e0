//! Updates of views and configurations to subscribed processes.

use super::CoreMachine;
use crate::core::pending_requests::UpdateRequest;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::time::Millis;

impl CoreMachine {
    /// Handles a new or renewed subscription. The subscriber gets the newest view at once. The head sends it the newest
    /// configuration after a barrier that begins after the request, so the update is not older than the request.
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

    /// Sends a subscriber its update, once the barrier that covers its request has completed.
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

    /// Sends a committed configuration change to all subscribers that lack it. The commit time is unknown here, since
    /// the commit message may have been delayed. So the update has no timestamp, and subscribers request a timestamped
    /// one at once.
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
