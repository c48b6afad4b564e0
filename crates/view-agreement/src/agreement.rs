//! The register that holds the view.

use crate::acceptor::Response;
use crate::backoff::Backoff;
use crate::effect::Effect;
use crate::proposal::{Phase, Promises, Proposal, Timers};
use crate::quorum::{is_well_formed, Responders};
use crate::vote::VoteState;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_api::wire::{AgreementMessage, ProposalNumber};
use std::collections::BTreeSet;

/// Ballots that a proposal runs before it is dropped, unless it is proposed again.
const ATTEMPTS_MOST: u32 = 5;

/// One process's part in the agreement: acceptor, proposer and learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    me: Voter,
    incarnation: u64,
    vote: VoteState,
    /// Whether `vote` differs from what the disk was asked to keep.
    unsaved: bool,
    /// The highest round heard of.
    term: u64,
    proposal: Option<Proposal>,
    backoff: Backoff,
}

impl Agreement {
    /// Begins with what the disk holds.
    ///
    /// `life` is drawn at random when the process begins and never used again. `founders` are the internal addresses
    /// of all founders, its own among them, where this process founds the system; otherwise they are empty. They are
    /// only taken on an empty disk; later the disk itself knows whether it founds.
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
        let term = vote.prepared.term;
        Agreement {
            me,
            incarnation,
            vote,
            unsaved: founds,
            term,
            proposal: None,
            backoff: Backoff::new(incarnation),
        }
    }

    /// The newest view known to be agreed.
    pub fn current(&self) -> &View {
        &self.vote.agreed
    }

    /// What the disk has to hold.
    pub fn vote(&self) -> &VoteState {
        &self.vote
    }

    /// The acceptors of view 1, where this disk is one of them.
    pub fn founders(&self) -> &[PeerAddress] {
        &self.vote.founders
    }

    /// Takes a message from another process or, looped back, from this one.
    pub fn receive(
        &mut self,
        from: PeerAddress,
        message: AgreementMessage,
        now: Millis,
    ) -> Vec<Effect> {
        match message {
            AgreementMessage::Prepare { proposal_number } => self.on_prepare(from, proposal_number),
            AgreementMessage::Accept {
                proposal_number,
                view,
            } => self.on_accept(from, proposal_number, &view),
            AgreementMessage::Prepared {
                proposal_number,
                disk,
                accepted_proposal,
                accepted,
            } => self.on_promise(
                from,
                proposal_number,
                disk,
                (accepted_proposal, accepted),
                now,
            ),
            AgreementMessage::Accepted {
                proposal_number,
                disk,
            } => self.on_accepted(from, proposal_number, disk),
            AgreementMessage::Rejected {
                proposal_number,
                prepared,
            } => self.on_rejected(proposal_number, prepared, now),
            AgreementMessage::Agreed { view } => self.learn(view),
        }
    }

    /// Asks for the next view. It is dropped where it does not follow the current view or this disk has no vote, and
    /// where the register turns out to hold another view already; that one is then finished and announced instead.
    /// Asking again keeps the proposal alive and replaces the view in it, unless that is out for acceptance already.
    pub fn propose(&mut self, next: View, now: Millis) -> Vec<Effect> {
        let follows = next.number == self.current().number + 1;
        if !follows || !is_well_formed(&next) || !self.vote.is_acceptor(&self.me) {
            return Vec::new();
        }
        if let Some(proposal) = &mut self.proposal {
            proposal.wanted = next;
            proposal.attempts = proposal.attempts.min(ATTEMPTS_MOST - 1);
            return Vec::new();
        }
        self.proposal = Some(Proposal {
            wanted: next,
            attempts: 0,
            phase: Phase::Waiting { until: now },
        });
        self.begin_ballot(now)
    }

    /// Lets time pass; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = self.save_first();
        effects.extend(self.drive_proposal(now));
        effects
    }

    /// Takes a view that another process says is agreed.
    pub fn learn(&mut self, view: View) -> Vec<Effect> {
        if view.number <= self.current().number {
            return Vec::new();
        }
        self.vote.agreed = view.clone();
        self.proposal = None;
        vec![self.persist(Vec::new()), Effect::Agreed(view)]
    }

    /// Puts on disk that this process founds, before anybody asks.
    fn save_first(&mut self) -> Vec<Effect> {
        if !self.unsaved {
            return Vec::new();
        }
        vec![self.persist(Vec::new())]
    }

    fn persist(&mut self, then: Vec<(PeerAddress, AgreementMessage)>) -> Effect {
        self.unsaved = false;
        Effect::Persist {
            vote: self.vote.clone(),
            then,
        }
    }

    fn on_prepare(&mut self, from: PeerAddress, proposal_number: ProposalNumber) -> Vec<Effect> {
        self.term = self.term.max(proposal_number.term);
        let response = self.vote.prepare(&self.me, proposal_number);
        self.answer(from, response)
    }

    fn on_accept(
        &mut self,
        from: PeerAddress,
        proposal_number: ProposalNumber,
        view: &View,
    ) -> Vec<Effect> {
        self.term = self.term.max(proposal_number.term);
        let response = self.vote.accept(&self.me, proposal_number, view);
        self.answer(from, response)
    }

    /// Sends a response, after the newest agreed view: the proposer may not know it.
    fn answer(&mut self, to: PeerAddress, response: Response) -> Vec<Effect> {
        let mut effects = self.tell_current(to);
        match response {
            Response::Vote(message) => effects.push(self.persist(vec![(to, message)])),
            Response::Rejected(message) => effects.push(Effect::Send(to, message)),
            Response::NoVote => {}
        }
        effects
    }

    fn tell_current(&self, to: PeerAddress) -> Vec<Effect> {
        if self.current().number == 0 || to == self.me.address {
            return Vec::new();
        }
        vec![Effect::Send(
            to,
            AgreementMessage::Agreed {
                view: self.current().clone(),
            },
        )]
    }

    /// Counts a promise, unless the disk is already past this instance: that one says nothing about it any more.
    fn on_promise(
        &mut self,
        from: PeerAddress,
        prepared: ProposalNumber,
        disk: DiskId,
        (accepted_proposal, accepted): (ProposalNumber, View),
        now: Millis,
    ) -> Vec<Effect> {
        let instance = self.current().number + 1;
        if accepted.number > instance || !self.is_asked(from, disk) {
            return Vec::new();
        }
        let Some(Proposal {
            phase:
                Phase::Preparing {
                    proposal_number,
                    promises,
                    ..
                },
            ..
        }) = &mut self.proposal
        else {
            return Vec::new();
        };
        if *proposal_number != prepared {
            return Vec::new();
        }
        if accepted.number == instance {
            promises.add_with_view(disk, from, accepted_proposal, accepted);
        } else {
            promises.add(disk, from);
        }
        self.begin_accepting(now)
    }

    /// Whether the disk is an acceptor of the next view, and answers from its own address: a process on a copy of an
    /// acceptor's data has no vote.
    fn is_asked(&self, from: PeerAddress, disk: DiskId) -> bool {
        if self.current().number == 0 {
            return self.vote.founders.contains(&from);
        }
        self.current().address(disk) == Some(from)
    }

    /// Whether these are a majority of the acceptors of the next view.
    fn are_quorum(&self, responders: &Responders) -> bool {
        if self.current().number == 0 {
            return responders.are_majority_of_addresses(&self.vote.founders);
        }
        responders.are_majority_of(self.current())
    }

    /// Goes on to the second phase once enough have promised.
    fn begin_accepting(&mut self, now: Millis) -> Vec<Effect> {
        let Some(Proposal {
            wanted,
            phase:
                Phase::Preparing {
                    proposal_number,
                    promises,
                    ..
                },
            ..
        }) = &self.proposal
        else {
            return Vec::new();
        };
        if !self.are_quorum(&promises.given_by) {
            return Vec::new();
        }
        let view = promises.bound_view().unwrap_or(wanted).clone();
        let (proposal_number, timers) = (*proposal_number, Timers::start(now));
        self.set_phase(Phase::Accepting {
            proposal_number,
            timers,
            view,
            accepted_by: Responders::default(),
        });
        self.send_phase()
    }

    fn on_accepted(
        &mut self,
        from: PeerAddress,
        accepted: ProposalNumber,
        disk: DiskId,
    ) -> Vec<Effect> {
        let asked = self.is_asked(from, disk);
        let Some(Proposal {
            phase:
                Phase::Accepting {
                    proposal_number,
                    accepted_by,
                    view,
                    ..
                },
            ..
        }) = &mut self.proposal
        else {
            return Vec::new();
        };
        let enters = view.address(disk) == Some(from);
        if *proposal_number != accepted || !(asked || enters) {
            return Vec::new();
        }
        accepted_by.add(disk, from);
        self.finish()
    }

    /// Announces the view once majorities of its acceptors and of its own voters have accepted it.
    fn finish(&mut self) -> Vec<Effect> {
        let Some(Proposal {
            phase: Phase::Accepting {
                view, accepted_by, ..
            },
            ..
        }) = &self.proposal
        else {
            return Vec::new();
        };
        if !self.are_quorum(accepted_by) || !accepted_by.are_majority_of(view) {
            return Vec::new();
        }
        let view = view.clone();
        let recipients = self.recipients(&view);
        let mut effects = self.learn(view.clone());
        let announce =
            |address| Effect::Send(address, AgreementMessage::Agreed { view: view.clone() });
        effects.extend(
            recipients
                .into_iter()
                .filter(|address| *address != self.me.address)
                .map(announce),
        );
        effects
    }

    /// Another proposer is ahead: wait, and then try above its ballot.
    fn on_rejected(
        &mut self,
        rejected: ProposalNumber,
        prepared: ProposalNumber,
        now: Millis,
    ) -> Vec<Effect> {
        self.term = self.term.max(prepared.term);
        let running = self
            .proposal
            .as_ref()
            .and_then(|proposal| proposal.phase.proposal_number());
        if running == Some(rejected) {
            self.back_off(now);
        }
        Vec::new()
    }

    /// Waits for a random while, or drops the proposal after many attempts.
    fn back_off(&mut self, now: Millis) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.attempts >= ATTEMPTS_MOST {
            self.proposal = None;
            return;
        }
        let until = now.plus(self.backoff.delay_ms(proposal.attempts));
        proposal.phase = Phase::Waiting { until };
    }

    fn drive_proposal(&mut self, now: Millis) -> Vec<Effect> {
        let Some(proposal) = &mut self.proposal else {
            return Vec::new();
        };
        match &mut proposal.phase {
            Phase::Waiting { until } if now < *until => Vec::new(),
            Phase::Waiting { .. } => self.begin_ballot(now),
            Phase::Preparing { timers, .. } | Phase::Accepting { timers, .. } => {
                if timers.has_timed_out(now) {
                    self.back_off(now);
                    return Vec::new();
                }
                let due = timers.resend_is_due(now);
                if due {
                    self.send_phase()
                } else {
                    Vec::new()
                }
            }
        }
    }

    /// Begins a ballot above all that were heard of.
    fn begin_ballot(&mut self, now: Millis) -> Vec<Effect> {
        let Some(proposal) = &mut self.proposal else {
            return Vec::new();
        };
        self.term = self.term.saturating_add(1);
        let proposal_number = ProposalNumber {
            term: self.term,
            incarnation: self.incarnation,
        };
        proposal.attempts += 1;
        proposal.phase = Phase::Preparing {
            proposal_number,
            timers: Timers::start(now),
            promises: Promises::default(),
        };
        self.send_phase()
    }

    fn set_phase(&mut self, phase: Phase) {
        if let Some(proposal) = &mut self.proposal {
            proposal.phase = phase;
        }
    }

    /// Sends the message of the running phase to everybody who has not answered it, after the current view, without
    /// which a process that lags could not answer.
    fn send_phase(&self) -> Vec<Effect> {
        let Some(Proposal { phase, .. }) = &self.proposal else {
            return Vec::new();
        };
        let (message, recipients) = match phase {
            Phase::Waiting { .. } => return Vec::new(),
            Phase::Preparing {
                proposal_number, ..
            } => (
                AgreementMessage::Prepare {
                    proposal_number: *proposal_number,
                },
                self.acceptor_addresses(),
            ),
            Phase::Accepting {
                proposal_number,
                view,
                ..
            } => (
                AgreementMessage::Accept {
                    proposal_number: *proposal_number,
                    view: view.clone(),
                },
                self.recipients(view),
            ),
        };
        let silent = recipients
            .into_iter()
            .filter(|address| !phase.has_answer_of(*address));
        silent
            .flat_map(|address| self.tell_and_ask(address, message.clone()))
            .collect()
    }

    fn tell_and_ask(&self, to: PeerAddress, message: AgreementMessage) -> Vec<Effect> {
        let mut effects = self.tell_current(to);
        effects.push(Effect::Send(to, message));
        effects
    }

    /// Where the acceptors of the next view are.
    fn acceptor_addresses(&self) -> BTreeSet<PeerAddress> {
        if self.current().number == 0 {
            return self.vote.founders.iter().copied().collect();
        }
        self.current()
            .voters
            .iter()
            .map(|voter| voter.address)
            .collect()
    }

    /// Where the acceptors of a view and its own voters are.
    fn recipients(&self, view: &View) -> BTreeSet<PeerAddress> {
        let mut addresses = self.acceptor_addresses();
        addresses.extend(view.voters.iter().map(|voter| voter.address));
        addresses
    }
}
