//! The order in which processes propose a view after the first.

use super::cluster_snapshot::ClusterSnapshot;
use crate::quorum::is_majority;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::Voter;

/// Milliseconds that each process waits longer than the one before it in the order before it proposes
/// the same change.
pub(super) const PROPOSER_TURN_MS: u64 = 300;
/// Additional milliseconds that a process outside the chain waits while a member could propose.
const SPARE_DELAY_MS: u64 = 3000;

/// Milliseconds for which a process leaves a change to others: one turn for each proposer before it,
/// and [`SPARE_DELAY_MS`] more outside the chain while a member could propose; none if it may not
/// propose.
///
/// Without the additional delay, two processes that cannot reach each other would alternately remove
/// each other from the chain.
pub(super) fn proposer_delay_ms(snapshot: &ClusterSnapshot, me: &Voter) -> Option<u64> {
    let proposers = proposers(snapshot);
    let rank = proposers.iter().position(|disk| *disk == me.disk)?;
    let is_member = |disk: &DiskId| snapshot.current.position(*disk).is_some();
    let left_to_members = !is_member(&me.disk) && proposers.iter().any(is_member);
    Some(rank as u64 * PROPOSER_TURN_MS + if left_to_members { SPARE_DELAY_MS } else { 0 })
}

/// The processes that may propose, in order: voters that are reachable, are not known to lack links
/// to a majority, have a usable disk and are not draining; members of the chain come first.
fn proposers(snapshot: &ClusterSnapshot) -> Vec<DiskId> {
    let ClusterSnapshot {
        detector,
        current,
        now,
        ..
    } = *snapshot;
    let may_propose = |voter: &&Voter| {
        let stays = snapshot.is_reachable(voter) && !detector.is_draining(voter);
        stays && detector.has_usable_disk(voter, now) && may_reach_majority(snapshot, voter)
    };
    let voters = current.voters.iter().filter(may_propose);
    let mut disks: Vec<DiskId> = voters.map(|voter| voter.disk).collect();
    disks.sort_by_key(|disk| (current.position(*disk).unwrap_or(usize::MAX), *disk));
    disks
}

/// Whether a reachable voter may have links to a majority of the voters, by its own report.
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
