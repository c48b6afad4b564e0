//! The chain of the next view.

use super::{wanted_chain_length, ClusterSnapshot};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::Voter;

/// How long, in milliseconds, a disk may be unhealthy before it leaves the chain.
const UNHEALTHY_AFTER_MS: u64 = 400;

/// Works out the chain: members that are lost or leaving go, disks that have caught up are appended.
pub(super) struct ChainPlan<'a> {
    snapshot: &'a ClusterSnapshot<'a>,
}

impl<'a> ChainPlan<'a> {
    pub(super) fn new(snapshot: &'a ClusterSnapshot<'a>) -> ChainPlan<'a> {
        ChainPlan { snapshot }
    }

    /// The chain of the next view; none while no member is known to be alive, since then nobody who is there is
    /// certain to hold what was acknowledged.
    pub(super) fn next(&self) -> Option<Vec<DiskId>> {
        let remaining = self.remaining();
        if !remaining.iter().any(|voter| self.snapshot.is_alive(voter)) {
            return None;
        }
        let spares = self.spares();
        let kept = self.without(remaining, spares.len(), |voter| self.is_unhealthy(voter));
        let kept = self.without(kept, spares.len(), |voter| {
            self.snapshot.peers.is_draining(voter)
        });
        let chain = self.headed_by_complete(kept)?;
        let length =
            wanted_chain_length(self.voters().len(), self.snapshot.settings.tolerated_losses);
        Some(spread_over_zones(chain, &spares, self.voters(), length))
    }

    /// The members with the first at the head that has everything that was committed before the current view; none
    /// where there is no such member, or where one before it has not told yet in this view whether it is one.
    fn headed_by_complete(&self, members: Vec<&Voter>) -> Option<Vec<DiskId>> {
        let ClusterSnapshot { peers, current, .. } = self.snapshot;
        let told = |voter: &&Voter| peers.is_complete(voter, current.number);
        let head = members
            .iter()
            .position(|voter| told(voter) != Some(false))?;
        told(&members[head])?;
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
        let ClusterSnapshot {
            peers,
            current,
            now,
            ..
        } = self.snapshot;
        let members = current.chain.iter().filter_map(|disk| current.voter(*disk));
        members
            .filter(|voter| !peers.is_lost(voter, *now))
            .collect()
    }

    /// Voters outside the chain that could join it.
    fn spares(&self) -> Vec<Voter> {
        let ClusterSnapshot {
            peers,
            current,
            now,
            ..
        } = self.snapshot;
        let outside = self
            .voters()
            .iter()
            .filter(|voter| current.position(voter.disk).is_none());
        outside
            .filter(|voter| peers.could_join(voter, current.number, *now))
            .cloned()
            .collect()
    }

    /// Drops members that had better go, if what is left, with the spares, still outlasts the tolerated losses and one
    /// of them is alive and has everything.
    fn without(
        &self,
        members: Vec<&'a Voter>,
        spares: usize,
        had_better_go: impl Fn(&Voter) -> bool,
    ) -> Vec<&'a Voter> {
        let kept: Vec<&Voter> = members
            .iter()
            .copied()
            .filter(|voter| !had_better_go(voter))
            .collect();
        let enough = kept.len() + spares > self.snapshot.settings.tolerated_losses;
        if enough && kept.iter().any(|voter| self.could_lead(voter)) {
            kept
        } else {
            members
        }
    }

    fn is_unhealthy(&self, voter: &Voter) -> bool {
        let ClusterSnapshot { peers, now, .. } = *self.snapshot;
        peers.unhealthy_ms(voter, now) > UNHEALTHY_AFTER_MS
    }

    /// Whether a member is alive and not known to lack anything that was committed before the current view.
    fn could_lead(&self, voter: &Voter) -> bool {
        let ClusterSnapshot { peers, current, .. } = self.snapshot;
        self.snapshot.is_alive(voter) && peers.is_complete(voter, current.number) != Some(false)
    }
}

/// Appends candidates to a chain up to a length, each time one whose zone has the fewest members so far.
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
    voters
        .iter()
        .filter(|voter| voter.zone == zone && chain.contains(&voter.disk))
        .count()
}
