//! The failure detector: which core processes are reachable, by their heartbeats.
//!
//! A link counts as working only if both ends know that it works. Each heartbeat acknowledges the
//! newest heartbeat that its sender received from the receiver. A process whose heartbeats arrive but
//! acknowledge nothing for too long counts as lost. Each heartbeat also lists the disks that its
//! sender is linked with, so a process knows which links work between processes that it does not
//! reach itself.

use super::peer::Peer;
use super::peer_report::{DuplicateDisk, PeerReport};
use super::redundancy::SpareReplica;
use super::settings::PolicySettings;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;
use std::collections::BTreeMap;

/// Milliseconds for which a process has to be present before it becomes a voter.
const STABLE_AFTER_MS: u64 = 500;
/// Heartbeat intervals between two calls after which this process concludes that it has stalled
/// itself.
const STALL_HEARTBEATS: u64 = 2;

/// The state of all core processes that ever sent a heartbeat, by address.
#[derive(Clone, Debug)]
pub(super) struct FailureDetector {
    settings: PolicySettings,
    peers: BTreeMap<PeerAddress, Peer>,
    /// When the first call came.
    started: Option<Millis>,
    /// When time was last advanced.
    last_advance: Millis,
}

impl FailureDetector {
    /// A failure detector that has received nothing.
    pub(super) fn new(settings: PolicySettings) -> FailureDetector {
        FailureDetector {
            settings,
            peers: BTreeMap::new(),
            started: None,
            last_advance: Millis(0),
        }
    }

    /// Receives a heartbeat.
    ///
    /// # Errors
    ///
    /// If the heartbeat claims a disk that is alive at another address.
    pub(super) fn receive_heartbeat(
        &mut self,
        voter: Voter,
        report: PeerReport,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.check_disk(voter.disk, voter.address, now)?;
        self.record(voter, report, now);
        Ok(())
    }

    /// Checks that no process at another address is alive with this disk.
    ///
    /// # Errors
    ///
    /// If there is such a process.
    pub(super) fn check_disk(
        &self,
        disk: DiskId,
        address: PeerAddress,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        let is_other = |peer: &&Peer| peer.has_disk(disk) && peer.voter.address != address;
        let mut others = self.peers.values().filter(is_other);
        match others.find(|peer| !self.has_timed_out(peer, now)) {
            Some(other) => Err(DuplicateDisk {
                disk,
                known_at: other.voter.address,
            }),
            None => Ok(()),
        }
    }

    /// Replaces the state of the process at the voter's address. The times since when the process is
    /// present and its disk unhealthy are kept if they still apply.
    fn record(&mut self, voter: Voter, report: PeerReport, now: Millis) {
        self.started.get_or_insert(now);
        let before = self.peer(&voter);
        let is_same = |peer: &&Peer| {
            !self.has_timed_out(peer, now) && peer.report.incarnation == report.incarnation
        };
        let present_since = before
            .filter(is_same)
            .map_or(now, |peer| peer.present_since);
        let longest_gap_ms = before
            .filter(is_same)
            .map_or(self.settings.unknown_gap_ms(), |peer| {
                peer.longest_gap_after(now)
            });
        let (acknowledged_before, acknowledged_before_at) = before
            .filter(|peer| peer.report.incarnation == report.incarnation)
            .map_or((Millis(0), now), |peer| {
                (peer.acknowledged, peer.acknowledged_at)
            });
        let newest = report.acknowledged.map_or(Millis(0), |at| at.min(now));
        let acknowledged = newest.max(acknowledged_before);
        let acknowledged_at = if acknowledged > acknowledged_before {
            now
        } else {
            acknowledged_before_at
        };
        let unhealthy_before = before.and_then(|peer| peer.unhealthy_since);
        let unhealthy_since = (!report.disk_healthy).then_some(unhealthy_before.unwrap_or(now));
        let address = voter.address;
        let peer = Peer {
            voter,
            report,
            present_since,
            last_heartbeat: now,
            acknowledged,
            acknowledged_at,
            unhealthy_since,
            longest_gap_ms,
            connection_reset: false,
        };
        self.peers.insert(address, peer);
    }

