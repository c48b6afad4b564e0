//! The acceptor: which proposals a disk may respond to, and how.

use crate::vote::VoteState;
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::view::{View, Voter};

/// The response to a proposer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// The vote was changed or confirmed; the message may be sent only once the vote is on the disk.
    Vote(AgreementMessage),
    /// A higher proposal number was prepared; the message may be sent at once.
    Rejected(AgreementMessage),
    /// No response: this disk has no vote on the proposal, or the proposer's view is out of date.
    NoVote,
}

impl VoteState {
    /// Responds to [`AgreementMessage::Prepare`], phase 1 of Paxos.
    pub(crate) fn prepare(&mut self, me: &Voter, proposal_number: ProposalNumber) -> Response {
        if !self.electorate().includes(me) {
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

    /// The view that a prepare response reports: the accepted view, or the agreed one if that is
    /// newer.
    ///
    /// An agreed view can be reported as an accepted one, since no other can be chosen under its
    /// number. Reporting it keeps an outdated proposer from counting this disk as one that accepted
    /// nothing. That matters before view 1, where acceptors are counted by address and a founder's
    /// disk may have been replaced by a new one.
    fn newest_view(&self) -> (ProposalNumber, View) {
        if self.accepted.number < self.agreed.number {
            return (self.prepared, self.agreed.clone());
        }
        (self.accepted_proposal, self.accepted.clone())
    }

    /// Responds to [`AgreementMessage::Accept`], phase 2 of Paxos.
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

    /// Whether this disk may accept this view: the view follows the agreed one, and the disk is an
    /// acceptor or a voter of the new view. A disk that is only the latter counts only towards the
    /// majority of the new view's voters.
    fn may_accept(&self, me: &Voter, view: &View) -> bool {
        let follows = view.number == self.next_view_number();
        let becomes_voter = self.agreed.number > 0 && view.voter(me.disk).is_some();
        follows && (self.electorate().includes(me) || becomes_voter)
    }

    fn rejected(&self, proposal_number: ProposalNumber) -> Response {
        let prepared = self.prepared;
        Response::Rejected(AgreementMessage::Rejected {
            proposal_number,
            prepared,
        })
    }
}
