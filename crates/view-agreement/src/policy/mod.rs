//! Which view a process should propose next, by what it hears from the other core processes.

mod chain;
mod peers;
mod voters;

use chain::ChainPlan;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use peers::Peers;
pub use peers::{DuplicateDisk, PeerReport};
use std::collections::BTreeSet;
use voters::VoterPlan;

use crate::quorum::is_majority;

/// How long, in milliseconds, a founder waits for all the others before it founds with a majority of them.
const FOUNDING_WAIT_MS: u64 = 600;
/// How much longer, in milliseconds, each further process waits before it proposes what the one before it should have.
const TURN_MS: u64 = 300;
/// How much longer still, in milliseconds, a process outside the chain waits while a member could propose.
const SPARE_DELAY_MS: u64 = 3000;

/// What the time to catch up is divided by for the silence after which a voter may be replaced.
const GONE_DIVISOR: u64 = 4;
/// What it is divided by for the silence after which a voter may be removed.
const REMOVED_DIVISOR: u64 = 2;

/// The figures of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Milliseconds between two heartbeats of a process.
    pub heartbeat_ms: u64,
    /// Milliseconds of silence after which a process counts as lost.
    pub suspect_after_ms: u64,
    /// How many disks may be lost at once while everything acknowledged is kept.
    pub tolerated_losses: usize,
    /// Milliseconds from the start of a lost machine's successor until the loss counts no longer (`bounds.catch-up-s`):
    /// by then the successor votes in place of the lost one.
    pub catch_up_ms: u64,
}

impl PolicySettings {
    /// Milliseconds of silence after which a newcomer may take a voter's place. It is a part of the time to catch up, so
    /// that the rest of it is left for the views and for the newcomer's replica.
    fn gone_after_ms(&self) -> u64 {
        (self.catch_up_ms / GONE_DIVISOR).max(self.suspect_after_ms)
    }

    /// Milliseconds of silence after which a voter may be removed from an even number without a newcomer in its place.
    fn removed_after_ms(&self) -> u64 {
        (self.catch_up_ms / REMOVED_DIVISOR).max(self.suspect_after_ms)
    }
}

/// A failure detector over the core processes, and the rules that turn what it says into the next view.
#[derive(Clone, Debug)]
pub struct ViewPolicy {
    settings: PolicySettings,
    founders: Vec<PeerAddress>,
    peers: Peers,
    pending: Option<PendingChange>,
}

/// Since when another view has been wanted in place of the view of this number.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    replaces: u64,
    since: Millis,
}

/// What the plans of the next view are made from.
#[derive(Clone, Copy)]
struct ClusterSnapshot<'a> {
    settings: PolicySettings,
    peers: &'a Peers,
    current: &'a View,
    now: Millis,
}

impl ViewPolicy {
    /// Begins without having heard from anybody. `founders` are the internal addresses of all founders where this
    /// process is one of them, and empty otherwise, as [`Agreement::founders`](crate::Agreement::founders) tells.
    pub fn new(settings: PolicySettings, founders: Vec<PeerAddress>) -> ViewPolicy {
        let distinct: BTreeSet<PeerAddress> = founders.into_iter().collect();
        let founders = distinct.into_iter().collect();
        ViewPolicy {
            settings,
            founders,
            peers: Peers::new(settings),
            pending: None,
        }
    }

    /// Takes a heartbeat. The process's own state is told in the same way, at least as often.
    ///
    /// # Errors
    ///
    /// Where the heartbeat claims a disk that is alive at another address; nothing of it is taken.
    pub fn receive_heartbeat(
        &mut self,
        voter: Voter,
        report: PeerReport,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.peers.receive_heartbeat(voter, report, now)
    }

    /// Whether a process at this address may have this disk.
    ///
    /// # Errors
    ///
    /// Where the disk is alive at another address.
    pub fn check_disk(
        &self,
        disk: DiskId,
        address: PeerAddress,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.peers.check_disk(disk, address, now)
    }

