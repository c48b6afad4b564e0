//! Messages of the agreement on views.
//!
//! One view is decided by one instance of single-decree Paxos (Lamport, *Paxos Made Simple*, 2001).
//! The crate `view-agreement` owns the state machine that sends and receives these messages.

use crate::identity::DiskId;
use crate::view::View;
use borsh::{BorshDeserialize, BorshSerialize};

/// The number of a proposal in the agreement on views, ordered by term first. Two proposals never
/// share a number, since the incarnations of their proposers differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct ProposalNumber {
    /// Higher than the term of every proposal that the proposer had seen.
    pub term: u64,
    /// Drawn at random when the proposer's process started.
    pub incarnation: u64,
}

/// A message of the agreement on views.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AgreementMessage {
    /// Phase 1a: asks an acceptor to accept nothing under a lower proposal number.
    Prepare {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
    },
    /// Phase 1b: the acceptor accepts nothing under a lower proposal number from now on.
    Prepared {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The disk of the acceptor.
        disk: DiskId,
        /// The proposal number under which `accepted` was accepted.
        accepted_proposal: ProposalNumber,
        /// The view that the disk accepted last; number 0 for none.
        accepted: View,
    },
    /// Phase 2a: asks an acceptor to accept a view.
    Accept {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The proposed view.
        view: View,
    },
    /// Phase 2b: the view was accepted and is on disk.
    Accepted {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The disk of the acceptor.
        disk: DiskId,
    },
    /// The acceptor has prepared a higher proposal number.
    Rejected {
        /// The number of the rejected proposal.
        proposal_number: ProposalNumber,
        /// The proposal number that the acceptor has prepared.
        prepared: ProposalNumber,
    },
    /// A view is agreed.
    Agreed {
        /// The view.
        view: View,
    },
}
