//! How a front learns of views and configurations, and passes them on: from the home front of its zone where there is
//! one that answers, and else from the head of the chain.

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

/// The front subscribes again at least so often, in milliseconds.
const SUBSCRIBE_MS: u64 = 400;

/// The configuration updates of one front: its subscription, what it knows, and its own subscribers.
#[derive(Debug)]
pub struct ConfigurationFeed {
    subscription: Subscription,
    home: HomeFront,
    relay: UpdateRelay,
    known: KnownConfiguration,
}

impl ConfigurationFeed {
    /// The feed of a front at this address in this zone that starts now.
    pub fn new(
        own: PeerAddress,
        zone: String,
        seeds: Vec<PeerAddress>,
        now: Millis,
    ) -> ConfigurationFeed {
        ConfigurationFeed {
            subscription: Subscription::new(seeds, SUBSCRIBE_MS, now),
            home: HomeFront::new(own, zone),
            relay: UpdateRelay::default(),
            known: KnownConfiguration::default(),
        }
    }

    /// Replaces the seeds by which core processes are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.subscription.set_seeds(seeds);
    }

    /// The configuration as it is known.
    pub fn known(&self) -> &KnownConfiguration {
        &self.known
    }

    /// The home that is asked at present; none for the head.
    pub fn source(&self) -> Option<PeerAddress> {
        self.home.source()
    }

    /// The subscription that is due, if any.
    pub fn tick(&mut self, table: &LiveTable, view: &View, now: Millis) -> Option<OutgoingFrame> {
        if self.home.tick(table, now) {
            self.subscription.hurry();
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

    /// A configuration update was received; returns the frames to relay. `view` is the newest view known.
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
            self.subscription.hurry();
        }
        if !learned.newer {
            return Vec::new();
        }
        let knowledge = self.knowledge(view);
        self.relay.send_configuration(&knowledge, now)
    }

    /// A newer view is known; returns the frames to relay.
    pub fn view_changed(&mut self, view: &View) -> Vec<SubscriberFrame> {
        self.subscription.hurry();
        self.relay.send_view(view)
    }

    /// Another process subscribed here; returns the frames to relay.
    pub fn subscribed(
        &mut self,
        connection: u64,
        interest: Interest,
        requested_at: Millis,
        view: &View,
        now: Millis,
    ) -> Vec<SubscriberFrame> {
        let knowledge = self.knowledge(view);
        self.relay
            .subscribed(connection, interest, requested_at, &knowledge, now)
    }

    /// A connection ended.
    pub fn closed(&mut self, from: PeerAddress, connection: u64, now: Millis) {
        self.relay.disconnected(connection);
        self.home.closed(from, now);
        self.subscription.hurry();
    }

    fn knowledge(&self, view: &View) -> RelayState {
        RelayState {
            view: view.clone(),
            known: self.known.clone(),
        }
    }
}
