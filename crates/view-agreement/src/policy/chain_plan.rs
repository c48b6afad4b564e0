//! The chain of the next view.

use super::cluster_snapshot::ClusterSnapshot;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::Voter;

/// Milliseconds for which a disk may be unhealthy before it is removed from the chain.
const UNHEALTHY_AFTER_MS: u64 = 400;

/// Derives the chain: members that are lost or draining are removed, disks that have caught up are
/// appended.
pub(super) struct ChainPlan<'a> {
    snapshot: &'a ClusterSnapshot<'a>,
    /// This process.
    me: &'a Voter,
}

impl<'a> ChainPlan<'a> {
    pub(super) fn new(snapshot: &'a ClusterSnapshot<'a>, me: &'a Voter) -> ChainPlan<'a> {
        ChainPlan { snapshot, me }
    }

    /// The chain of the next view; none while no member is known to be reachable, since then no
    /// reachable process is certain to hold everything that was acknowledged.
    pub(super) fn next(&self) -> Option<Vec<DiskId>> {
        let remaining = self.remaining();
        if !remaining
            .iter()
            .any(|voter| self.snapshot.is_reachable(voter))
        {
            return None;
        }
        let (spares, unhealthy_spares) = self.spares();
        let members = self.without(remaining, spares.len(), |voter| self.is_unhealthy(voter));
        let is_draining = |voter: &Voter| self.snapshot.detector.is_draining(voter);
        let members = self.without(members, spares.len(), is_draining);
        let chain = self.headed_by_complete(&self.linked(&members))?;
        let tolerated_losses = self.snapshot.settings.tolerated_losses;
        let length = target_chain_length(self.voters().len(), tolerated_losses);
        let chain = self.extended(chain, &spares, length);
        // A shorter chain acknowledges nothing, so an unhealthy disk is better than none.
        let minimum_length = tolerated_losses + 1;
        Some(self.extended(chain, &unhealthy_spares, minimum_length))
    }

    fn extended(&self, chain: Vec<DiskId>, spares: &[Voter], length: usize) -> Vec<DiskId> {
        let is_linked = |one: &Voter, other: &Voter| self.are_linked(one, other);
        spread_over_zones(chain, spares, self.voters(), length, is_linked)
    }

    /// The members, with the first complete one moved to the head. None if no member is complete, or
    /// if a member before it has not reported in this view whether it is complete.
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

    fn are_linked(&self, one: &Voter, other: &Voter) -> bool {
        self.snapshot.are_linked(self.me, one, other)
    }

    /// The members that are not lost, in their order.
    fn remaining(&self) -> Vec<&'a Voter> {
        let members: Vec<&Voter> = self.snapshot.chain_members().collect();
        self.linked(&members)
    }

    /// The members without those that their neighbour does not reach. Messages of the chain pass only
    /// between neighbours, so a member that this process does not reach itself may stay.
    ///
    /// Links are checked outwards from this process, or from the first member that it reaches: of two
    /// members without a link, the one farther from the start is removed.
    fn linked(&self, members: &[&'a Voter]) -> Vec<&'a Voter> {
        let own = members.iter().position(|voter| voter.disk == self.me.disk);
        let first = || {
            members
                .iter()
                .position(|voter| !self.snapshot.is_lost(voter))
        };
        let Some(start) = own.or_else(first) else {
            return Vec::new();
        };
        let mut kept = vec![members[start]];
        for member in members[..start].iter().rev() {
            if self.are_linked(kept[0], member) {
                kept.insert(0, member);
            }
        }
        for member in &members[start + 1..] {
            let is_linked = kept
                .last()
                .is_some_and(|last| self.are_linked(last, member));
            if is_linked {
                kept.push(member);
            }
        }
        kept
    }

    /// Voters outside the chain that could join it: those with a usable disk, and the others.
    fn spares(&self) -> (Vec<Voter>, Vec<Voter>) {
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
            .partition(|voter| detector.has_usable_disk(voter, now))
    }

    /// Removes the members for which the predicate holds, provided that the rest together with the
    /// spares still survives the tolerated losses, and that one of the rest could be the head.
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
        let is_unhealthy = detector.unhealthy_ms(voter, now) > UNHEALTHY_AFTER_MS;
        is_unhealthy && !detector.has_usable_disk(voter, now)
    }

    /// Whether a member is reachable and not known to lack anything that was committed before the
    /// current view.
    fn could_be_head(&self, voter: &Voter) -> bool {
        self.snapshot.is_reachable(voter) && self.snapshot.is_complete(voter) != Some(false)
    }
}

/// The length of the chain for this many voters. The chain is a majority of them, so every majority
/// that agrees on the next view includes a member, and it survives the tolerated losses.
pub(super) fn target_chain_length(voters: usize, tolerated_losses: usize) -> usize {
    (voters / 2 + 1).max(tolerated_losses + 1).min(voters)
}

/// Appends candidates to a chain up to a length. Each one appended is linked with the last member:
/// preferably one linked with the most members, then one whose zone has the fewest members so far.
pub(super) fn spread_over_zones(
    mut chain: Vec<DiskId>,
    candidates: &[Voter],
    voters: &[Voter],
    length: usize,
    is_linked: impl Fn(&Voter, &Voter) -> bool,
) -> Vec<DiskId> {
    let voter = |disk: DiskId| voters.iter().find(|voter| voter.disk == disk);
    while chain.len() < length {
        let members: Vec<&Voter> = chain.iter().filter_map(|disk| voter(*disk)).collect();
        let fits = |candidate: &&Voter| {
            let last = members.last();
            !chain.contains(&candidate.disk) && last.is_none_or(|last| is_linked(last, candidate))
        };
        let unlinked = |candidate: &Voter| {
            let unlinked = members.iter().filter(|one| !is_linked(one, candidate));
            unlinked.count()
        };
        let next = candidates.iter().filter(fits).min_by_key(|candidate| {
            let in_zone = members_in_zone(&chain, voters, &candidate.zone);
            (unlinked(candidate), in_zone, candidate.disk)
        });
        let Some(next) = next else { break };
        chain.push(next.disk);
    }
    chain
}

fn members_in_zone(chain: &[DiskId], voters: &[Voter], zone: &str) -> usize {
    let is_member_there = |voter: &&Voter| voter.zone == zone && chain.contains(&voter.disk);
    voters.iter().filter(is_member_there).count()
}
