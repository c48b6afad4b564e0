//! When a process that shuts down is no longer needed.

use super::cluster_snapshot::ClusterSnapshot;
use super::voter_plan::VoterPlan;
use lupinrack_cluster_api::view::Voter;

/// Whether a draining process may exit. The only voter may; any other has to be outside the chain,
/// the state has to be replicated without it, and the next view must not be about to pass its vote
/// to another disk.
pub(super) fn may_shut_down(snapshot: &ClusterSnapshot, me: &Voter) -> bool {
    let is_only_voter = snapshot
        .current
        .voters
        .iter()
        .all(|voter| voter.disk == me.disk);
    let is_outside_chain = snapshot.current.position(me.disk).is_none();
    let is_needed = !is_replicated_without(snapshot, me) || is_about_to_be_replaced(snapshot, me);
    is_only_voter || (is_outside_chain && !is_needed)
}

/// Whether so many other members of the chain are reachable and complete that one of them is left
/// after the tolerated losses.
fn is_replicated_without(snapshot: &ClusterSnapshot, me: &Voter) -> bool {
    let is_replica = |voter: &&Voter| {
        let is_complete = snapshot.is_complete(voter) == Some(true);
        voter.disk != me.disk && is_complete && snapshot.is_reachable(voter)
    };
    let replicas = snapshot.chain_members().filter(is_replica);
    replicas.count() > snapshot.settings.tolerated_losses
}

/// Whether the next view would no longer include this voter.
fn is_about_to_be_replaced(snapshot: &ClusterSnapshot, me: &Voter) -> bool {
    let is_voter = snapshot.current.voter(me.disk).is_some();
    is_voter
        && VoterPlan::new(snapshot)
            .next()
            .is_some_and(|voters| !voters.contains(me))
}
