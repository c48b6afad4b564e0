//! How a process without a disk follows the core: it finds a core process from its seeds, learns the view, and stays
//! subscribed to the head. Where the head is silent it asks the voters that it knows, its seeds, and the core processes of
//! the table of live members: after a long absence all of the former may have been replaced.

use crate::head_client::OutgoingFrame;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::LiveTable;

/// Interval between two subscriptions while the view is known, in milliseconds.
const KNOWN_MS: u64 = 400;
/// Interval between two attempts while no view is known, in milliseconds.
const SEARCH_MS: u64 = 150;
/// Without an update from the head for this long, other core processes are asked for the view, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 1_000;

/// One subscription.
#[derive(Debug)]
pub struct Subscription {
    seeds: Vec<PeerAddress>,
    every_ms: u64,
    last_sent: Option<Millis>,
    last_update_at: Millis,
    turn: usize,
}

impl Subscription {
    /// With the seeds of the settings; `every_ms` is the minimum interval between two subscriptions, in milliseconds,
    /// once the view is known.
    pub fn new(seeds: Vec<PeerAddress>, every_ms: u64, now: Millis) -> Subscription {
        Subscription {
            seeds,
            every_ms: every_ms.max(KNOWN_MS),
            last_sent: None,
            last_update_at: now,
            turn: 0,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.seeds = seeds;
    }

    /// An update was received that was valid at this moment.
    pub fn received_update(&mut self, at: Millis) {
        self.last_update_at = self.last_update_at.max(at);
    }

    /// Something that the subscription depends on has changed: the next tick subscribes at once.
    pub fn hurry(&mut self) {
        self.last_sent = None;
    }

    /// The subscription that is due, if any. The table of live members may be wrong.
    pub fn tick(
        &mut self,
        view: &View,
        interest: Interest,
        table: &LiveTable,
        now: Millis,
    ) -> Option<OutgoingFrame> {
        let searching =
            view.number == 0 || now.since(self.last_update_at) >= HEAD_TIMEOUT_MS + self.every_ms;
        let every = if searching { SEARCH_MS } else { self.every_ms };
        if self.last_sent.is_some_and(|at| now.since(at) < every) {
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
        self.turn += 1;
        let count = candidates.len();
        candidates.get(self.turn.checked_rem(count)?).copied()
    }
}
