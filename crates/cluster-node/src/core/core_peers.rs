//! The other core processes: the recipients of heartbeats, and the disk at the other end of each connection.

use lupinrack_cluster_api::core_heartbeat::HeartbeatStamp;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_view_agreement::policy::DuplicateDisk;
use std::collections::BTreeMap;

/// Interval between heartbeats to other core processes, in milliseconds.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// A process that is not a voter gets no more heartbeats after it was silent for this many catch-up times.
const FORGOTTEN_AFTER_CATCH_UPS: u64 = 3;

/// A received heartbeat.
#[derive(Clone, Copy, Debug)]
struct ReceivedHeartbeat {
    /// Identifies the heartbeat to its sender.
    stamp: HeartbeatStamp,
    /// When it was received.
    received_at: Millis,
}

/// A process counts as reachable for this long after its last heartbeat, in milliseconds.
const REACHABLE_MS: u64 = 1_000;

/// The state that a core process keeps about the others.
#[derive(Debug)]
pub(super) struct CorePeers {
    /// Addresses from the settings at which core processes may be found.
    seeds: Vec<PeerAddress>,
    /// Core processes that are alive according to membership.
    live: Vec<PeerAddress>,
    /// The last heartbeat of each process.
    last_received: BTreeMap<PeerAddress, ReceivedHeartbeat>,
    /// A process is removed after this time without a heartbeat, in milliseconds.
    timeout_ms: u64,
    last_heartbeat_at: Millis,
    /// The disk of the process at the other end of each connection.
    disks: BTreeMap<u64, DiskId>,
    rejected_claims: u64,
}

impl CorePeers {
    /// Starts with the seeds only.
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

    /// Replaces the core processes that are alive according to membership.
    pub(super) fn set_live(&mut self, addresses: Vec<PeerAddress>) {
        self.live = addresses;
    }

    /// Records a heartbeat from a process.
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

    /// The stamp of the last heartbeat received from a process.
    pub(super) fn last_received(&self, from: PeerAddress) -> Option<HeartbeatStamp> {
        self.last_received.get(&from).map(|received| received.stamp)
    }

    /// Whether the next heartbeats are due.
    pub(super) fn is_heartbeat_due(&self, now: Millis) -> bool {
        now.since(self.last_heartbeat_at) >= HEARTBEAT_INTERVAL_MS
    }

    /// Begins a round of heartbeats. Returns the recipients. Silent processes are removed after the timeout, so that a
    /// replaced machine does not get heartbeats forever. Voters always get them, and every process that is not a voter
    /// sends its own to the voters.
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

    /// The recipients of heartbeats. A process that cannot reach a majority of its known voters also tries its seeds
    /// and the live core processes, since all those voters may have been replaced during its absence.
    fn addresses(&self, view: &View, me: &Voter, now: Millis) -> Vec<PeerAddress> {
        let mut addresses: Vec<PeerAddress> =
            view.voters.iter().map(|voter| voter.address).collect();
        let is_isolated = !self.reaches_majority(view, me, now);
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

    fn reaches_majority(&self, view: &View, me: &Voter, now: Millis) -> bool {
        let is_reachable = |voter: &&Voter| {
            let received = self.last_received.get(&voter.address);
            voter.disk == me.disk
                || received.is_some_and(|received| now.since(received.received_at) <= REACHABLE_MS)
        };
        let reachable = view.voters.iter().filter(is_reachable).count();
        reachable * 2 > view.voters.len()
    }

    /// Records the disk at the other end of a connection.
    pub(super) fn connected(&mut self, connection: u64, disk: DiskId) {
        self.disks.insert(connection, disk);
    }

    /// The disk at the other end of a connection, if it is known.
    pub(super) fn disk(&self, connection: u64) -> Option<DiskId> {
        self.disks.get(&connection).copied()
    }

    /// Removes a connection that ended. Returns the disk at its other end, if it was known.
    pub(super) fn disconnected(&mut self, connection: u64) -> Option<DiskId> {
        self.disks.remove(&connection)
    }

    /// Number of rejected claims to a disk that another process has.
    pub(super) fn rejected_claims(&self) -> u64 {
        self.rejected_claims
    }

    /// Counts a rejected claim. Logs the 1st, 2nd, 4th, 8th and so on.
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
