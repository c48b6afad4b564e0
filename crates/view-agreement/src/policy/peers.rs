//! What was heard from each core process, and when.

use super::PolicySettings;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;
use lupinrack_cluster_api::wire::ReplicaReport;
use std::collections::BTreeMap;

/// How long, in milliseconds, a process has to be there before it is made a voter.
const SETTLED_AFTER_MS: u64 = 500;
/// What a closed connection divides the time of suspicion by.
const CLOSED_DIVISOR: u64 = 2;
/// How many heartbeats may pass between two looks before this process takes itself for the one that stood still.
const STALL_HEARTBEATS: u64 = 2;

/// The contents of a heartbeat, beside who sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Drawn at random when the sender's process began.
    pub incarnation: u64,
    /// The number of the newest view that the sender knows.
    pub view_number: u64,
    /// Whether its disk answers in time.
    pub disk_healthy: bool,
    /// Whether it was told to end.
    pub draining: bool,
    /// What its replica is good for in that view.
    pub replica: ReplicaReport,
}

/// A heartbeat claims a disk that is alive at another address: one of the two runs on a copy of the other's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateDisk {
    /// The disk.
    pub disk: DiskId,
    /// Where it was heard before.
    pub known_at: PeerAddress,
}

/// The process at an address.
#[derive(Clone, Debug)]
struct Peer {
    voter: Voter,
    report: PeerReport,
    /// Since when this life of the process has been heard without a loss between.
    present_since: Millis,
    last_heard: Millis,
    unhealthy_since: Option<Millis>,
    /// Whether a connection was reset after `last_heard`.
    connection_reset: bool,
}

/// All processes that were ever heard, by address.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    settings: PolicySettings,
    by_address: BTreeMap<PeerAddress, Peer>,
    started: Option<Millis>,
    last_look: Millis,
}

impl Peers {
    pub(super) fn new(settings: PolicySettings) -> Peers {
        Peers {
            settings,
            by_address: BTreeMap::new(),
            started: None,
            last_look: Millis(0),
        }
    }

    /// Takes a heartbeat.
    pub(super) fn receive_heartbeat(
        &mut self,
        voter: Voter,
        report: PeerReport,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.check_disk(voter.disk, voter.address, now)?;
        self.take(voter, report, now);
        Ok(())
    }

    /// Whether a process at this address may have this disk: no other that is alive has it.
    pub(super) fn check_disk(
        &self,
        disk: DiskId,
        address: PeerAddress,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        let has_it = |peer: &&Peer| is_disk(peer, disk) && peer.voter.address != address;
        match self
            .by_address
            .values()
            .find(|peer| has_it(peer) && !self.is_silent(peer, now))
        {
            Some(other) => Err(DuplicateDisk {
                disk,
                known_at: other.voter.address,
            }),
            None => Ok(()),
        }
    }

    fn take(&mut self, voter: Voter, report: PeerReport, now: Millis) {
        self.started.get_or_insert(now);
        let before = self
            .by_address
            .get(&voter.address)
            .filter(|peer| peer.voter.disk == voter.disk);
        let present_since = match before {
            Some(peer)
                if !self.is_silent(peer, now) && peer.report.incarnation == report.incarnation =>
            {
                peer.present_since
            }
            _ => now,
        };
        let unhealthy_before = before.and_then(|peer| peer.unhealthy_since);
        let unhealthy_since = (!report.disk_healthy).then_some(unhealthy_before.unwrap_or(now));
        let address = voter.address;
        let peer = Peer {
            voter,
            report,
            present_since,
            last_heard: now,
            unhealthy_since,
            connection_reset: false,
        };
        self.by_address.insert(address, peer);
    }

    /// Marks that a connection from this address was reset.
    pub(super) fn connection_reset(&mut self, address: PeerAddress) {
        if let Some(peer) = self.by_address.get_mut(&address) {
            peer.connection_reset = true;
        }
    }

    /// Lets time pass. Time in which this process stood still does not count as silence of the others.
    pub(super) fn advance(&mut self, me: &Voter, now: Millis) {
        let started = *self.started.get_or_insert(now);
        let gap = now.since(self.last_look.max(started));
        if gap > STALL_HEARTBEATS * self.settings.heartbeat_ms {
            self.exclude_stall(gap, now);
        }
        self.last_look = now;
        self.record_self(me, now);
    }

    fn exclude_stall(&mut self, gap: u64, now: Millis) {
        for peer in self.by_address.values_mut() {
            peer.last_heard = peer.last_heard.plus(gap).min(now);
        }
    }

    /// This process is alive whenever it looks. What it last told of itself stays as it was: its replica may be good for
    /// less in a newer view.
    fn record_self(&mut self, me: &Voter, now: Millis) {
        let known = self
            .by_address
            .get(&me.address)
            .filter(|peer| peer.voter.disk == me.disk);
        let unknown = PeerReport {
            incarnation: 0,
            view_number: 0,
            disk_healthy: true,
            draining: false,
            replica: ReplicaReport::default(),
        };
        let report = known.map_or(unknown, |peer| peer.report);
        self.take(me.clone(), report, now);
    }

    /// How long, in milliseconds, this process has been watching.
    pub(super) fn watched_ms(&self, now: Millis) -> u64 {
        self.started.map_or(0, |started| now.since(started))
    }

    /// Whether this disk's process was heard lately.
    pub(super) fn is_alive(&self, voter: &Voter, now: Millis) -> bool {
        self.peer(voter)
            .is_some_and(|peer| !self.is_silent(peer, now))
    }

