//! The voters of the next view. Each view adds one voter, removes one, or replaces one. The added
//! disk is reachable, so if a majority was reachable before, one is reachable afterwards.
//!
//! Voting requires only the agreed view, so a disk may vote before it has caught up. The
//! control state is held by the chain, whose rules are in [`super::chain_plan`]; no disk loses its
//! vote while it is in the chain.

use super::cluster_snapshot::ClusterSnapshot;
use lupinrack_cluster_api::view::{View, Voter};

/// The maximum number of voters.
const MAX_VOTERS: usize = 13;
/// The minimum number of voters.
const MIN_VOTERS: usize = 3;
/// A heartbeat is late after the timeout of its process divided by this.
const LATE_DIVISOR: u64 = 2;

/// Derives the voters: new disks replace voters that are gone, further disks are added, and an even
/// number of voters becomes odd by removing a voter that is gone.
pub(super) struct VoterPlan<'a> {
    snapshot: &'a ClusterSnapshot<'a>,
}

impl<'a> VoterPlan<'a> {
    pub(super) fn new(snapshot: &'a ClusterSnapshot<'a>) -> VoterPlan<'a> {
        VoterPlan { snapshot }
    }

    /// The voters of the next view; none if they should not change.
    pub(super) fn next(&self) -> Option<Vec<Voter>> {
        self.with_replacement()
            .or_else(|| self.extended())
            .or_else(|| self.reduced())
    }

    fn current(&self) -> &'a View {
        self.snapshot.current
    }

    /// The voters with a new disk in place of a voter that is gone, or else of one that is draining.
    fn with_replacement(&self) -> Option<Vec<Voter>> {
        let outside_chain = || self.snapshot.voters_outside_chain();
        let gone = outside_chain().filter(|voter| self.is_gone(voter));
        let draining = outside_chain().filter(|voter| self.may_hand_over(voter));
        let mut replaceable = gone.chain(draining);
        let (old, new) = replaceable.find_map(|old| Some((old, self.replacement_for(old)?)))?;
        let replace = |voter: &Voter| {
            if voter == old {
                new.clone()
            } else {
                voter.clone()
            }
        };
        Some(self.current().voters.iter().map(replace).collect())
    }

    /// The voters with one more disk. An odd number is not extended while a voter is late: an even
    /// number needs a larger majority, and the new disk is more useful as the replacement of the late
    /// voter if that proves to be gone.
    fn extended(&self) -> Option<Vec<Voter>> {
        let voters = &self.current().voters;
        let all_in_time = voters.iter().all(|voter| self.is_in_time(voter));
        if voters.len() >= MAX_VOTERS || (is_odd(voters.len()) && !all_in_time) {
            return None;
        }
        let new = self.new_disks().next()?;
        Some(voters.iter().chain([new]).cloned().collect())
    }

    /// The voters without one that is draining or has been gone for long. Only an even number is
    /// reduced, since that makes the majority smaller. Reducing an odd number would not, and would
    /// only give up the chance that the voter returns.
    fn reduced(&self) -> Option<Vec<Voter>> {
        let least = MIN_VOTERS.max(2 * self.snapshot.settings.tolerated_losses + 1);
        let voters = &self.current().voters;
        if is_odd(voters.len()) || voters.len() <= least {
            return None;
        }
        let mut outside_chain = self.snapshot.voters_outside_chain();
        let removed = outside_chain.find(|voter| self.is_removable(voter))?;
        Some(
            voters
                .iter()
                .filter(|voter| *voter != removed)
                .cloned()
                .collect(),
        )
    }

    /// Disks that could become voters and have no voter's address.
    fn new_disks(&self) -> impl Iterator<Item = &'a Voter> {
        let ClusterSnapshot {
            detector,
            current,
            now,
            ..
        } = *self.snapshot;
        let candidates = detector.candidates(current.number, now);
        candidates.filter(|candidate| is_new(current, candidate))
    }

    /// The disk that replaces a voter: the new disk at its address, or else a new disk, preferably of
    /// its zone.
    fn replacement_for(&self, old: &Voter) -> Option<&'a Voter> {
        let ClusterSnapshot {
            detector,
            current,
            now,
            ..
        } = *self.snapshot;
        let same_address = detector.replacement(old, current.number, now);
        let same_address = same_address.filter(|new| current.voter(new.disk).is_none());
        same_address.or_else(|| self.new_disks().min_by_key(|new| new.zone != old.zone))
    }

    /// Whether a voter is reachable and its heartbeat is not late.
    fn is_in_time(&self, voter: &Voter) -> bool {
        let ClusterSnapshot {
            settings,
            detector,
            now,
            ..
        } = *self.snapshot;
        let late_after_ms = settings.suspect_after_ms / LATE_DIVISOR;
        let is_late = detector.since_heartbeat_ms(voter, now) > late_after_ms;
        self.snapshot.is_reachable(voter) && !is_late
    }

    /// Whether a voter may be replaced: its address has another disk, or it counts as lost to all and
    /// has been out of contact for too long or was draining.
    fn is_gone(&self, voter: &Voter) -> bool {
        let ClusterSnapshot {
            settings,
            detector,
            now,
            ..
        } = *self.snapshot;
        if detector.is_replaced(voter, now) {
            return true;
        }
        let has_timed_out = detector.since_contact_ms(voter, now) >= settings.replace_after_ms();
        self.is_lost_to_all(voter) && (has_timed_out || detector.is_draining(voter))
    }

    /// Whether a draining voter may be replaced now: one new disk is reserved for each late voter, and
    /// one more has to be available.
    fn may_hand_over(&self, voter: &Voter) -> bool {
        let late = self
            .current()
            .voters
            .iter()
            .filter(|voter| !self.is_in_time(voter))
            .count();
        self.snapshot.detector.is_draining(voter) && self.new_disks().count() > late
    }

    /// Whether a voter may be removed without a replacement.
    fn is_removable(&self, voter: &Voter) -> bool {
        let ClusterSnapshot {
            settings,
            detector,
            now,
            ..
        } = *self.snapshot;
        let has_timed_out = detector.since_contact_ms(voter, now) >= settings.remove_after_ms();
        (self.is_lost_to_all(voter) && has_timed_out) || detector.is_draining(voter)
    }

    /// Whether a voter counts as lost to this process and to all processes that it reaches.
    fn is_lost_to_all(&self, voter: &Voter) -> bool {
        self.snapshot.is_lost(voter) && !self.snapshot.is_linked_with_another(voter)
    }
}

fn is_odd(count: usize) -> bool {
    count % 2 == 1
}

/// Whether neither the candidate's disk nor its address belongs to a voter.
fn is_new(current: &View, candidate: &Voter) -> bool {
    let is_same =
        |voter: &Voter| voter.disk == candidate.disk || voter.address == candidate.address;
    !current.voters.iter().any(is_same)
}