    /// Takes the hint that a connection from this address was reset: silence now counts sooner.
    pub fn connection_reset(&mut self, address: PeerAddress) {
        self.peers.connection_reset(address);
    }

    /// The disk whose process listens at an address, by the last heartbeat from there.
    pub fn disk_at(&self, address: PeerAddress) -> Option<DiskId> {
        self.peers.disk_at(address)
    }

    /// Where a disk's process listens, by its last heartbeat.
    pub fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        self.peers.address_of(disk)
    }

    /// Whether this process, which is leaving, is needed by nobody: it is out of the chain, so many members of the chain
    /// have everything that the tolerated losses leave one, and no other voter is about to take its vote. A voter without
    /// others has nobody to wait for.
    pub fn may_shut_down(&self, current: &View, me: &Voter, now: Millis) -> bool {
        let snapshot = ClusterSnapshot {
            settings: self.settings,
            peers: &self.peers,
            current,
            now,
        };
        let alone = current.voters.iter().all(|voter| voter.disk == me.disk);
        let outside = current.position(me.disk).is_none();
        alone || (outside && snapshot.is_kept_by_others(me) && !snapshot.is_about_to_replace(me))
    }

    /// The view that this process should propose now; to be asked every few tens of milliseconds, as longer breaks are
    /// taken for this process standing still. Nothing is wanted of a process that is no voter or has an unhealthy disk.
    pub fn view_to_propose(&mut self, current: &View, me: &Voter, now: Millis) -> Option<View> {
        self.peers.advance(me, now);
        let snapshot = ClusterSnapshot {
            settings: self.settings,
            peers: &self.peers,
            current,
            now,
        };
        let next = match current.number {
            0 => founding_view(&snapshot, &self.founders, me),
            _ => next_view(&snapshot, me),
        };
        let delay_ms = match (&next, current.number) {
            (Some(first_view), 0) => founder_delay_ms(first_view, me),
            _ => proposer_delay_ms(&snapshot, me),
        };
        let waited_ms = self.waited_ms(next.is_some(), current.number, now);
        next.filter(|_| delay_ms.is_some_and(|delay_ms| waited_ms >= delay_ms))
    }

    /// For how long, in milliseconds, a change of the view of this number has been wanted without a break.
    fn waited_ms(&mut self, wanted: bool, replaces: u64, now: Millis) -> u64 {
        if !wanted {
            self.pending = None;
            return 0;
        }
        let held = self.pending.filter(|pending| pending.replaces == replaces);
        let since = held.map_or(now, |pending| pending.since);
        self.pending = Some(PendingChange { replaces, since });
        now.since(since)
    }
}

impl ClusterSnapshot<'_> {
    /// Whether a disk's process was heard lately.
    fn is_alive(&self, voter: &Voter) -> bool {
        self.peers.is_alive(voter, self.now)
    }

    /// Whether the head lives and cannot go on in this view.
    fn head_needs_view(&self) -> bool {
        let head = self
            .current
            .head()
            .and_then(|disk| self.current.voter(disk));
        head.is_some_and(|voter| self.peers.needs_view(voter, self.current.number))
    }

    /// Whether so many other members of the chain are alive and have everything that the tolerated losses leave one.
    fn is_kept_by_others(&self, me: &Voter) -> bool {
        let members = self
            .current
            .chain
            .iter()
            .filter_map(|disk| self.current.voter(*disk));
        let holds = |voter: &&Voter| {
            let complete = self.peers.is_complete(voter, self.current.number) == Some(true);
            voter.disk != me.disk && complete && self.is_alive(voter)
        };
        members.filter(holds).count() > self.settings.tolerated_losses
    }

    /// Whether the next view should be without this voter.
    fn is_about_to_replace(&self, me: &Voter) -> bool {
        let is_voter = self.current.voter(me.disk).is_some();
        is_voter
            && VoterPlan::new(self)
                .next()
                .is_some_and(|voters| !voters.contains(me))
    }

    /// How many of these were heard lately.
    fn count_alive(&self, voters: &[Voter]) -> usize {
        voters.iter().filter(|voter| self.is_alive(voter)).count()
    }
}

