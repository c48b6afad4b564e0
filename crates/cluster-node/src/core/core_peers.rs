//! The other core processes: which of them heartbeats are sent to, and whose disk is behind which connection.

use lupinrack_cluster_api::core_heartbeat::HeartbeatStamp;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_view_agreement::policy::DuplicateDisk;
use std::collections::BTreeMap;

/// Interval between heartbeats to other core processes, in milliseconds.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// A process that is no voter and sends nothing for so many times the time to catch up gets no heartbeats any more.
const FORGOTTEN_AFTER_CATCH_UPS: u64 = 3;

/// A heartbeat that was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedHeartbeat {
    /// What identifies it to its sender.
    stamp: HeartbeatStamp,
    /// When it was received.
    received_at: Millis,
}

/// Without a heartbeat for this long a process does not count as one that this process is in touch with, in milliseconds.
const IN_TOUCH_MS: u64 = 1_000;

/// What is known of other core processes.
#[derive(Debug)]
pub(super) struct CorePeers {
    /// Where core processes are looked for.
    seeds: Vec<PeerAddress>,
    /// Core processes that membership believes to be alive.
    live: Vec<PeerAddress>,
    /// The last heartbeat of each process.
    last_received: BTreeMap<PeerAddress, ReceivedHeartbeat>,
    /// A process from which nothing was received for longer is forgotten, in milliseconds.
    timeout_ms: u64,
    last_heartbeat_at: Millis,
    /// The disk of the process at the other end of each connection.
    disks: BTreeMap<u64, DiskId>,
    rejected_claims: u64,
}

impl CorePeers {
    /// Nobody but the seeds.
    pub(super) fn new(seeds: Vec<PeerAddress>, catch_up_ms: u64) -> CorePeers {
        CorePeers {
            seeds,
            live: Vec::new(),
            last_received: BTreeMap::new(),
            timeout_ms: FORGOTTEN_AFTER_CATCH_UPS * catch_up_ms,
            last_heartbeat_at: Millis(0),
            disks: BTreeMap::new(),
            rejected_claims: 0,
        }
    }

    /// Replaces the seeds.
    pub(super) fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.seeds = seeds;
    }

    /// Notes the core processes that membership believes to be alive.
    pub(super) fn set_live(&mut self, addresses: Vec<PeerAddress>) {
        self.live = addresses;
    }

    /// Notes a heartbeat of a process.
    pub(super) fn received_heartbeat(
        &mut self,
        from: PeerAddress,
        stamp: HeartbeatStamp,
        now: Millis,
    ) {
        let received = ReceivedHeartbeat {
            stamp,
            received_at: now,
        };
        self.last_received.insert(from, received);
    }

    /// The last heartbeat that was received from a process.
    pub(super) fn last_received(&self, from: PeerAddress) -> Option<HeartbeatStamp> {
        self.last_received.get(&from).map(|received| received.stamp)
    }

    /// Whether heartbeats are to be sent.
    pub(super) fn is_heartbeat_due(&self, now: Millis) -> bool {
        now.since(self.last_heartbeat_at) >= HEARTBEAT_INTERVAL_MS
    }

    /// Begins a round of heartbeats; returns to whom. Processes from which nothing was received for long are
    /// dropped, so that a replaced machine does not get heartbeats forever. Voters always get them, and every process
    /// that is no voter sends its own to the voters.
    pub(super) fn begin_heartbeats(
        &mut self,
        view: &View,
        me: &Voter,
        now: Millis,
    ) -> Vec<PeerAddress> {
        self.last_heartbeat_at = now;
        let timeout_ms = self.timeout_ms;
        self.last_received
            .retain(|_, received| now.since(received.received_at) <= timeout_ms);
        self.addresses(view, me, now)
    }

    /// A process that is not in touch with a majority of the voters that it knows also looks for the others at its seeds,
    /// and by membership: all those voters may have been replaced while it was away.
    fn addresses(&self, view: &View, me: &Voter, now: Millis) -> Vec<PeerAddress> {
        let mut addresses: Vec<PeerAddress> =
            view.voters.iter().map(|voter| voter.address).collect();
        let is_isolated = !self.is_in_touch_with_majority(view, me, now);
        if view.voter(me.disk).is_none() || is_isolated {
            addresses.extend(self.seeds.iter().copied());
        }
        if is_isolated {
            addresses.extend(self.live.iter().copied());
        }
        addresses.extend(self.last_received.keys().copied());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != me.address);
        addresses
    }

    fn is_in_touch_with_majority(&self, view: &View, me: &Voter, now: Millis) -> bool {
        let is_in_touch = |voter: &&Voter| {
            let received = self.last_received.get(&voter.address);
            voter.disk == me.disk
                || received.is_some_and(|received| now.since(received.received_at) <= IN_TOUCH_MS)
        };
        let in_touch = view.voters.iter().filter(is_in_touch).count();
        in_touch * 2 > view.voters.len()
    }

    /// Notes whose connection this is.
    pub(super) fn connected(&mut self, connection: u64, disk: DiskId) {
        self.disks.insert(connection, disk);
    }

    /// Whose connection this is.
    pub(super) fn disk(&self, connection: u64) -> Option<DiskId> {
        self.disks.get(&connection).copied()
    }

    /// A connection ended; returns whose it was.
    pub(super) fn disconnected(&mut self, connection: u64) -> Option<DiskId> {
        self.disks.remove(&connection)
    }

    /// How often a process claimed a disk that another has.
    pub(super) fn rejected_claims(&self) -> u64 {
        self.rejected_claims
    }

    /// Counts a claim that was rejected, and logs ever fewer of them.
    pub(super) fn reject_claim(&mut self, claimed_at: PeerAddress, duplicate: &DuplicateDisk) {
        self.rejected_claims += 1;
        let count = self.rejected_claims;
        if count.is_power_of_two() {
            let DuplicateDisk { disk, known_at } = duplicate;
            spdlog::warn!(
                "{} claims disk {:016x} of {}: rejected, {count} in all",
                claimed_at.0,
                disk.0,
                known_at.0
            );
        }
    }
}
