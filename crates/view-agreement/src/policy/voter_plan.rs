//! The voters of the next view. One view adds one voter, removes one, or replaces one by another: the
//! disk that is added is reachable, so a majority that was reachable before is so after.
//!
//! A vote needs the agreed view and nothing else, so a disk may vote before it has caught up. The
//! control state is held by the chain, whose rules are in [`super::chain_plan`]; no disk loses its
//! vote while it is in the chain.

use super::cluster_snapshot::ClusterSnapshot;
use lupinrack_cluster_api::view::{View, Voter};

/// How many voters there are at most.
const MAX_VOTERS: usize = 13;
/// How many voters there are at least.
const MIN_VOTERS: usize = 3;
/// What the timeout of a process is divided by for the time after which its heartbeat is late.
const LATE_DIVISOR: u64 = 2;

/// Derives the voters: new disks replace voters that are gone, further ones are added, and an even
/// number is made odd by removing a voter that is gone.
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

    /// The voters with a new disk in place of one that is gone, or else of one that is draining.
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
    /// number has a larger majority, and the new disk is of more use as the replacement of that
    /// voter, should it be gone.
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
    /// reduced, since that makes the majority smaller. With an odd number the majority would stay
    /// as large as it is, and the chance that the voter returns would be lost for nothing.
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

    /// The disk that replaces a voter: the new disk at its address, or else a new disk, of its zone
    /// if there is one.
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

    /// Whether a voter is reachable and not even close to its timeout.
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

    /// Whether a voter may be replaced: its address has another disk, or it has been out of contact
    /// with everybody for too long, or it was draining and counts as lost.
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

    /// Whether a voter that is there and draining may be replaced now. New disks are reserved for
    /// voters that are late.
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

    /// Whether a voter is lost to this process, and to all whom this process reaches.
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
