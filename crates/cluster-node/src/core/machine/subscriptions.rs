//! Processes that are told of views and configurations.

use super::*;

impl CoreMachine {
    /// A process subscribed, or said again what it has. It is told the newest view at once, and the newest configuration
    /// by the head, after a barrier that begins after now: so the answer was true at a moment after the question.
    pub(super) fn on_subscribe(
        &mut self,
        connection: u64,
        interest: Interest,
        requested_at: Millis,
    ) {
        let view = self.agreement.current();
        let subscriber = self.subscribers.heard(connection, interest);
        subscriber.requested_at = requested_at;
        if subscriber.told_view < view.number {
            subscriber.told_view = view.number;
            self.outbox
                .send_on(connection, Frame::ViewUpdate(view.clone()));
        }
        if let Interest::Configuration { have } = interest {
            if self.chain.is_head() {
                self.waiting.for_news(NewsRequest {
                    connection,
                    have,
                    requested_at,
                });
            }
        }
    }

    /// Answers a subscriber after the barrier that its question waited for.
    pub(super) fn answer_subscriber(&mut self, request: NewsRequest) {
        let newest = self.replica.state.configuration();
        if newest.version == 0 {
            return;
        }
        let NewsRequest {
            connection,
            have,
            requested_at,
        } = request;
        let configuration = (have != newest.version).then(|| newest.clone());
        let news = Frame::ConfigurationUpdate {
            requested_at,
            age_ms: 0,
            version: newest.version,
            configuration,
        };
        self.outbox.send_on(connection, news);
    }

    /// Tells of a change that was committed. When that was is not certain here: what commits it may have been long on its
    /// way. So no moment is vouched for, and subscribers ask at once.
    pub(super) fn tell_configuration(&mut self) {
        if !self.chain.is_head() {
            return;
        }
        let newest = self.replica.state.configuration();
        for (connection, subscriber) in self.subscribers.iter_mut() {
            if !subscriber.wants(newest.version) {
                continue;
            }
            subscriber.was_told(newest.version);
            let news = Frame::ConfigurationUpdate {
                requested_at: Millis(0),
                age_ms: 0,
                version: newest.version,
                configuration: Some(newest.clone()),
            };
            self.outbox.send_on(*connection, news);
        }
    }
}