    /// Notes that a connection from this address was reset.
    pub(super) fn connection_reset(&mut self, address: PeerAddress) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.connection_reset = true;
        }
    }

    /// Advances time. Time during which this process stalled does not count against other processes.
    pub(super) fn advance(&mut self, me: &Voter, now: Millis) {
        let started = *self.started.get_or_insert(now);
        let gap_ms = now.since(self.last_advance.max(started));
        if gap_ms > STALL_HEARTBEATS * self.settings.heartbeat_ms {
            self.exclude_stall(gap_ms, now);
        }
        self.last_advance = now;
        self.record_self(me, now);
    }

    /// Moves the times of the last heartbeats and acknowledgements forward by the milliseconds that
    /// this process stalled.
    fn exclude_stall(&mut self, gap_ms: u64, now: Millis) {
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = peer.last_heartbeat.plus(gap_ms).min(now);
            peer.acknowledged_at = peer.acknowledged_at.plus(gap_ms).min(now);
        }
    }

    /// Notes that this process is alive. Its last report is unchanged, since in a newer view its
    /// replica may be in another state.
    fn record_self(&mut self, me: &Voter, now: Millis) {
        let unknown = PeerReport {
            incarnation: 0,
            view_number: 0,
            disk_healthy: true,
            draining: false,
            replica: ReplicaReport::default(),
            applied: 0,
            acknowledged: None,
            linked: Vec::new(),
        };
        let known = self.peer(me).map(|peer| peer.report.clone());
        let report = PeerReport {
            acknowledged: Some(now),
            ..known.unwrap_or(unknown)
        };
        self.record(me.clone(), report, now);
    }

    /// Milliseconds since this process started to watch heartbeats.
    pub(super) fn watched_ms(&self, now: Millis) -> u64 {
        self.started.map_or(0, |started| now.since(started))
    }

    /// Whether messages pass to and from this disk's process.
    pub(super) fn is_reachable(&self, voter: &Voter, now: Millis) -> bool {
        self.peer(voter)
            .is_some_and(|peer| peer.is_reachable(&self.settings, now))
    }

    /// Whether the heartbeats of this disk's process have timed out, or it never sent one although
    /// this process has watched for long enough.
    pub(super) fn is_silent(&self, voter: &Voter, now: Millis) -> bool {
        match self.peer(voter) {
            Some(peer) => self.has_timed_out(peer, now),
            None => self.is_lost(voter, now),
        }
    }

    /// The disks with whose processes this one exchanges messages in both directions.
    pub(super) fn reachable_disks(&self, now: Millis) -> Vec<DiskId> {
        let reachable = |peer: &&Peer| peer.is_reachable(&self.settings, now);
        let peers = self.peers.values().filter(reachable);
        peers.map(|peer| peer.voter.disk).collect()
    }

    /// Whether the last heartbeat of one process listed the other as linked with it.
    pub(super) fn reports_link(&self, one: &Voter, other: &Voter) -> bool {
        self.peer(one)
            .is_some_and(|peer| peer.reports_link(other.disk))
    }

    /// Whether one process, which is reachable, reports no link with the other although it has been
    /// present for long enough to know of one.
    pub(super) fn reports_no_link(&self, one: &Voter, other: &Voter, now: Millis) -> bool {
        let Some(peer) = self.peer(one) else {
            return false;
        };
        let has_watched = now.since(peer.present_since) >= self.settings.unacknowledged_after_ms();
        has_watched && !peer.reports_link(other.disk)
    }

    /// Whether this disk's process counts as lost to this process. One that never sent a heartbeat counts as lost
    /// once this process has watched for long enough, or at once if its address has another disk.
    pub(super) fn is_lost(&self, voter: &Voter, now: Millis) -> bool {
        let timeout_ms = self.settings.suspect_after_ms;
        match self.peer(voter) {
            Some(peer) => !peer.is_reachable(&self.settings, now),
            None => self.is_replaced(voter, now) || self.watched_ms(now) >= timeout_ms,
        }
    }

    /// Milliseconds for which this disk's process has sent or received nothing.
    pub(super) fn since_contact_ms(&self, voter: &Voter, now: Millis) -> u64 {
        let since_heartbeat_ms = self.since_heartbeat_ms(voter, now);
        let unacknowledged_ms = self
            .peer(voter)
            .map_or(0, |peer| now.since(peer.acknowledged_at));
        since_heartbeat_ms.max(unacknowledged_ms)
    }

    /// Milliseconds since the last heartbeat of this disk.
    pub(super) fn since_heartbeat_ms(&self, voter: &Voter, now: Millis) -> u64 {
        let peer = self.peer(voter);
        peer.map_or(self.watched_ms(now), |peer| now.since(peer.last_heartbeat))
    }

    /// Whether this disk is healthy by the last heartbeat of its process.
    pub(super) fn has_healthy_disk(&self, voter: &Voter) -> bool {
        self.peer(voter).is_some_and(Peer::has_healthy_disk)
    }

    /// Whether nothing speaks against relying on this disk: it is healthy, or most disks are unhealthy,
    /// so that none is preferable.
    pub(super) fn has_usable_disk(&self, voter: &Voter, now: Millis) -> bool {
        let is_known = self.peer(voter).is_some();
        is_known && (self.has_healthy_disk(voter) || self.are_most_disks_unhealthy(now))
    }

    /// Whether more than half of the reachable processes report an unhealthy disk.
    fn are_most_disks_unhealthy(&self, now: Millis) -> bool {
        let reachable = |peer: &&Peer| peer.is_reachable(&self.settings, now);
        let peers: Vec<&Peer> = self.peers.values().filter(reachable).collect();
        let healthy = peers.iter().filter(|peer| peer.has_healthy_disk()).count();
        2 * healthy < peers.len()
    }

    /// Whether this disk's process is shutting down, by its last heartbeat.
    pub(super) fn is_draining(&self, voter: &Voter) -> bool {
        self.peer(voter).is_some_and(|peer| peer.report.draining)
    }

    /// Milliseconds for which this disk has been reported as unhealthy.
    pub(super) fn unhealthy_ms(&self, voter: &Voter, now: Millis) -> u64 {
        let since = self.peer(voter).and_then(|peer| peer.unhealthy_since);
        since.map_or(0, |since| now.since(since))
    }

    /// Whether the replica of this disk could join the chain of this view at once, whatever the health
    /// of the disk.
    pub(super) fn could_join(&self, voter: &Voter, view_number: u64, now: Millis) -> bool {
        let is_ready = |peer: &Peer| {
            let replica = peer.replica_in(view_number);
            replica.is_some_and(|replica| replica.caught_up) && !peer.report.draining
        };
        self.is_reachable(voter, now) && self.peer(voter).is_some_and(is_ready)
    }

    /// The progress of the replica of this disk in this view; none if its process has not reported in
    /// it.
    pub(super) fn spare_replica(
        &self,
        voter: &Voter,
        view_number: u64,
        now: Millis,
    ) -> Option<SpareReplica> {
        let peer = self.peer(voter)?;
        peer.replica_in(view_number)?;
        Some(SpareReplica {
            applied: peer.report.applied,
            present_ms: now.since(peer.present_since),
        })
    }

    /// Whether this disk holds everything that was committed before this view; none if its process
    /// has not reported in this view yet.
    pub(super) fn is_complete(&self, voter: &Voter, view_number: u64) -> Option<bool> {
        let replica = self.peer(voter)?.replica_in(view_number)?;
        Some(replica.complete)
    }

    /// Whether this disk's process, the head, cannot continue in this view.
    pub(super) fn needs_view(&self, voter: &Voter, view_number: u64) -> bool {
        let replica = self
            .peer(voter)
            .and_then(|peer| peer.replica_in(view_number));
        replica.is_some_and(|replica| replica.needs_view)
    }

    /// The disk of the process at an address.
    pub(super) fn disk_at(&self, address: PeerAddress) -> Option<DiskId> {
        self.peers.get(&address).map(|peer| peer.voter.disk)
    }

    /// The address of a disk's process.
    pub(super) fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        let peer = self.peers.values().find(|peer| peer.has_disk(disk))?;
        Some(peer.voter.address)
    }

    /// The other disk at this voter's address, if it could become a voter.
    pub(super) fn replacement(
        &self,
        voter: &Voter,
        view_number: u64,
        now: Millis,
    ) -> Option<&Voter> {
        let peer = self.peers.get(&voter.address)?;
        let usable = !peer.has_disk(voter.disk) && self.is_stable(peer, view_number, now);
        usable.then_some(&peer.voter)
    }

    /// All disks that could become or remain voters of the view after this one.
    pub(super) fn candidates(&self, view_number: u64, now: Millis) -> impl Iterator<Item = &Voter> {
        let usable = move |peer: &&Peer| self.is_stable(peer, view_number, now);
        self.peers.values().filter(usable).map(|peer| &peer.voter)
    }

    /// The founders that are reachable, with a usable disk, in the order of their disks.
    pub(super) fn founders_present(&self, founders: &[PeerAddress], now: Millis) -> Vec<Voter> {
        let is_present = |peer: &&Peer| {
            founders.contains(&peer.voter.address)
                && peer.is_reachable(&self.settings, now)
                && self.has_usable_disk(&peer.voter, now)
                && !peer.report.draining
        };
        let present = self.peers.values().filter(is_present);
        let mut voters: Vec<Voter> = present.map(|peer| peer.voter.clone()).collect();
        voters.sort_by_key(|voter| voter.disk);
        voters
    }

    /// Whether another disk's process is alive at this voter's address.
    pub(super) fn is_replaced(&self, voter: &Voter, now: Millis) -> bool {
        let at_address = self.peers.get(&voter.address);
        at_address.is_some_and(|peer| !peer.has_disk(voter.disk) && !self.has_timed_out(peer, now))
    }

    /// Whether a process has been present for long enough, knows this view, and is not about to leave.
    fn is_stable(&self, peer: &Peer, view_number: u64, now: Millis) -> bool {
        let is_present = peer.is_reachable(&self.settings, now)
            && now.since(peer.present_since) >= STABLE_AFTER_MS;
        let stays = self.has_usable_disk(&peer.voter, now) && !peer.report.draining;
        is_present && stays && peer.report.view_number == view_number
    }

    fn has_timed_out(&self, peer: &Peer, now: Millis) -> bool {
        peer.has_timed_out(&self.settings, now)
    }

    /// The state of this disk's process at this address.
    fn peer(&self, voter: &Voter) -> Option<&Peer> {
        self.peers
            .get(&voter.address)
            .filter(|peer| peer.has_disk(voter.disk))
    }
}
