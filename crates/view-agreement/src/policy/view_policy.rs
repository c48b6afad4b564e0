//! The policy that derives the view to propose from heartbeats.

use super::chain_plan::ChainPlan;
use super::cluster_snapshot::ClusterSnapshot;
use super::failure_detector::FailureDetector;
use super::founding::{founder_delay_ms, founding_view};
use super::peer_report::{DuplicateDisk, PeerReport};
use super::proposer_order::proposer_delay_ms;
use super::redundancy::Redundancy;
use super::settings::PolicySettings;
use super::shutdown;
use super::voter_plan::VoterPlan;
use crate::quorum::is_majority;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use std::collections::BTreeSet;

/// Milliseconds for which the head of the first view keeps its place until it is complete. All
/// members begin incomplete there and need a sync to be complete; a view with another order costs
/// several.
const REORDER_DELAY_MS: u64 = 2000;

/// A failure detector over the core processes, and the rules that derive the next view from it.
#[derive(Clone, Debug)]
pub struct ViewPolicy {
    settings: PolicySettings,
    founders: Vec<PeerAddress>,
    detector: FailureDetector,
    /// The wanted change that is not agreed yet.
    pending: Option<PendingChange>,
}

/// A wanted change of the view.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    /// The number of the view that the change replaces.
    replaces: u64,
    /// Since when the change has been wanted without interruption.
    since: Millis,
}

impl ViewPolicy {
    /// A policy that has received no heartbeat.
    ///
    /// `founders` are the internal addresses of all founders if this process is one of them, and
    /// empty otherwise; [`Agreement::founders`](crate::Agreement::founders) has them.
    pub fn new(settings: PolicySettings, founders: Vec<PeerAddress>) -> ViewPolicy {
        let distinct: BTreeSet<PeerAddress> = founders.into_iter().collect();
        let founders = distinct.into_iter().collect();
        ViewPolicy {
            settings,
            founders,
            detector: FailureDetector::new(settings),
            pending: None,
        }
    }

    /// Receives a heartbeat. The process's own state is reported in the same way, at least as
    /// often.
    ///
    /// # Errors
    ///
    /// If the heartbeat claims a disk that is alive at another address; the heartbeat is ignored.
    pub fn receive_heartbeat(
        &mut self,
        voter: Voter,
        report: PeerReport,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.detector.receive_heartbeat(voter, report, now)
    }

    /// Checks that a process at this address may have this disk.
    ///
    /// # Errors
    ///
    /// If the disk is alive at another address.
    pub fn check_disk(
        &self,
        disk: DiskId,
        address: PeerAddress,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.detector.check_disk(disk, address, now)
    }

    /// Notes that a connection from this address was reset: the timeout of its process is shorter
    /// until its next heartbeat.
    pub fn connection_reset(&mut self, address: PeerAddress) {
        self.detector.connection_reset(address);
    }

    /// The disk of the process at an address, by the last heartbeat from there.
    pub fn disk_at(&self, address: PeerAddress) -> Option<DiskId> {
        self.detector.disk_at(address)
    }

    /// The address of a disk's process, by its last heartbeat.
    pub fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        self.detector.address_of(disk)
    }

    /// Whether this process, which is draining, is no longer needed.
    ///
    /// It is no longer needed once it is outside the chain, so many other members of the chain hold
    /// the state that one is left after the tolerated losses, and no other disk is about to take over
    /// its vote. The only voter waits for nothing.
    pub fn may_shut_down(&self, current: &View, me: &Voter, now: Millis) -> bool {
        shutdown::may_shut_down(&self.snapshot(current, now), me)
    }

    /// The disks with whose processes this one exchanges messages in both directions, for the next
    /// heartbeat. Time during which this process stalled does not count against other processes.
    pub fn linked_disks(&mut self, me: &Voter, now: Millis) -> Vec<DiskId> {
        self.detector.advance(me, now);
        self.detector.reachable_disks(now)
    }

    /// The view that this process should propose now, if any.
    ///
    /// To be called every few tens of milliseconds: a longer gap counts as a stall of this process. A
    /// process that is not a voter or has an unhealthy disk proposes nothing.
    pub fn view_to_propose(&mut self, current: &View, me: &Voter, now: Millis) -> Option<View> {
        self.detector.advance(me, now);
        let snapshot = self.snapshot(current, now);
        let next = match current.number {
            0 => founding_view(&snapshot, &self.founders, me),
            _ => next_view(&snapshot, me),
        };
        let delay_ms = match (&next, current.number) {
            (Some(first_view), 0) => founder_delay_ms(first_view, me),
            (Some(next), 1) if is_reordered(current, next, &snapshot) => {
                proposer_delay_ms(&snapshot, me).map(|delay_ms| delay_ms + REORDER_DELAY_MS)
            }
            _ => proposer_delay_ms(&snapshot, me),
        };
        let pending_ms = self.pending_ms(next.is_some(), current.number, now);
        next.filter(|_| delay_ms.is_some_and(|delay_ms| pending_ms >= delay_ms))
    }

    /// The disks that hold, or will hold, everything that is committed.
    pub fn redundancy(&self, current: &View, now: Millis) -> Redundancy {
        self.snapshot(current, now).redundancy()
    }

    /// Milliseconds for which a change of the view with this number has been wanted without
    /// interruption.
    fn pending_ms(&mut self, is_wanted: bool, replaces: u64, now: Millis) -> u64 {
        if !is_wanted {
            self.pending = None;
            return 0;
        }
        let pending = self.pending.filter(|pending| pending.replaces == replaces);
        let since = pending.map_or(now, |pending| pending.since);
        self.pending = Some(PendingChange { replaces, since });
        now.since(since)
    }

    fn snapshot<'a>(&'a self, current: &'a View, now: Millis) -> ClusterSnapshot<'a> {
        ClusterSnapshot {
            settings: self.settings,
            detector: &self.detector,
            current,
            now,
        }
    }
}

/// Whether the next view differs from the current one only in the order of the chain.
fn is_reordered(current: &View, next: &View, snapshot: &ClusterSnapshot) -> bool {
    let members = |view: &View| view.chain.iter().copied().collect::<BTreeSet<DiskId>>();
    let has_same_members = current.voters == next.voters && members(current) == members(next);
    has_same_members && !snapshot.head_needs_view()
}

/// The view after the current one, if the chain or the voters should change and a majority is
/// reachable to agree. The chain is changed first; voters change one at a time.
fn next_view(snapshot: &ClusterSnapshot, me: &Voter) -> Option<View> {
    let current = snapshot.current;
    let reachable = snapshot.count_reachable(&current.voters);
    if current.voter(me.disk).is_none() || !is_majority(reachable, current.voters.len()) {
        return None;
    }
    let number = current.number + 1;
    let chain = ChainPlan::new(snapshot, me).next()?;
    if chain != current.chain || snapshot.head_needs_view() {
        return Some(View {
            number,
            voters: current.voters.clone(),
            chain,
        });
    }
    let voters = VoterPlan::new(snapshot).next()?;
    Some(View {
        number,
        voters,
        chain,
    })
}
