//! One proposal: the wanted view, and the phase of its current attempt.

use crate::quorum::Responders;
use lupinrack_cluster_api::agreement::ProposalNumber;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// Milliseconds after which a request without a response is sent again.
pub(crate) const RESEND_AFTER_MS: u64 = 100;

/// A view that this process proposes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposal {
    /// The view to propose unless an earlier proposal may have been chosen already.
    pub(crate) wanted: View,
    /// The number of attempts started. Proposing a view again lowers it so that at least one more
    /// attempt is left.
    pub(crate) attempts: u32,
    /// The phase of the current attempt.
    pub(crate) phase: Phase,
}

/// The phase of an attempt, which determines what the proposer waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Waiting for the random delay before the next attempt.
    BackingOff {
        /// When the next attempt starts.
        until: Millis,
    },
    /// Phase 1 of Paxos: prepare responses from a majority of the acceptors.
    Preparing {
        /// The number of the attempt.
        proposal_number: ProposalNumber,
        /// When the phase began, and when requests are repeated.
        timers: Timers,
        /// The responses so far.
        responses: PrepareResponses,
    },
    /// Phase 2 of Paxos: acceptance by a majority of the acceptors and by a majority of the
    /// proposed view's own voters.
    Accepting {
        /// The number of the attempt.
        proposal_number: ProposalNumber,
        /// When the phase began, and when requests are repeated.
        timers: Timers,
        /// The proposed view, which differs from the wanted one if another may have been chosen.
        view: View,
        /// The disks that have accepted the view.
        accepted_by: Responders,
    },
}

impl Phase {
    /// The number of the attempt that is in progress.
    pub(crate) fn proposal_number(&self) -> Option<ProposalNumber> {
        match self {
            Phase::BackingOff { .. } => None,
            Phase::Preparing {
                proposal_number, ..
            }
            | Phase::Accepting {
                proposal_number, ..
            } => Some(*proposal_number),
        }
    }

    /// Whether a response to the requests of this phase came from this address.
    pub(crate) fn has_response_from(&self, address: PeerAddress) -> bool {
        match self {
            Phase::BackingOff { .. } => false,
            Phase::Preparing { responses, .. } => responses.responders.has_address(address),
            Phase::Accepting { accepted_by, .. } => accepted_by.has_address(address),
        }
    }
}

/// When a phase of an attempt began, and when its requests are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    began_at: Millis,
    resend_at: Millis,
}

impl Timers {
    pub(crate) fn start(now: Millis) -> Timers {
        Timers {
            began_at: now,
            resend_at: now.plus(RESEND_AFTER_MS),
        }
    }

    /// Whether the phase has taken this many milliseconds.
    pub(crate) fn has_timed_out(&self, timeout_ms: u64, now: Millis) -> bool {
        now.since(self.began_at) >= timeout_ms
    }

    /// Whether the requests are due to be sent again; if so, the next time is set.
    pub(crate) fn take_due_resend(&mut self, now: Millis) -> bool {
        let due = now >= self.resend_at;
        if due {
            self.resend_at = now.plus(RESEND_AFTER_MS);
        }
        due
    }
}

/// The responses to a prepare request, and the view that was accepted under the highest proposal
/// number among them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PrepareResponses {
    /// The disks that have responded.
    pub(crate) responders: Responders,
    highest_accepted: Option<(ProposalNumber, View)>,
}

impl PrepareResponses {
    /// Adds the response of a disk that has accepted nothing in this instance.
    pub(crate) fn add(&mut self, disk: DiskId, from: PeerAddress) {
        self.responders.add(disk, from);
    }

    /// Adds the response of a disk that has accepted a view in this instance.
    pub(crate) fn add_with_view(
        &mut self,
        disk: DiskId,
        from: PeerAddress,
        proposal_number: ProposalNumber,
        view: View,
    ) {
        self.responders.add(disk, from);
        let is_higher = |(highest, _): &(ProposalNumber, View)| proposal_number > *highest;
        if self.highest_accepted.as_ref().is_none_or(is_higher) {
            self.highest_accepted = Some((proposal_number, view));
        }
    }

    /// The view that has to be proposed because it may have been chosen already: the view accepted
    /// under the highest proposal number among the responders (condition P2c of *Paxos Made
    /// Simple*).
    pub(crate) fn view_to_keep(&self) -> Option<&View> {
        self.highest_accepted.as_ref().map(|(_, view)| view)
    }
}
