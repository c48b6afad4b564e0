//! The proposer: drives one proposal at a time through the two phases of Paxos.

use crate::backoff::Backoff;
use crate::electorate::Electorate;
use crate::pace::{Pace, Request};
use crate::proposal::{Phase, PrepareResponses, Proposal, Timers};
use crate::quorum::Responders;
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// Attempts after which a proposal is dropped unless its view is proposed again.
const MAX_ATTEMPTS: u32 = 5;

/// Messages to acceptors, each with its receiver.
pub(crate) type Requests = Vec<(PeerAddress, AgreementMessage)>;

/// A response to [`AgreementMessage::Prepare`].
pub(crate) struct Prepared {
    pub(crate) from: PeerAddress,
    pub(crate) disk: DiskId,
    pub(crate) proposal_number: ProposalNumber,
    /// The view that the disk reports, and its proposal number: the one that it accepted last, or
    /// the agreed one if that is newer.
    pub(crate) accepted: (ProposalNumber, View),
}

/// The proposer of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposer {
    /// The incarnation of the process, which makes its proposal numbers unique.
    incarnation: u64,
    /// The highest term seen in any message.
    highest_term: u64,
    proposal: Option<Proposal>,
    backoff: Backoff,
    pace: Pace,
}

impl Proposer {
    pub(crate) fn new(incarnation: u64, highest_term: u64) -> Proposer {
        let backoff = Backoff::new(incarnation);
        Proposer {
            incarnation,
            highest_term,
            proposal: None,
            backoff,
            pace: Pace::default(),
        }
    }

    /// Notes the proposal number of another proposer: the next attempt uses a higher term.
    pub(crate) fn observe(&mut self, proposal_number: ProposalNumber) {
        self.highest_term = self.highest_term.max(proposal_number.term);
    }

    /// Sets how long a vote takes at present, in milliseconds.
    pub(crate) fn set_vote_ms(&mut self, vote_ms: u64) {
        self.pace.set_vote_ms(vote_ms);
    }

    /// Notes that this disk voted for a request of another process.
    pub(crate) fn voted_for(
        &mut self,
        proposal_number: ProposalNumber,
        request: Request,
        now: Millis,
    ) {
        self.pace.voted_for(proposal_number, request, now);
    }

    /// Proposes a view. A proposal in progress is kept alive, and its view is replaced unless accept
    /// requests for it were sent already. None is started while another process's is in progress.
    pub(crate) fn propose(
        &mut self,
        wanted: View,
        electorate: Electorate,
        now: Millis,
    ) -> Requests {
        if let Some(proposal) = &mut self.proposal {
            proposal.wanted = wanted;
            // Leaves at least one more attempt for the repeated proposal.
            proposal.attempts = proposal.attempts.min(MAX_ATTEMPTS - 1);
            return Vec::new();
        }
        if self.pace.awaits_rival(now) {
            return Vec::new();
        }
        let phase = Phase::BackingOff { until: now };
        self.proposal = Some(Proposal {
            wanted,
            attempts: 0,
            phase,
        });
        self.begin_attempt(electorate, now)
    }

    /// Drops the proposal, since its instance is decided.
    pub(crate) fn abandon(&mut self) {
        self.proposal = None;
        self.pace.instance_decided();
    }

    /// Starts the next attempt, or repeats the requests of the current one, when either is due.
    pub(crate) fn tick(&mut self, electorate: Electorate, now: Millis) -> Requests {
        let awaits_rival = self.pace.awaits_rival(now);
        let Some(proposal) = &mut self.proposal else {
            return Vec::new();
        };
        match &mut proposal.phase {
            Phase::BackingOff { until } if now < *until || awaits_rival => Vec::new(),
            Phase::BackingOff { .. } => self.begin_attempt(electorate, now),
            Phase::Preparing { timers, .. } | Phase::Accepting { timers, .. } => {
                if timers.has_timed_out(self.pace.timeout_ms(), now) {
                    self.back_off(now);
                    return Vec::new();
                }
                if timers.take_due_resend(now) {
                    return self.requests(electorate);
                }
                Vec::new()
            }
        }
    }

    /// Counts a response of an acceptor to a prepare request for the view with this number, and
    /// starts phase 2 once a majority has responded.
    pub(crate) fn on_prepared(
        &mut self,
        response: Prepared,
        view_number: u64,
        electorate: Electorate,
        now: Millis,
    ) -> Requests {
        let Some(Proposal {
            phase:
                Phase::Preparing {
                    proposal_number,
                    responses,
                    ..
                },
            ..
        }) = &mut self.proposal
        else {
            return Vec::new();
        };
        if *proposal_number != response.proposal_number {
            return Vec::new();
        }
        let Prepared {
            from,
            disk,
            accepted: (accepted_proposal, accepted),
            ..
        } = response;
        if accepted.number == view_number {
            responses.add_with_view(disk, from, accepted_proposal, accepted);
        } else {
            responses.add(disk, from);
        }
        self.begin_accepting(electorate, now)
    }

