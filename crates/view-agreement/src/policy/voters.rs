//! The voters of the next view. One view takes one newcomer in, one voter out, or both: who enters is alive, so a
//! majority that was alive before is alive after.
//!
//! A vote needs the agreed view and nothing else, so a newcomer may vote before it has caught up. What holds the control
//! state is the chain; its rules stand in [`super::chain`], and nobody loses the vote while still in the chain.

use super::ClusterSnapshot;
use lupinrack_cluster_api::view::{View, Voter};

/// How many voters there are at most.
const VOTERS_MOST: usize = 13;
/// How many voters are never gone below.
const VOTERS_LEAST: usize = 3;

/// Works out the voters: newcomers take the places of voters that are gone, further ones are added, and an even number
/// is made odd by removing one that is gone.
pub(super) struct VoterPlan<'a> {
    snapshot: &'a ClusterSnapshot<'a>,
}

impl<'a> VoterPlan<'a> {
    pub(super) fn new(snapshot: &'a ClusterSnapshot<'a>) -> VoterPlan<'a> {
        VoterPlan { snapshot }
    }

    /// The voters of the next view; none where they should stay as they are.
    pub(super) fn next(&self) -> Option<Vec<Voter>> {
        self.swapped()
            .or_else(|| self.extended())
            .or_else(|| self.reduced())
    }

    fn current(&self) -> &'a View {
        self.snapshot.current
    }

    /// With a newcomer in the place of a voter that is gone, or else of one that is leaving.
    fn swapped(&self) -> Option<Vec<Voter>> {
        let gone = self.outside_chain().filter(|voter| self.is_gone(voter));
        let draining = self
            .outside_chain()
            .filter(|voter| self.may_hand_over(voter));
        let (old, new) = gone
            .chain(draining)
            .find_map(|old| Some((old, self.successor_of(old)?)))?;
        let replace = |voter: &Voter| {
            if voter == old {
                new.clone()
            } else {
                voter.clone()
            }
        };
        Some(self.current().voters.iter().map(replace).collect())
    }

    /// With one more process. An odd number waits while a voter is silent: an even one has a larger majority, and the
    /// newcomer is better used in the place of that voter, should it be gone.
    fn extended(&self) -> Option<Vec<Voter>> {
        let voters = &self.current().voters;
        let whole = voters.iter().all(|voter| self.was_just_heard(voter));
        if voters.len() >= VOTERS_MOST || (is_odd(voters.len()) && !whole) {
            return None;
        }
        let new = self.newcomers().next()?;
        Some(voters.iter().chain([new]).cloned().collect())
    }

    /// Without one that is leaving or has been gone for long. Only an even number is reduced: there the majority becomes
    /// smaller, while an odd number's would stay as large as it is and the chance of a return would be given away for
    /// nothing.
    fn reduced(&self) -> Option<Vec<Voter>> {
        let least = VOTERS_LEAST.max(2 * self.snapshot.settings.tolerated_losses + 1);
        let voters = &self.current().voters;
        if is_odd(voters.len()) || voters.len() <= least {
            return None;
        }
        let gone = self
            .outside_chain()
            .find(|voter| self.is_removable(voter))?;
        Some(
            voters
                .iter()
                .filter(|voter| *voter != gone)
                .cloned()
                .collect(),
        )
    }

    /// The voters that could go. A member of the chain stays: it leaves the chain first.
    fn outside_chain(&self) -> impl Iterator<Item = &'a Voter> {
        let current = self.current();
        current
            .voters
            .iter()
            .filter(|voter| current.position(voter.disk).is_none())
    }

    /// Processes that could become voters and take nobody's address.
    fn newcomers(&self) -> impl Iterator<Item = &'a Voter> {
        let ClusterSnapshot {
            peers,
            current,
            now,
            ..
        } = *self.snapshot;
        peers
            .settled(current.number, now)
            .filter(|candidate| is_new(current, candidate))
    }

    /// Who takes a voter's place: the new disk at its address, else a newcomer, of its zone where there is one.
    fn successor_of(&self, old: &Voter) -> Option<&'a Voter> {
        let ClusterSnapshot {
            peers,
            current,
            now,
            ..
        } = *self.snapshot;
        let same_address = peers.replacement(old, current.number, now);
        let same_address = same_address.filter(|new| current.voter(new.disk).is_none());
        same_address.or_else(|| self.newcomers().min_by_key(|new| new.zone != old.zone))
    }

    fn was_just_heard(&self, voter: &Voter) -> bool {
        let ClusterSnapshot {
            settings,
            peers,
            now,
            ..
        } = *self.snapshot;
        self.snapshot.is_alive(voter)
            && peers.silent_ms(voter, now) <= settings.suspect_after_ms / 2
    }

    /// Whether a voter's place is free: its address has another disk, or it has been silent for too long, or it said
    /// that it is leaving and fell silent.
    fn is_gone(&self, voter: &Voter) -> bool {
        let ClusterSnapshot {
            settings,
            peers,
            now,
            ..
        } = *self.snapshot;
        if peers.is_replaced(voter, now) {
            return true;
        }
        let silent_for_long = peers.silent_ms(voter, now) >= settings.gone_after_ms();
        peers.is_lost(voter, now) && (silent_for_long || peers.is_draining(voter))
    }

    /// Whether a voter that lives and is leaving may be replaced now. Newcomers are kept for voters that are silent.
    fn may_hand_over(&self, voter: &Voter) -> bool {
        let silent = self
            .current()
            .voters
            .iter()
            .filter(|voter| !self.was_just_heard(voter))
            .count();
        self.snapshot.peers.is_draining(voter) && self.newcomers().count() > silent
    }

    fn is_removable(&self, voter: &Voter) -> bool {
        let ClusterSnapshot {
            settings,
            peers,
            now,
            ..
        } = *self.snapshot;
        let gone =
            peers.is_lost(voter, now) && peers.silent_ms(voter, now) > settings.removed_after_ms();
        gone || peers.is_draining(voter)
    }
}

fn is_odd(count: usize) -> bool {
    count % 2 == 1
}

/// Whether neither the candidate's disk nor its address belongs to a voter.
fn is_new(current: &View, candidate: &Voter) -> bool {
    let same = |voter: &Voter| voter.disk == candidate.disk || voter.address == candidate.address;
    !current.voters.iter().any(same)
}
