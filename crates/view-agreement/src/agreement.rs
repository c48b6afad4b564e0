//! The state machine of one process: acceptor, proposer and learner of views.

use crate::acceptor::Response;
use crate::effect::Effect;
use crate::pace::Request;
use crate::proposer::{Prepared, Proposer, Requests};
use crate::vote::VoteState;
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use std::collections::BTreeSet;

/// One process's part in the agreement on views.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    me: Voter,
    vote: VoteState,
    /// Whether `vote` has changed since it was last handed to the driver for writing.
    has_unsaved_vote: bool,
    proposer: Proposer,
}

impl Agreement {
    /// Starts from the vote stored on the disk.
    ///
    /// `incarnation` is drawn at random when the process starts and never used again. `founders`
    /// are the internal addresses of all founders, including this process, if it founds the system;
    /// otherwise the list is empty. It is used only while the disk is empty; later the disk itself
    /// holds the founders.
    pub fn new(
        me: Voter,
        incarnation: u64,
        vote: VoteState,
        founders: Vec<PeerAddress>,
    ) -> Agreement {
        let founds = vote == VoteState::default() && founders.contains(&me.address);
        let mut vote = vote;
        if founds {
            let distinct: BTreeSet<PeerAddress> = founders.into_iter().collect();
            vote.founders = distinct.into_iter().collect();
        }
        let proposer = Proposer::new(incarnation, vote.prepared.term);
        Agreement {
            me,
            vote,
            has_unsaved_vote: founds,
            proposer,
        }
    }

    /// The newest view that is known to be agreed; number 0 for none.
    pub fn current(&self) -> &View {
        &self.vote.agreed
    }

    /// The vote that the disk has to hold.
    pub fn vote(&self) -> &VoteState {
        &self.vote
    }

    /// The founders, which are the acceptors of view 1, if this disk is one of them.
    pub fn founders(&self) -> &[PeerAddress] {
        &self.vote.founders
    }

    /// Sets how long this process's disk lately took for a vote, in milliseconds. The other disks are
    /// assumed to be alike, so a proposal waits for votes, and for another process's proposal, for a
    /// multiple of this time.
    pub fn set_vote_ms(&mut self, vote_ms: u64) {
        self.proposer.set_vote_ms(vote_ms);
    }

    /// Receives a message from another process or, looped back, from this one.
    pub fn receive(
        &mut self,
        from: PeerAddress,
        message: AgreementMessage,
        now: Millis,
    ) -> Vec<Effect> {
        match message {
            AgreementMessage::Prepare { proposal_number } => {
                self.on_prepare(from, proposal_number, now)
            }
            AgreementMessage::Prepared {
                proposal_number,
                disk,
                accepted_proposal,
                accepted,
            } => {
                let accepted = (accepted_proposal, accepted);
                self.on_prepared(
                    Prepared {
                        from,
                        disk,
                        proposal_number,
                        accepted,
                    },
                    now,
                )
            }
            AgreementMessage::Accept {
                proposal_number,
                view,
            } => self.on_accept(from, proposal_number, &view, now),
            AgreementMessage::Accepted {
                proposal_number,
                disk,
            } => self.on_accepted(from, proposal_number, disk),
            AgreementMessage::Rejected {
                proposal_number,
                prepared,
            } => {
                self.proposer.on_rejected(proposal_number, prepared, now);
                Vec::new()
            }
            AgreementMessage::Agreed { view } => self.learn(view),
        }
    }

    /// Proposes the next view.
    ///
    /// Nothing happens if the view does not follow the current one or this disk has no vote. If
    /// another view may have been chosen already, that one is completed and announced instead. While
    /// another process's proposal is in progress, that one is left to complete. A repeated call keeps the proposal alive and replaces its view, unless accept requests for it
    /// were sent already.
    pub fn propose(&mut self, next: View, now: Millis) -> Vec<Effect> {
        let follows = next.number == self.vote.next_view_number();
        if !follows || !is_well_formed(&next) || !self.vote.electorate().includes(&self.me) {
            return Vec::new();
        }
        let requests = self.proposer.propose(next, self.vote.electorate(), now);
        self.send(requests)
    }

