//! The subscription of a process without a disk to the core. It finds a core process through its seeds, learns the
//! view, and then subscribes to the head. If the head is silent, it tries the known voters, its seeds, and the core
//! processes in the table of live members, since all known voters and seeds may have been replaced during a long
//! absence.

use crate::head_client::OutgoingFrame;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::LiveTable;

/// Minimum interval between two subscriptions while a view is known, in milliseconds.
const MIN_SUBSCRIBE_INTERVAL_MS: u64 = 400;
/// Interval between two attempts while the head is unknown or silent, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 150;
/// Timeout without an update from the head after which other core processes are tried, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 1_000;

/// The subscription of one process.
#[derive(Debug)]
pub struct Subscription {
    seeds: Vec<PeerAddress>,
    interval_ms: u64,
    last_sent: Option<Millis>,
    last_update_at: Millis,
    search_attempts: usize,
}

impl Subscription {
    /// Creates a subscription with the seeds of the settings. `interval_ms` is the interval between two subscriptions
    /// once a view is known, in milliseconds.
    pub fn new(seeds: Vec<PeerAddress>, interval_ms: u64, now: Millis) -> Subscription {
        Subscription {
            seeds,
            interval_ms: interval_ms.max(MIN_SUBSCRIBE_INTERVAL_MS),
            last_sent: None,
            last_update_at: now,
            search_attempts: 0,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.seeds = seeds;
    }

    /// Records an update that was valid at this time.
    pub fn received_update(&mut self, at: Millis) {
        self.last_update_at = self.last_update_at.max(at);
    }

    /// Makes the next tick subscribe, whatever the interval. Called when something changed that the subscription
    /// depends on.
    pub fn make_due(&mut self) {
        self.last_sent = None;
    }

    /// Handles a tick of the timer. Returns the subscription that is due, if any. The table of live members is a hint
    /// and may be wrong.
    pub fn tick(
        &mut self,
        view: &View,
        interest: Interest,
        table: &LiveTable,
        now: Millis,
    ) -> Option<OutgoingFrame> {
        let searching = view.number == 0
            || now.since(self.last_update_at) >= HEAD_TIMEOUT_MS + self.interval_ms;
        let interval_ms = if searching {
            SEARCH_INTERVAL_MS
        } else {
            self.interval_ms
        };
        if self.last_sent.is_some_and(|at| now.since(at) < interval_ms) {
            return None;
        }
        self.last_sent = Some(now);
        let to = if searching {
            self.next_candidate(view, table)?
        } else {
            view.address(view.head()?)?
        };
        Some(OutgoingFrame {
            to,
            frame: Frame::Subscribe {
                interest,
                requested_at: now,
            },
        })
    }

    fn next_candidate(&mut self, view: &View, table: &LiveTable) -> Option<PeerAddress> {
        let mut candidates: Vec<PeerAddress> =
            view.voters.iter().map(|voter| voter.address).collect();
        for address in self.seeds.iter().copied().chain(table.core_addresses()) {
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        self.search_attempts += 1;
        let count = candidates.len();
        candidates
            .get(self.search_attempts.checked_rem(count)?)
            .copied()
    }
}