    /// Counts a response to an accept request. Returns the view once it is chosen, which means that
    /// majorities of the acceptors and of the view's own voters have accepted it.
    pub(crate) fn on_accepted(
        &mut self,
        from: PeerAddress,
        disk: DiskId,
        accepted: ProposalNumber,
        electorate: Electorate,
    ) -> Option<View> {
        let Phase::Accepting {
            proposal_number,
            accepted_by,
            view,
            ..
        } = &mut self.proposal.as_mut()?.phase
        else {
            return None;
        };
        let becomes_voter = view.address(disk) == Some(from);
        if *proposal_number != accepted
            || !(electorate.counts_response(disk, from) || becomes_voter)
        {
            return None;
        }
        accepted_by.add(disk, from);
        let chosen = electorate.is_quorum(accepted_by) && accepted_by.include_majority_of(view);
        chosen.then(|| view.clone())
    }

    /// Backs off: an acceptor has prepared a higher proposal number than the current attempt's.
    pub(crate) fn on_rejected(
        &mut self,
        rejected: ProposalNumber,
        prepared: ProposalNumber,
        now: Millis,
    ) {
        self.observe(prepared);
        let current = self
            .proposal
            .as_ref()
            .and_then(|proposal| proposal.phase.proposal_number());
        if current == Some(rejected) {
            self.back_off(now);
        }
    }

    /// Waits for a random delay, or drops the proposal after [`MAX_ATTEMPTS`].
    fn back_off(&mut self, now: Millis) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.attempts >= MAX_ATTEMPTS {
            self.proposal = None;
            return;
        }
        let until = now.plus(self.backoff.delay_ms(proposal.attempts));
        proposal.phase = Phase::BackingOff { until };
    }

    /// Starts an attempt under a proposal number above all numbers seen.
    fn begin_attempt(&mut self, electorate: Electorate, now: Millis) -> Requests {
        let Some(proposal) = &mut self.proposal else {
            return Vec::new();
        };
        self.highest_term = self.highest_term.saturating_add(1);
        proposal.attempts += 1;
        proposal.phase = Phase::Preparing {
            proposal_number: ProposalNumber {
                term: self.highest_term,
                incarnation: self.incarnation,
            },
            timers: Timers::start(now),
            responses: PrepareResponses::default(),
        };
        self.requests(electorate)
    }

    /// Starts phase 2 if a majority of the acceptors has responded to the prepare request.
    fn begin_accepting(&mut self, electorate: Electorate, now: Millis) -> Requests {
        let Some(proposal) = &mut self.proposal else {
            return Vec::new();
        };
        let Phase::Preparing {
            proposal_number,
            responses,
            ..
        } = &proposal.phase
        else {
            return Vec::new();
        };
        if !electorate.is_quorum(&responses.responders) {
            return Vec::new();
        }
        proposal.phase = Phase::Accepting {
            proposal_number: *proposal_number,
            timers: Timers::start(now),
            view: responses.view_to_keep().unwrap_or(&proposal.wanted).clone(),
            accepted_by: Responders::default(),
        };
        self.requests(electorate)
    }

    /// The requests of the current phase, to all acceptors that have not responded.
    fn requests(&self, electorate: Electorate) -> Requests {
        let Some(Proposal { phase, .. }) = &self.proposal else {
            return Vec::new();
        };
        let (message, receivers) = match phase {
            Phase::BackingOff { .. } => return Vec::new(),
            Phase::Preparing {
                proposal_number, ..
            } => {
                let proposal_number = *proposal_number;
                (
                    AgreementMessage::Prepare { proposal_number },
                    electorate.addresses(),
                )
            }
            Phase::Accepting {
                proposal_number,
                view,
                ..
            } => {
                let (proposal_number, receivers) =
                    (*proposal_number, electorate.addresses_with(view));
                (
                    AgreementMessage::Accept {
                        proposal_number,
                        view: view.clone(),
                    },
                    receivers,
                )
            }
        };
        let unanswered = receivers
            .into_iter()
            .filter(|address| !phase.has_response_from(*address));
        unanswered
            .map(|address| (address, message.clone()))
            .collect()
    }
}
