//! The acceptor's side: which ballots and views a disk may answer, and how.

use crate::vote::VoteState;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_api::wire::{AgreementMessage, ProposalNumber};

/// The answer to a proposer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// The vote was changed or confirmed; the message may leave once the vote is on disk.
    Vote(AgreementMessage),
    /// A higher ballot was promised.
    Rejected(AgreementMessage),
    /// This disk has no vote here, or the proposer is behind; it may be told of the newest agreed view.
    NoVote,
}

impl VoteState {
    /// Responds to [`AgreementMessage::Prepare`].
    pub(crate) fn prepare(&mut self, me: &Voter, proposal_number: ProposalNumber) -> Response {
        if !self.is_acceptor(me) {
            return Response::NoVote;
        }
        if proposal_number < self.prepared {
            return self.rejected(proposal_number);
        }
        self.prepared = proposal_number;
        let (accepted_proposal, accepted) = self.newest_view();
        Response::Vote(AgreementMessage::Prepared {
            proposal_number,
            disk: me.disk,
            accepted_proposal,
            accepted,
        })
    }

    /// What a promise reports: the accepted view, or the agreed one where that is newer. An agreed view may stand for
    /// an accepted one, since no other can be chosen under its number. Reporting it keeps a proposer that is behind
    /// from counting this disk as one that accepted nothing, which matters before view 1, where acceptors are counted
    /// by address and a disk may have taken the place of a founder's.
    fn newest_view(&self) -> (ProposalNumber, View) {
        if self.accepted.number < self.agreed.number {
            return (self.prepared, self.agreed.clone());
        }
        (self.accepted_proposal, self.accepted.clone())
    }

    /// Responds to [`AgreementMessage::Accept`].
    pub(crate) fn accept(
        &mut self,
        me: &Voter,
        proposal_number: ProposalNumber,
        view: &View,
    ) -> Response {
        if !self.may_accept(me, view) {
            return Response::NoVote;
        }
        if proposal_number < self.prepared {
            return self.rejected(proposal_number);
        }
        self.prepared = proposal_number;
        self.accepted_proposal = proposal_number;
        self.accepted = view.clone();
        Response::Vote(AgreementMessage::Accepted {
            proposal_number,
            disk: me.disk,
        })
    }

    /// Whether this disk is one of the acceptors of the view after the agreed one.
    pub(crate) fn is_acceptor(&self, me: &Voter) -> bool {
        if self.agreed.number == 0 {
            return self.founders.contains(&me.address);
        }
        self.agreed.voter(me.disk).is_some()
    }

    /// Whether this disk may accept this view: it follows the agreed one, and the disk is an acceptor or enters with
    /// it. One that enters counts for the majority of the new voters alone.
    fn may_accept(&self, me: &Voter, view: &View) -> bool {
        let follows = view.number == self.agreed.number + 1;
        let enters = self.agreed.number > 0 && view.voter(me.disk).is_some();
        follows && (self.is_acceptor(me) || enters)
    }

    fn rejected(&self, proposal_number: ProposalNumber) -> Response {
        Response::Rejected(AgreementMessage::Rejected {
            proposal_number,
            prepared: self.prepared,
        })
    }
}
