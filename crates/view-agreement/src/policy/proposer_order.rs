//! Whose turn it is to propose a view after the first.

use super::cluster_snapshot::ClusterSnapshot;
use crate::quorum::is_majority;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::Voter;

/// How much longer, in milliseconds, each further process waits before it proposes what the one
/// before it should have proposed.
pub(super) const TURN_MS: u64 = 300;
/// How much longer still, in milliseconds, a process outside the chain waits while a member could
/// propose.
const SPARE_DELAY_MS: u64 = 3000;

/// How long, in milliseconds, a process leaves a change to others: one turn for each proposer before
/// it, and longer outside the chain while a member could propose; none if it may not propose.
///
/// Without the longer delay two processes that cannot reach each other would take turns in removing
/// the other from the chain.
pub(super) fn proposer_delay_ms(snapshot: &ClusterSnapshot, me: &Voter) -> Option<u64> {
    let proposers = proposers(snapshot);
    let rank = proposers.iter().position(|disk| *disk == me.disk)?;
    let is_member = |disk: &DiskId| snapshot.current.position(*disk).is_some();
    let left_to_members = !is_member(&me.disk) && proposers.iter().any(is_member);
    Some(rank as u64 * TURN_MS + if left_to_members { SPARE_DELAY_MS } else { 0 })
}

/// Who may propose, in the order of their turns: voters that are reachable, reach a majority
/// themselves as far as is known, have a healthy disk and are not draining; members of the chain
/// first.
fn proposers(snapshot: &ClusterSnapshot) -> Vec<DiskId> {
    let ClusterSnapshot {
        detector, current, ..
    } = *snapshot;
    let may_propose = |voter: &&Voter| {
        let stays = snapshot.is_reachable(voter) && !detector.is_draining(voter);
        stays && detector.has_healthy_disk(voter) && may_reach_majority(snapshot, voter)
    };
    let voters = current.voters.iter().filter(may_propose);
    let mut disks: Vec<DiskId> = voters.map(|voter| voter.disk).collect();
    disks.sort_by_key(|disk| (current.position(*disk).unwrap_or(usize::MAX), *disk));
    disks
}

/// Whether a reachable voter does not report that it is without links to a majority of the voters.
fn may_reach_majority(snapshot: &ClusterSnapshot, voter: &Voter) -> bool {
    let ClusterSnapshot {
        detector,
        current,
        now,
        ..
    } = *snapshot;
    let may_be_linked =
        |other: &&Voter| other.disk == voter.disk || !detector.reports_no_link(voter, other, now);
    let linked = current.voters.iter().filter(may_be_linked).count();
    is_majority(linked, current.voters.len())
}
