//! The proposer's side: one proposal, and the ballot that it runs.

use crate::quorum::Responders;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::ProposalNumber;

/// How long a ballot may take, in milliseconds, before another is tried.
const BALLOT_TIMEOUT_MS: u64 = 400;
/// After how many milliseconds an unanswered message is sent again.
const RESEND_AFTER_MS: u64 = 100;

/// A view that this process wants, and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposal {
    /// The view to set where the register turns out to hold nothing newer.
    pub(crate) wanted: View,
    /// Ballots begun since the view was last asked for.
    pub(crate) attempts: u32,
    /// What is waited for.
    pub(crate) phase: Phase,
}

/// What a proposal waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// The moment of the next ballot.
    Waiting {
        /// That moment.
        until: Millis,
    },
    /// Promises from a majority of the acceptors.
    Preparing {
        /// The ballot.
        proposal_number: ProposalNumber,
        /// Its timers.
        timers: Timers,
        /// The promises so far.
        promises: Promises,
    },
    /// Acceptances from majorities of the acceptors and of the view's own voters.
    Accepting {
        /// The ballot.
        proposal_number: ProposalNumber,
        /// Its timers.
        timers: Timers,
        /// The view, which is not always the one that was wanted.
        view: View,
        /// Who has accepted.
        accepted_by: Responders,
    },
}

/// When a ballot's messages are repeated, and when it is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    resend_at: Millis,
    timeout_at: Millis,
}

/// Promises, and the view accepted under the highest ballot among them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Promises {
    /// Who has promised.
    pub(crate) given_by: Responders,
    highest: Option<(ProposalNumber, View)>,
}

impl Timers {
    pub(crate) fn start(now: Millis) -> Timers {
        Timers {
            resend_at: now.plus(RESEND_AFTER_MS),
            timeout_at: now.plus(BALLOT_TIMEOUT_MS),
        }
    }

    /// Whether the ballot has taken too long.
    pub(crate) fn has_timed_out(&self, now: Millis) -> bool {
        now >= self.timeout_at
    }

    /// Whether to send again now; the next time is set.
    pub(crate) fn resend_is_due(&mut self, now: Millis) -> bool {
        let due = now >= self.resend_at;
        if due {
            self.resend_at = now.plus(RESEND_AFTER_MS);
        }
        due
    }
}

impl Promises {
    /// Adds the promise of a disk that has accepted nothing in this instance.
    pub(crate) fn add(&mut self, disk: DiskId, from: PeerAddress) {
        self.given_by.add(disk, from);
    }

    /// Adds the promise of a disk that has accepted a view in this instance.
    pub(crate) fn add_with_view(
        &mut self,
        disk: DiskId,
        from: PeerAddress,
        proposal_number: ProposalNumber,
        view: View,
    ) {
        self.given_by.add(disk, from);
        if self
            .highest
            .as_ref()
            .is_none_or(|(highest, _)| proposal_number > *highest)
        {
            self.highest = Some((proposal_number, view));
        }
    }

    /// The view that has to be proposed, as it may have been chosen already.
    pub(crate) fn bound_view(&self) -> Option<&View> {
        self.highest.as_ref().map(|(_, view)| view)
    }
}

impl Phase {
    /// The ballot that is running.
    pub(crate) fn proposal_number(&self) -> Option<ProposalNumber> {
        match self {
            Phase::Waiting { .. } => None,
            Phase::Preparing {
                proposal_number, ..
            }
            | Phase::Accepting {
                proposal_number, ..
            } => Some(*proposal_number),
        }
    }

    /// Whether the address has answered the messages of this phase.
    pub(crate) fn has_answer_of(&self, address: PeerAddress) -> bool {
        match self {
            Phase::Waiting { .. } => false,
            Phase::Preparing { promises, .. } => promises.given_by.has_address(address),
            Phase::Accepting { accepted_by, .. } => accepted_by.has_address(address),
        }
    }
}
