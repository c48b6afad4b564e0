//! Processes that asked to be told of views and configurations.

use lupinrack_cluster_api::frame::Interest;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// All subscribers, by their connection.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_connection: BTreeMap<u64, Subscriber>,
}

/// One of them.
#[derive(Clone, Copy, Debug)]
pub struct Subscriber {
    /// What it wants to be told of.
    pub interest: Interest,
    /// The number of the view that it was told last.
    pub sent_view: u64,
    /// When it subscribed last, by its own clock.
    pub requested_at: Millis,
}

impl Subscriber {
    /// Whether it wants a configuration of this version.
    pub fn wants(&self, version: u64) -> bool {
        matches!(self.interest, Interest::Configuration { have } if have < version)
    }

    /// Notes that it was sent a configuration of this version.
    pub fn was_sent(&mut self, version: u64) {
        self.interest = Interest::Configuration { have: version };
    }
}

impl Subscribers {
    /// A process subscribed, or said again what it has.
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

    /// Its connection ended.
    pub fn disconnected(&mut self, connection: u64) {
        self.by_connection.remove(&connection);
    }

    /// All of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&u64, &mut Subscriber)> {
        self.by_connection.iter_mut()
    }
}