/// The length of the chain for so many voters: it meets every majority of them, and outlasts the tolerated losses.
fn wanted_chain_length(voters: usize, tolerated_losses: usize) -> usize {
    (voters / 2 + 1).max(tolerated_losses + 1).min(voters)
}

/// View 1, of the founders that were heard.
fn founding_view(snapshot: &ClusterSnapshot, founders: &[PeerAddress], me: &Voter) -> Option<View> {
    if !founders.contains(&me.address) {
        return None;
    }
    let voters = snapshot.peers.founders_present(founders, snapshot.now);
    let all_here = voters.len() == founders.len();
    let waited = snapshot.peers.watched_ms(snapshot.now) >= FOUNDING_WAIT_MS;
    let ready = is_majority(voters.len(), founders.len()) && (all_here || waited);
    if !ready {
        return None;
    }
    let length = wanted_chain_length(voters.len(), snapshot.settings.tolerated_losses);
    let chain = chain::spread_over_zones(Vec::new(), &voters, &voters, length);
    Some(View {
        number: 1,
        voters,
        chain,
    })
}

/// The view after the current one, where the chain or the voters should change and a majority is there to agree.
/// The chain goes first; voters change one at a time.
fn next_view(snapshot: &ClusterSnapshot, me: &Voter) -> Option<View> {
    let current = snapshot.current;
    let majority_alive = is_majority(snapshot.count_alive(&current.voters), current.voters.len());
    if current.voter(me.disk).is_none() || !majority_alive {
        return None;
    }
    let chain = ChainPlan::new(snapshot).next()?;
    if chain != current.chain || snapshot.head_needs_view() {
        return Some(View {
            number: current.number + 1,
            voters: current.voters.clone(),
            chain,
        });
    }
    let voters = VoterPlan::new(snapshot).next()?;
    Some(View {
        number: current.number + 1,
        voters,
        chain,
    })
}

/// How long, in milliseconds, a founder leaves the founding to others: one turn for each disk below its own.
fn founder_delay_ms(first_view: &View, me: &Voter) -> Option<u64> {
    let rank = first_view
        .voters
        .iter()
        .position(|voter| voter.disk == me.disk)?;
    Some(rank as u64 * TURN_MS)
}

/// How long, in milliseconds, a process leaves a change to others: one turn for each that goes before it, and longer
/// outside the chain while a member could propose. Two processes that do not hear each other would otherwise take
/// turns in removing the other from the chain.
fn proposer_delay_ms(snapshot: &ClusterSnapshot, me: &Voter) -> Option<u64> {
    let proposers = proposers(snapshot);
    let rank = proposers.iter().position(|disk| *disk == me.disk)?;
    let is_member = |disk: &DiskId| snapshot.current.position(*disk).is_some();
    let left_to_members = !is_member(&me.disk) && proposers.iter().any(is_member);
    Some(rank as u64 * TURN_MS + if left_to_members { SPARE_DELAY_MS } else { 0 })
}

/// Who may propose, in the order of their turns: voters that are alive with a healthy disk and not leaving, chain members
/// first.
fn proposers(snapshot: &ClusterSnapshot) -> Vec<DiskId> {
    let current = snapshot.current;
    let able = |voter: &&Voter| {
        let stays = snapshot.is_alive(voter) && !snapshot.peers.is_draining(voter);
        stays && snapshot.peers.has_healthy_disk(voter)
    };
    let mut disks: Vec<DiskId> = current
        .voters
        .iter()
        .filter(able)
        .map(|voter| voter.disk)
        .collect();
    disks.sort_by_key(|disk| (current.position(*disk).unwrap_or(usize::MAX), *disk));
    disks
}
