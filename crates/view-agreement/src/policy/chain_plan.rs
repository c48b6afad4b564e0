//! The chain of the next view.

use super::cluster_snapshot::ClusterSnapshot;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::Voter;

/// How long, in milliseconds, a disk may be unhealthy before it is removed from the chain.
const UNHEALTHY_AFTER_MS: u64 = 400;

/// Derives the chain: members that are lost or draining are removed, disks that have caught up are
/// appended.
pub(super) struct ChainPlan<'a> {
    snapshot: &'a ClusterSnapshot<'a>,
}

impl<'a> ChainPlan<'a> {
    pub(super) fn new(snapshot: &'a ClusterSnapshot<'a>) -> ChainPlan<'a> {
        ChainPlan { snapshot }
    }

    /// The chain of the next view; none while no member is known to be alive, since then no process
    /// that is alive is certain to hold what was acknowledged.
    pub(super) fn next(&self) -> Option<Vec<DiskId>> {
        let remaining = self.remaining();
        if !remaining.iter().any(|voter| self.snapshot.is_alive(voter)) {
            return None;
        }
        let spares = self.spares();
        let members = self.without(remaining, spares.len(), |voter| self.is_unhealthy(voter));
        let is_draining = |voter: &Voter| self.snapshot.detector.is_draining(voter);
        let members = self.without(members, spares.len(), is_draining);
        let chain = self.headed_by_complete(&members)?;
        let length =
            wanted_chain_length(self.voters().len(), self.snapshot.settings.tolerated_losses);
        Some(spread_over_zones(chain, &spares, self.voters(), length))
    }

    /// The members, with the first complete one moved to the head. None if there is no complete
    /// one, or if one before it has not reported in this view whether it is complete.
    fn headed_by_complete(&self, members: &[&Voter]) -> Option<Vec<DiskId>> {
        let is_complete = |voter: &&Voter| self.snapshot.is_complete(voter);
        let head = members
            .iter()
            .position(|voter| is_complete(voter) != Some(false))?;
        is_complete(&members[head])?;
        let mut chain: Vec<DiskId> = members.iter().map(|voter| voter.disk).collect();
        let disk = chain.remove(head);
        chain.insert(0, disk);
        Some(chain)
    }

    fn voters(&self) -> &[Voter] {
        &self.snapshot.current.voters
    }

    /// The members that are not lost, in their order.
    fn remaining(&self) -> Vec<&'a Voter> {
        let ClusterSnapshot { detector, now, .. } = *self.snapshot;
        self.snapshot
            .chain_members()
            .filter(|voter| !detector.is_lost(voter, now))
            .collect()
    }

    /// Voters outside the chain that could join it.
    fn spares(&self) -> Vec<Voter> {
        let ClusterSnapshot {
            detector,
            current,
            now,
            ..
        } = *self.snapshot;
        let could_join = |voter: &&Voter| detector.could_join(voter, current.number, now);
        self.snapshot
            .voters_outside_chain()
            .filter(could_join)
            .cloned()
            .collect()
    }

    /// Removes the members that are better removed, provided that the rest together with the spares
    /// still outlasts the tolerated losses, and that one of the rest could be the head.
    fn without(
        &self,
        members: Vec<&'a Voter>,
        spares: usize,
        is_better_removed: impl Fn(&Voter) -> bool,
    ) -> Vec<&'a Voter> {
        let rest: Vec<&Voter> = members
            .iter()
            .copied()
            .filter(|voter| !is_better_removed(voter))
            .collect();
        let is_enough = rest.len() + spares > self.snapshot.settings.tolerated_losses;
        if is_enough && rest.iter().any(|voter| self.could_be_head(voter)) {
            rest
        } else {
            members
        }
    }

    fn is_unhealthy(&self, voter: &Voter) -> bool {
        let ClusterSnapshot { detector, now, .. } = *self.snapshot;
        detector.unhealthy_ms(voter, now) > UNHEALTHY_AFTER_MS
    }

    /// Whether a member is alive and not known to lack anything that was committed before the
    /// current view.
    fn could_be_head(&self, voter: &Voter) -> bool {
        self.snapshot.is_alive(voter) && self.snapshot.is_complete(voter) != Some(false)
    }
}

/// The length of the chain for so many voters. The chain is a majority of them, so every majority
/// that agrees on the next view includes a member; and it outlasts the tolerated losses.
pub(super) fn wanted_chain_length(voters: usize, tolerated_losses: usize) -> usize {
    (voters / 2 + 1).max(tolerated_losses + 1).min(voters)
}

/// Appends candidates to a chain up to a length, each time one whose zone has the fewest members so
/// far.
pub(super) fn spread_over_zones(
    mut chain: Vec<DiskId>,
    candidates: &[Voter],
    voters: &[Voter],
    length: usize,
) -> Vec<DiskId> {
    while chain.len() < length {
        let outside = candidates
            .iter()
            .filter(|voter| !chain.contains(&voter.disk));
        let next =
            outside.min_by_key(|voter| (members_in_zone(&chain, voters, &voter.zone), voter.disk));
        let Some(next) = next else { break };
        chain.push(next.disk);
    }
    chain
}

fn members_in_zone(chain: &[DiskId], voters: &[Voter], zone: &str) -> usize {
    let is_member_there = |voter: &&Voter| voter.zone == zone && chain.contains(&voter.disk);
    voters.iter().filter(is_member_there).count()
}
