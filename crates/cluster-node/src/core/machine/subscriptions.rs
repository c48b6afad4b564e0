//! Processes that are told of views and configurations.

use super::*;

impl CoreMachine {
    pub(super) fn answer_subscriber(&mut self, connection: u64, now: Millis) {
        let view = self.agreement.current();
        let Some(subscriber) = self.subscribers.get_mut(connection) else {
            return;
        };
        let (have, asked_at) = (subscriber.have, subscriber.asked_at);
        if subscriber.told_view < view.number {
            subscriber.told_view = view.number;
            self.outbox.send_on(connection, Frame::ViewNews(view.clone()));
        }
        if have != VIEWS_ONLY && self.knows_configuration(now) {
            let frame = self.configuration_news(have, asked_at);
            self.outbox.send_on(connection, frame);
        }
    }

    pub(super) fn knows_configuration(&self, now: Millis) -> bool {
        let version = self.replica.state.configuration.version;
        version > 0 && self.chain.is_head() && self.chain.ready() && now < self.authority_until
    }

    pub(super) fn configuration_news(&self, have: u64, asked_at: Millis) -> Frame {
        let newest = &self.replica.state.configuration;
        let configuration = (have != newest.version).then(|| newest.clone());
        Frame::ConfigurationNews { asked_at, age_ms: 0, version: newest.version, configuration }
    }

    pub(super) fn tell_configuration(&mut self, now: Millis) {
        if !self.knows_configuration(now) {
            return;
        }
        let newest = self.replica.state.configuration.clone();
        for (connection, subscriber) in self.subscribers.iter_mut() {
            if subscriber.have == VIEWS_ONLY {
                continue;
            }
            subscriber.have = newest.version;
            let news = Frame::ConfigurationNews {
                asked_at: subscriber.asked_at,
                age_ms: 0,
                version: newest.version,
                configuration: Some(newest.clone()),
            };
            self.outbox.send_on(*connection, news);
        }
    }
}
