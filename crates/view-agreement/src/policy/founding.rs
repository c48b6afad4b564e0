//! View 1: which founders it lists, and which of them proposes it.

use super::chain_plan::{spread_over_zones, target_chain_length};
use super::cluster_snapshot::ClusterSnapshot;
use super::proposer_order::PROPOSER_TURN_MS;
use crate::quorum::is_majority;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::view::{View, Voter};

/// Milliseconds for which a founder waits for all others before it founds the system with a majority
/// of them.
const FOUNDING_WAIT_MS: u64 = 600;

/// View 1, with the founders that are present; none while too few are present, or if this process is
/// not a founder.
pub(super) fn founding_view(
    snapshot: &ClusterSnapshot,
    founders: &[PeerAddress],
    me: &Voter,
) -> Option<View> {
    if !founders.contains(&me.address) {
        return None;
    }
    let voters = snapshot.detector.founders_present(founders, snapshot.now);
    let all_present = voters.len() == founders.len();
    let has_waited = snapshot.detector.watched_ms(snapshot.now) >= FOUNDING_WAIT_MS;
    let is_ready = is_majority(voters.len(), founders.len()) && (all_present || has_waited);
    if !is_ready {
        return None;
    }
    let length = target_chain_length(voters.len(), snapshot.settings.tolerated_losses);
    let chain = spread_over_zones(Vec::new(), &voters, &voters, length, |_, _| true);
    Some(View {
        number: 1,
        voters,
        chain,
    })
}

/// Milliseconds for which a founder leaves the proposal to others: one turn for each disk before its
/// own in the order of disks; none if the view does not list it.
pub(super) fn founder_delay_ms(first_view: &View, me: &Voter) -> Option<u64> {
    let rank = first_view
        .voters
        .iter()
        .position(|voter| voter.disk == me.disk)?;
    Some(rank as u64 * PROPOSER_TURN_MS)
}
