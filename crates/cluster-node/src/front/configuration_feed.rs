//! How a front receives and relays views and configurations. It subscribes to the home front of its zone if that front
//! answers, and otherwise to the head of the chain.

use crate::front::home_front::HomeFront;
use crate::front::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use crate::front::update_relay::{RelayState, SubscriberFrame, UpdateRelay};
use crate::head_client::OutgoingFrame;
use crate::subscription::Subscription;
use lupinrack_cluster_api::frame::Interest;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::LiveTable;

/// Interval at which a front renews its subscription, in milliseconds.
const SUBSCRIBE_INTERVAL_MS: u64 = 400;

/// The configuration updates of one front: its subscription, its known configuration, and its own subscribers.
#[derive(Debug)]
pub struct ConfigurationFeed {
    subscription: Subscription,
    home: HomeFront,
    relay: UpdateRelay,
    known: KnownConfiguration,
}

impl ConfigurationFeed {
    /// Creates the feed of a front that starts now at this address in this zone.
    pub fn new(
        own: PeerAddress,
        zone: String,
        seeds: Vec<PeerAddress>,
        now: Millis,
    ) -> ConfigurationFeed {
        ConfigurationFeed {
            subscription: Subscription::new(seeds, SUBSCRIBE_INTERVAL_MS, now),
            home: HomeFront::new(own, zone),
            relay: UpdateRelay::default(),
            known: KnownConfiguration::default(),
        }
    }

    /// Replaces the seeds at which core processes may be found.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.subscription.set_seeds(seeds);
    }

    /// The configuration as this front knows it.
    pub fn known(&self) -> &KnownConfiguration {
        &self.known
    }

    /// The home front that this front currently subscribes to; none if it subscribes to the head.
    pub fn source(&self) -> Option<PeerAddress> {
        self.home.source()
    }

    /// The subscription that is due, if any.
    pub fn tick(&mut self, table: &LiveTable, view: &View, now: Millis) -> Option<OutgoingFrame> {
        if self.home.tick(table, now) {
            self.subscription.make_due();
        }
        let interest = Interest::Configuration {
            have: self.known.configuration.version,
        };
        let subscribe = self.subscription.tick(view, interest, table, now)?;
        let home = self.home.source().filter(|_| view.number > 0);
        Some(OutgoingFrame {
            to: home.unwrap_or(subscribe.to),
            frame: subscribe.frame,
        })
    }

    /// Handles a configuration update. Returns the frames to relay. `view` is the newest known view.
    pub fn receive(
        &mut self,
        from: PeerAddress,
        update: ConfigurationUpdate,
        view: &View,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        let (valid_at, is_timestamped) = (update.valid_at(), update.is_timestamped());
        let learned = self.known.learn(update);
        if learned.fresher {
            self.subscription.received_update(valid_at);
            self.home.confirmed(from, now);
        }
        if learned.newer && !is_timestamped {
            self.subscription.make_due();
        }
        if !learned.newer {
            return Vec::new();
        }
        let relay_state = self.relay_state(view);
        self.relay.send_configuration(&relay_state, now)
    }

    /// Handles a newer view. Returns the frames to relay.
    pub fn view_changed(&mut self, view: &View) -> Vec<SubscriberFrame> {
        self.subscription.make_due();
        self.relay.send_view(view)
    }

    /// Handles a subscription of another process. Returns the frames for it.
    pub fn subscribed(
        &mut self,
        connection: u64,
        interest: Interest,
        requested_at: Millis,
        view: &View,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        let relay_state = self.relay_state(view);
        self.relay
            .subscribed(connection, interest, requested_at, &relay_state, now)
    }

    /// Handles the end of a connection.
    pub fn closed(&mut self, from: PeerAddress, connection: u64, now: Millis) {
        self.relay.disconnected(connection);
        self.home.closed(from, now);
        self.subscription.make_due();
    }

    fn relay_state(&self, view: &View) -> RelayState {
        RelayState {
            view: view.clone(),
            known: self.known.clone(),
        }
    }
}
