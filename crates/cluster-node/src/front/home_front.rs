//! The process to which a front subscribes for updates: its zone's home front, or the head of the chain.
//!
//! The home front is chosen from the table of live members, which may be wrong. So if the home front does not confirm a
//! newer state within a timeout, this front subscribes to the head instead.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::LiveTable;

/// Timeout without a confirmation after which a front leaves its home front, in milliseconds.
pub const HOME_TIMEOUT_MS: u64 = 600;
/// Delay after leaving a home front before a front subscribes to a home front again, in milliseconds.
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
    /// Starts without a home front, for the front at this address in this zone.
    pub fn new(own: PeerAddress, zone: String) -> HomeFront {
        HomeFront {
            own,
            zone,
            current: None,
            confirmed_at: Millis(0),
            avoid_until: Millis(0),
        }
    }

    /// Chooses the source of updates. Returns whether it changed, in which case a subscription is due at once.
    pub fn tick(&mut self, table: &LiveTable, now: Millis) -> bool {
        let before = self.source();
        let found = table
            .home_front(&self.zone, None)
            .filter(|home| *home != self.own);
        let timed_out = self.current.is_some() && now.since(self.confirmed_at) > HOME_TIMEOUT_MS;
        if timed_out {
            self.avoid_until = now.plus(HOME_RETRY_AFTER_MS);
        }
        let next = found.filter(|_| now >= self.avoid_until);
        if next != self.current {
            self.confirmed_at = now;
        }
        self.current = next;
        self.source() != before
    }

    /// The home front to subscribe to; none for the head.
    pub fn source(&self) -> Option<PeerAddress> {
        self.current
    }

    /// Records that a process sent an update that confirmed or replaced the known configuration.
    pub fn confirmed(&mut self, from: PeerAddress, now: Millis) {
        if self.current == Some(from) {
            self.confirmed_at = now;
        }
    }

    /// Handles the end of the connection to a process. If it was the home front, this front leaves it.
    pub fn closed(&mut self, from: PeerAddress, now: Millis) {
        if self.current == Some(from) {
            self.current = None;
            self.avoid_until = now.plus(HOME_RETRY_AFTER_MS);
        }
    }
}
