//! The voters of the next view. They change one at a time: who enters is alive and who leaves is not, so a majority that
//! was alive before is alive after.

use super::ClusterSnapshot;
use lupinrack_cluster_api::view::{View, Voter};

/// How many voters there are at most.
const VOTERS_MOST: usize = 9;
/// How many voters are never gone below.
const VOTERS_LEAST: usize = 3;
/// How long, in milliseconds, a voter has to be silent before it may be removed.
const REMOVED_AFTER_MS: u64 = 20_000;

/// Works out the voters: a new disk takes the place of the old one at its address, new processes are added, and those
/// that have been gone for long are removed.
pub(super) struct VoterPlan<'a> {
    snapshot: &'a ClusterSnapshot<'a>,
}

impl<'a> VoterPlan<'a> {
    pub(super) fn new(snapshot: &'a ClusterSnapshot<'a>) -> VoterPlan<'a> {
        VoterPlan { snapshot }
    }

    /// The voters of the next view; none where they should stay as they are.
    pub(super) fn next(&self) -> Option<Vec<Voter>> {
        self.swapped().or_else(|| self.extended()).or_else(|| self.reduced())
    }

    fn current(&self) -> &'a View {
        self.snapshot.current
    }

    /// With a new disk in the place of the one that was at its address. A member of the chain stays: it leaves the
    /// chain first.
    fn swapped(&self) -> Option<Vec<Voter>> {
        let ClusterSnapshot { peers, current, now, .. } = self.snapshot;
        let outside = current.voters.iter().filter(|voter| current.position(voter.disk).is_none());
        let (old, new) = outside
            .filter_map(|old| Some((old, peers.replacement(old, current.number, *now)?)))
            .find(|(_, new)| current.voter(new.disk).is_none())?;
        let replace = |voter: &Voter| if voter == old { new.clone() } else { voter.clone() };
        Some(current.voters.iter().map(replace).collect())
    }

    /// With one more process.
    fn extended(&self) -> Option<Vec<Voter>> {
        let ClusterSnapshot { peers, current, now, .. } = self.snapshot;
        if current.voters.len() >= VOTERS_MOST {
            return None;
        }
        let new = peers.settled(current.number, *now).find(|voter| self.is_new(voter))?;
        let mut voters = current.voters.clone();
        voters.push(new.clone());
        Some(voters)
    }

    fn is_new(&self, candidate: &Voter) -> bool {
        let same = |voter: &Voter| voter.disk == candidate.disk || voter.address == candidate.address;
        !self.current().voters.iter().any(same)
    }

    /// Without one that has been gone for long. Only an even number is reduced: there the majority becomes smaller,
    /// while an odd number's would stay as large as it is and the chance of a return would be given away for nothing.
    fn reduced(&self) -> Option<Vec<Voter>> {
        let ClusterSnapshot { settings, current, .. } = self.snapshot;
        let least = VOTERS_LEAST.max(2 * settings.tolerated_losses + 1);
        let count = current.voters.len();
        if count % 2 == 1 || count <= least {
            return None;
        }
        let gone = current.voters.iter().find(|voter| self.is_long_gone(voter))?;
        Some(current.voters.iter().filter(|voter| *voter != gone).cloned().collect())
    }

    fn is_long_gone(&self, voter: &Voter) -> bool {
        let ClusterSnapshot { peers, current, now, .. } = self.snapshot;
        let silent = peers.is_lost(voter, *now) && peers.silent_ms(voter, *now) > REMOVED_AFTER_MS;
        silent && current.position(voter.disk).is_none()
    }
}
