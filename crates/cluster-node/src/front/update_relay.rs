//! Updates that a front relays to its subscribers: views and configurations to the other fronts of its zone if it is
//! their home front, and views to agents.
//!
//! Each relayed update contains its age, so that every process measures freshness from a confirmation by the head.

use crate::front::known_configuration::KnownConfiguration;
use crate::subscribers::Subscribers;
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// A configuration is relayed for this long after its confirmation, in milliseconds. Subscribers that get no update
/// subscribe to the head.
pub const MAX_RELAY_AGE_MS: u64 = 600;

/// The view and the configuration that a front relays.
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
    /// The frame.
    pub frame: Frame,
}

/// The subscribers of a front.
#[derive(Debug, Default)]
pub struct UpdateRelay {
    subscribers: Subscribers,
}

impl UpdateRelay {
    /// Handles a new or renewed subscription. Returns the frames for the subscriber, and for others that lack the view.
    pub fn subscribed(
        &mut self,
        connection: u64,
        interest: Interest,
        requested_at: Millis,
        relay_state: &RelayState,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        self.subscribers
            .subscribe(connection, interest)
            .requested_at = requested_at;
        let mut frames = self.send_view(&relay_state.view);
        if let Interest::Configuration { have } = interest {
            frames.extend(update_for(connection, have, requested_at, relay_state, now));
        }
        frames
    }

    /// Handles the end of a connection.
    pub fn disconnected(&mut self, connection: u64) {
        self.subscribers.disconnected(connection);
    }

    /// Sends the view to each subscriber that has not been sent it.
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

    /// Sends a new configuration to all subscribers that lack it.
    pub fn send_configuration(
        &mut self,
        relay_state: &RelayState,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        let mut frames = Vec::new();
        let version = relay_state.known.configuration.version;
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
                relay_state,
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
    relay_state: &RelayState,
    now: Millis,
) -> Option<SubscriberFrame> {
    let age_ms = now.since(relay_state.known.confirmed_at);
    let version = relay_state.known.configuration.version;
    if version == 0 || age_ms > MAX_RELAY_AGE_MS {
        return None;
    }
    let configuration =
        (have != version).then(|| Configuration::clone(&relay_state.known.configuration));
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
