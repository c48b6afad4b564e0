//! How fast a proposer proceeds, given how long acceptors need for a vote.
//!
//! An acceptor responds once its vote is synced, and that sync may wait for another one. A proposer
//! that abandoned its attempt earlier would never get a response, and one that started a proposal
//! beside another process's would interrupt it: the higher number makes acceptors reject the next
//! request of the other one.

use crate::rival::Rival;
use lupinrack_cluster_api::agreement::ProposalNumber;
use lupinrack_cluster_api::time::Millis;

/// The shortest time after which a phase of an attempt is abandoned, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 800;
/// A phase is abandoned after this many times the time of a vote.
const VOTES_PER_TIMEOUT: u64 = 4;
/// The phase of another process's proposal is left to complete for this many times the time of a
/// vote.
const VOTES_PER_RIVAL_PHASE: u64 = 3;
/// The longest time of a vote that is assumed, in milliseconds.
const MAX_VOTE_MS: u64 = 2000;

/// The request of another process that this one voted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Request {
    Prepare,
    Accept,
}

/// The time of a vote on this process's disk, which stands for all disks, and the proposal of another
/// process that is in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Pace {
    vote_ms: u64,
    rival: Rival,
}

impl Pace {
    /// Sets how long a vote takes at present, in milliseconds.
    pub(crate) fn set_vote_ms(&mut self, vote_ms: u64) {
        self.vote_ms = vote_ms.min(MAX_VOTE_MS);
    }

    /// Milliseconds after which a phase is abandoned.
    pub(crate) fn timeout_ms(&self) -> u64 {
        (VOTES_PER_TIMEOUT * self.vote_ms).max(MIN_TIMEOUT_MS)
    }

    /// Notes a vote for a request of another process.
    pub(crate) fn voted_for(
        &mut self,
        proposal_number: ProposalNumber,
        request: Request,
        now: Millis,
    ) {
        if self.vote_ms > 0 {
            self.rival
                .observed(proposal_number.incarnation, request, now);
        }
    }

    /// Whether another process's proposal should be left to complete.
    pub(crate) fn awaits_rival(&self, now: Millis) -> bool {
        self.rival
            .is_active(VOTES_PER_RIVAL_PHASE * self.vote_ms, now)
    }

    /// Forgets the other proposal, since its instance is decided.
    pub(crate) fn instance_decided(&mut self) {
        self.rival = Rival::default();
    }
}
