//! News passed on by a front to others that subscribed to it: to the fronts of its zone, whose home it is, and to agents
//! that want views only.
//!
//! What is passed on says how old it is, so that the freshness of every process counts from a confirmation by the head.

use crate::front::known_configuration::KnownConfiguration;
use crate::subscribers::Subscribers;
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// A configuration that was not confirmed for longer than this is not passed on, in milliseconds: subscribers that hear
/// nothing turn to the head.
pub const MAX_RELAY_AGE_MS: u64 = 600;

/// What a front knows that it may pass on.
#[derive(Clone, Debug, Default)]
pub struct RelayState {
    /// The newest view.
    pub view: View,
    /// The newest configuration.
    pub known: KnownConfiguration,
}

/// A frame for a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberFrame {
    /// The subscriber's connection.
    pub connection: u64,
    /// What.
    pub frame: Frame,
}

/// The subscribers of a front.
#[derive(Debug, Default)]
pub struct UpdateRelay {
    subscribers: Subscribers,
}

impl UpdateRelay {
    /// A process subscribed, or said again what it has.
    pub fn subscribed(
        &mut self,
        connection: u64,
        interest: Interest,
        requested_at: Millis,
        knowledge: &RelayState,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        self.subscribers
            .subscribe(connection, interest)
            .requested_at = requested_at;
        let mut frames = self.send_view(&knowledge.view);
        if let Interest::Configuration { have } = interest {
            frames.extend(update_for(connection, have, requested_at, knowledge, now));
        }
        frames
    }

    /// A connection ended.
    pub fn disconnected(&mut self, connection: u64) {
        self.subscribers.disconnected(connection);
    }

    /// Tells the view to whom it was not told yet.
    pub fn send_view(&mut self, view: &View) -> Vec<SubscriberFrame> {
        let mut frames = Vec::new();
        for (connection, subscriber) in self.subscribers.iter_mut() {
            if subscriber.sent_view < view.number {
                subscriber.sent_view = view.number;
                frames.push(SubscriberFrame {
                    connection: *connection,
                    frame: Frame::ViewUpdate(view.clone()),
                });
            }
        }
        frames
    }

    /// Tells a new configuration to all who want it.
    pub fn send_configuration(
        &mut self,
        knowledge: &RelayState,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        let mut frames = Vec::new();
        let version = knowledge.known.configuration.version;
        for (connection, subscriber) in self.subscribers.iter_mut() {
            let Interest::Configuration { have } = subscriber.interest else {
                continue;
            };
            if !subscriber.wants(version) {
                continue;
            }
            frames.extend(update_for(
                *connection,
                have,
                subscriber.requested_at,
                knowledge,
                now,
            ));
            subscriber.was_sent(version);
        }
        frames
    }
}

fn update_for(
    connection: u64,
    have: u64,
    requested_at: Millis,
    knowledge: &RelayState,
    now: Millis,
) -> Option<SubscriberFrame> {
    let age_ms = now.since(knowledge.known.confirmed_at);
    let version = knowledge.known.configuration.version;
    if version == 0 || age_ms > MAX_RELAY_AGE_MS {
        return None;
    }
    let configuration =
        (have != version).then(|| Configuration::clone(&knowledge.known.configuration));
    Some(SubscriberFrame {
        connection,
        frame: Frame::ConfigurationUpdate {
            requested_at,
            age_ms,
            version,
            configuration,
        },
    })
}