    /// Whether this disk's process has to be taken for lost. One that was never heard is not, until this process has
    /// watched for long enough; one whose address has another disk is at once.
    pub(super) fn is_lost(&self, voter: &Voter, now: Millis) -> bool {
        match self.peer(voter) {
            Some(peer) => self.is_silent(peer, now),
            None => {
                self.is_replaced(voter, now)
                    || self.watched_ms(now) >= self.settings.suspect_after_ms
            }
        }
    }

    /// How long, in milliseconds, nothing was heard of this disk.
    pub(super) fn silent_ms(&self, voter: &Voter, now: Millis) -> u64 {
        self.peer(voter)
            .map_or(self.watched_ms(now), |peer| now.since(peer.last_heard))
    }

    /// Whether the disk, by the last word of it, is healthy.
    pub(super) fn has_healthy_disk(&self, voter: &Voter) -> bool {
        self.peer(voter)
            .is_some_and(|peer| peer.unhealthy_since.is_none())
    }

    /// Whether this disk's process, by its last word, was told to end.
    pub(super) fn is_draining(&self, voter: &Voter) -> bool {
        self.peer(voter).is_some_and(|peer| peer.report.draining)
    }

    /// How long, in milliseconds, the disk has been said to be unhealthy.
    pub(super) fn unhealthy_ms(&self, voter: &Voter, now: Millis) -> u64 {
        let since = self.peer(voter).and_then(|peer| peer.unhealthy_since);
        since.map_or(0, |since| now.since(since))
    }

    /// Whether this disk could join the chain of this view at once.
    pub(super) fn could_join(&self, voter: &Voter, view_number: u64, now: Millis) -> bool {
        let ready = |peer: &Peer| {
            let caught_up = peer.report.replica.caught_up && peer.report.view_number == view_number;
            caught_up && !peer.report.draining
        };
        self.is_alive(voter, now)
            && self.has_healthy_disk(voter)
            && self.peer(voter).is_some_and(ready)
    }

    /// Whether this disk is known to have everything that was committed before this view; none where its process has
    /// not spoken in this view.
    pub(super) fn is_complete(&self, voter: &Voter, view_number: u64) -> Option<bool> {
        self.replica_in(voter, view_number)
            .map(|replica| replica.complete)
    }

    /// Whether this disk's process, the head, cannot go on in this view.
    pub(super) fn needs_view(&self, voter: &Voter, view_number: u64) -> bool {
        self.replica_in(voter, view_number)
            .is_some_and(|replica| replica.needs_view)
    }

    fn replica_in(&self, voter: &Voter, view_number: u64) -> Option<ReplicaReport> {
        let peer = self
            .peer(voter)
            .filter(|peer| peer.report.view_number == view_number)?;
        Some(peer.report.replica)
    }

    /// The disk whose process listens at an address.
    pub(super) fn disk_at(&self, address: PeerAddress) -> Option<DiskId> {
        self.by_address.get(&address).map(|peer| peer.voter.disk)
    }

    /// Where a disk's process listens.
    pub(super) fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        let peer = self.by_address.values().find(|peer| is_disk(peer, disk))?;
        Some(peer.voter.address)
    }

    /// The disk that has taken this voter's address and could become a voter in its place.
    pub(super) fn replacement(
        &self,
        voter: &Voter,
        view_number: u64,
        now: Millis,
    ) -> Option<&Voter> {
        let peer = self.by_address.get(&voter.address)?;
        let usable = peer.voter.disk != voter.disk && self.is_settled(peer, view_number, now);
        usable.then_some(&peer.voter)
    }

    /// All disks that could become voters of the view after this one.
    pub(super) fn settled(&self, view_number: u64, now: Millis) -> impl Iterator<Item = &Voter> {
        let usable = move |peer: &&Peer| self.is_settled(peer, view_number, now);
        self.by_address
            .values()
            .filter(usable)
            .map(|peer| &peer.voter)
    }

    /// The founders that are here with a healthy disk, by disk.
    pub(super) fn founders_present(&self, founders: &[PeerAddress], now: Millis) -> Vec<Voter> {
        let here = |peer: &&Peer| {
            founders.contains(&peer.voter.address)
                && !self.is_silent(peer, now)
                && peer.unhealthy_since.is_none()
                && !peer.report.draining
        };
        let mut voters: Vec<Voter> = self
            .by_address
            .values()
            .filter(here)
            .map(|peer| peer.voter.clone())
            .collect();
        voters.sort_by_key(|voter| voter.disk);
        voters
    }

    /// Whether another disk's process lives at this voter's address.
    pub(super) fn is_replaced(&self, voter: &Voter, now: Millis) -> bool {
        let other = self.by_address.get(&voter.address);
        other.is_some_and(|peer| peer.voter.disk != voter.disk && !self.is_silent(peer, now))
    }

    fn is_settled(&self, peer: &Peer, view_number: u64, now: Millis) -> bool {
        let long_here =
            !self.is_silent(peer, now) && now.since(peer.present_since) >= SETTLED_AFTER_MS;
        let stays = peer.unhealthy_since.is_none() && !peer.report.draining;
        long_here && stays && peer.report.view_number == view_number
    }

    fn is_silent(&self, peer: &Peer, now: Millis) -> bool {
        let limit = match peer.connection_reset {
            true => self.settings.suspect_after_ms / CLOSED_DIVISOR,
            false => self.settings.suspect_after_ms,
        };
        now.since(peer.last_heard) >= limit
    }

    fn peer(&self, voter: &Voter) -> Option<&Peer> {
        self.by_address
            .get(&voter.address)
            .filter(|peer| is_disk(peer, voter.disk))
    }
}

fn is_disk(peer: &Peer, disk: DiskId) -> bool {
    peer.voter.disk == disk
}
