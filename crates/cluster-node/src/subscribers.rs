//! Processes that subscribed to views or configurations.

use lupinrack_cluster_api::frame::Interest;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// All subscribers of this process.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_connection: BTreeMap<u64, Subscriber>,
}

/// A process that subscribed on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Subscriber {
    /// What the process subscribed to.
    pub interest: Interest,
    /// The number of the last view that it was sent.
    pub sent_view: u64,
    /// When it last subscribed, on its own monotonic clock.
    pub requested_at: Millis,
}

impl Subscriber {
    /// Whether it subscribed to configurations and lacks this version.
    pub fn wants(&self, version: u64) -> bool {
        matches!(self.interest, Interest::Configuration { have } if have < version)
    }

    /// Records that it was sent a configuration of this version.
    pub fn was_sent(&mut self, version: u64) {
        self.interest = Interest::Configuration { have: version };
    }
}

impl Subscribers {
    /// Adds a subscriber, or renews its subscription.
    pub fn subscribe(&mut self, connection: u64, interest: Interest) -> &mut Subscriber {
        let entry = self.by_connection.entry(connection);
        let subscriber = entry.or_insert(Subscriber {
            interest,
            sent_view: 0,
            requested_at: Millis(0),
        });
        subscriber.interest = interest;
        subscriber
    }

    /// The subscriber at the other end of a connection.
    pub fn get_mut(&mut self, connection: u64) -> Option<&mut Subscriber> {
        self.by_connection.get_mut(&connection)
    }

    /// Removes the subscriber whose connection ended.
    pub fn disconnected(&mut self, connection: u64) {
        self.by_connection.remove(&connection);
    }

    /// All subscribers, with their connections.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&u64, &mut Subscriber)> {
        self.by_connection.iter_mut()
    }
}
