//! Whom a front of a zone asks for news: the zone's home front, or the head of the chain.
//!
//! Which front is the home comes from the table of live members, which may be wrong. So a home is left as soon as it
//! says nothing that makes this process's knowledge fresher, and the head is asked instead.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::LiveTable;

/// A home that confirms nothing for longer than this is left, in milliseconds.
pub const HOME_TIMEOUT_MS: u64 = 600;
/// A home that was left is not asked again for so long, in milliseconds.
pub const HOME_RETRY_AFTER_MS: u64 = 5_000;

/// The home front as one front of its zone sees it.
#[derive(Debug)]
pub struct HomeFront {
    own: PeerAddress,
    zone: String,
    current: Option<PeerAddress>,
    confirmed_at: Millis,
    avoid_until: Millis,
}

impl HomeFront {
    /// As seen by the front at this address.
    pub fn new(own: PeerAddress, zone: String) -> HomeFront {
        HomeFront {
            own,
            zone,
            current: None,
            confirmed_at: Millis(0),
            avoid_until: Millis(0),
        }
    }

    /// Looks at the table and the clock; whether whom to ask has changed, so that it should be asked at once.
    pub fn tick(&mut self, table: &LiveTable, now: Millis) -> bool {
        let before = self.source();
        let found = table
            .home_front(&self.zone, None)
            .filter(|home| *home != self.own);
        let silent = self.current.is_some() && now.since(self.confirmed_at) > HOME_TIMEOUT_MS;
        if silent {
            self.avoid_until = now.plus(HOME_RETRY_AFTER_MS);
        }
        let next = found.filter(|_| now >= self.avoid_until);
        if next != self.current {
            self.confirmed_at = now;
        }
        self.current = next;
        self.source() != before
    }

    /// The home to ask; none where the head is to be asked.
    pub fn source(&self) -> Option<PeerAddress> {
        self.current
    }

    /// A process sent news that made this one's knowledge fresher.
    pub fn confirmed(&mut self, from: PeerAddress, now: Millis) {
        if self.current == Some(from) {
            self.confirmed_at = now;
        }
    }

    /// The connection to a process ended: if it is the home, it is left.
    pub fn closed(&mut self, from: PeerAddress, now: Millis) {
        if self.current == Some(from) {
            self.current = None;
            self.avoid_until = now.plus(HOME_RETRY_AFTER_MS);
        }
    }
}