    /// Advances time; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = self.save_founders();
        let requests = self.proposer.tick(self.vote.electorate(), now);
        effects.extend(self.send(requests));
        effects
    }

    /// Learns that a view is agreed; a view that is not newer than the current one changes nothing.
    pub fn learn(&mut self, view: View) -> Vec<Effect> {
        if view.number <= self.current().number {
            return Vec::new();
        }
        self.vote.agreed = view.clone();
        self.proposer.abandon();
        vec![self.persist(Vec::new()), Effect::Agreed(view)]
    }

    /// Stores on the disk that this process founds the system, before it responds to any message.
    fn save_founders(&mut self) -> Vec<Effect> {
        if !self.has_unsaved_vote {
            return Vec::new();
        }
        vec![self.persist(Vec::new())]
    }

    fn persist(&mut self, then: Requests) -> Effect {
        self.has_unsaved_vote = false;
        Effect::Persist {
            vote: self.vote.clone(),
            then,
        }
    }

    fn on_prepare(
        &mut self,
        from: PeerAddress,
        proposal_number: ProposalNumber,
        now: Millis,
    ) -> Vec<Effect> {
        self.proposer.observe(proposal_number);
        let response = self.vote.prepare(&self.me, proposal_number);
        if is_vote_for_other(&response, from, &self.me) {
            self.proposer
                .voted_for(proposal_number, Request::Prepare, now);
        }
        self.respond(from, response)
    }

    fn on_accept(
        &mut self,
        from: PeerAddress,
        proposal_number: ProposalNumber,
        view: &View,
        now: Millis,
    ) -> Vec<Effect> {
        self.proposer.observe(proposal_number);
        let response = self.vote.accept(&self.me, proposal_number, view);
        if is_vote_for_other(&response, from, &self.me) {
            self.proposer
                .voted_for(proposal_number, Request::Accept, now);
        }
        self.respond(from, response)
    }

    /// Sends the newest agreed view, which the proposer may not know, and then a response.
    fn respond(&mut self, to: PeerAddress, response: Response) -> Vec<Effect> {
        let mut effects = self.send_current(to);
        match response {
            Response::Vote(message) => effects.push(self.persist(vec![(to, message)])),
            Response::Rejected(message) => effects.push(Effect::Send(to, message)),
            Response::NoVote => {}
        }
        effects
    }

    /// Counts a prepare response, unless the responding disk has already accepted a view of a later
    /// instance: such a response has no meaning in this instance.
    fn on_prepared(&mut self, response: Prepared, now: Millis) -> Vec<Effect> {
        let (electorate, view_number) = (self.vote.electorate(), self.vote.next_view_number());
        let is_of_later_instance = response.accepted.1.number > view_number;
        if is_of_later_instance || !electorate.counts_response(response.disk, response.from) {
            return Vec::new();
        }
        let requests = self
            .proposer
            .on_prepared(response, view_number, electorate, now);
        self.send(requests)
    }

    /// Counts an accept response, and announces the view once it is chosen.
    fn on_accepted(
        &mut self,
        from: PeerAddress,
        accepted: ProposalNumber,
        disk: DiskId,
    ) -> Vec<Effect> {
        let electorate = self.vote.electorate();
        let Some(view) = self.proposer.on_accepted(from, disk, accepted, electorate) else {
            return Vec::new();
        };
        let mut receivers = electorate.addresses_with(&view);
        receivers.remove(&self.me.address);
        let mut effects = self.learn(view.clone());
        let announce =
            |address| Effect::Send(address, AgreementMessage::Agreed { view: view.clone() });
        effects.extend(receivers.into_iter().map(announce));
        effects
    }

    /// Sends requests, each preceded by the current view, without which an outdated process could not
    /// respond.
    fn send(&self, requests: Requests) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (to, message) in requests {
            effects.extend(self.send_current(to));
            effects.push(Effect::Send(to, message));
        }
        effects
    }

    /// Sends another process the current view, if there is one.
    fn send_current(&self, to: PeerAddress) -> Vec<Effect> {
        if self.current().number == 0 || to == self.me.address {
            return Vec::new();
        }
        let view = self.current().clone();
        vec![Effect::Send(to, AgreementMessage::Agreed { view })]
    }
}

/// Whether a response is a vote for the request of another process.
fn is_vote_for_other(response: &Response, from: PeerAddress, me: &Voter) -> bool {
    from != me.address && matches!(response, Response::Vote(_))
}

/// Whether a view can be proposed: it lists no disk twice, and its chain is not empty and consists of
/// voters.
fn is_well_formed(view: &View) -> bool {
    let disks: BTreeSet<DiskId> = view.voters.iter().map(|voter| voter.disk).collect();
    let chain: BTreeSet<DiskId> = view.chain.iter().copied().collect();
    let distinct = disks.len() == view.voters.len() && chain.len() == view.chain.len();
    distinct && !chain.is_empty() && chain.is_subset(&disks)
}
