//! What a voter's disk keeps of the agreement.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::ProposalNumber;

/// The durable state of a voter. It is written and synced whole, before anything that depends on it is sent.
///
/// The accepted view's number is never more than one above the agreed view's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct VoteState {
    /// Nothing is accepted or promised under a lower ballot.
    pub prepared: ProposalNumber,
    /// The ballot under which `accepted` was accepted.
    pub accepted_proposal: ProposalNumber,
    /// The view accepted last; number 0 where there is none.
    pub accepted: View,
    /// The newest view known to be agreed; number 0 where there is none.
    pub agreed: View,
    /// The acceptors of view 1, where this disk is one of them. They are kept because only the first start of a
    /// process is told that it founds; a restart in the middle of founding has to go on with it.
    pub founders: Vec<PeerAddress>,
}
