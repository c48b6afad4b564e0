//! The state of the agreement on the disk of a voter.

use crate::electorate::Electorate;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::agreement::ProposalNumber;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::view::View;

/// The durable state of an acceptor. It is written and synced as a whole before any message that
/// depends on it is sent.
///
/// The number of `accepted` is at most one above the number of `agreed`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct VoteState {
    /// The highest proposal number that was prepared; no view is accepted under a lower one.
    pub prepared: ProposalNumber,
    /// The proposal number under which `accepted` was accepted.
    pub accepted_proposal: ProposalNumber,
    /// The view that was accepted last; number 0 for none.
    pub accepted: View,
    /// The newest view that is known to be agreed; number 0 for none.
    pub agreed: View,
    /// The founders, which are the acceptors of view 1, if this disk is one of them. They are
    /// stored because only the first start of a process is configured to found the system; a
    /// restart during the founding has to continue it.
    pub founders: Vec<PeerAddress>,
}

impl VoteState {
    /// The acceptors of the view after the agreed one.
    pub(crate) fn electorate(&self) -> Electorate<'_> {
        match self.agreed.number {
            0 => Electorate::Founders(&self.founders),
            _ => Electorate::Voters(&self.agreed),
        }
    }

    /// The number of the view that is being decided.
    pub(crate) fn next_view_number(&self) -> u64 {
        self.agreed.number + 1
    }
}
