//! The capacity of candidates that remains after a placement pass, used to find servers to which
//! runs can move.

use crate::placement::candidate::Candidate;
use crate::resources::{difference, fits, sum};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::job::Resources;

/// A candidate and its capacity that has not been claimed.
#[derive(Clone, Debug)]
pub(crate) struct UnclaimedCandidate {
    pub(crate) candidate: Candidate,
    /// The capacity that has not been claimed.
    pub(crate) free: Resources,
}

/// The unclaimed capacity of all candidates, in the order of the candidates.
#[derive(Clone, Debug)]
pub(crate) struct UnclaimedCapacity {
    pub(crate) candidates: Vec<UnclaimedCandidate>,
}

impl UnclaimedCapacity {
    /// The capacity that is free now minus the needs of all queued tasks.
    pub(crate) fn beside_queues(candidates: &[Candidate]) -> UnclaimedCapacity {
        let unclaimed = |candidate: &Candidate| UnclaimedCandidate {
            candidate: candidate.clone(),
            free: candidate.free_for(u32::MAX),
        };
        UnclaimedCapacity {
            candidates: candidates.iter().map(unclaimed).collect(),
        }
    }

    /// The capacity that is free now, ignoring queued tasks.
    pub(crate) fn ahead_of_queues(candidates: Vec<Candidate>) -> UnclaimedCapacity {
        let unclaimed = |candidate: Candidate| UnclaimedCandidate {
            free: candidate.free,
            candidate,
        };
        UnclaimedCapacity {
            candidates: candidates.into_iter().map(unclaimed).collect(),
        }
    }

    /// Claims capacity on a candidate with this label that is not suspected. Returns whether one
    /// had enough capacity.
    pub(crate) fn claim(&mut self, needs: &Resources, requires: &str) -> bool {
        let found = self.candidates.iter_mut().find(|unclaimed| {
            !unclaimed.candidate.suspected
                && unclaimed.candidate.has_label(requires)
                && fits(needs, &unclaimed.free)
        });
        let Some(unclaimed) = found else {
            return false;
        };
        unclaimed.free = difference(&unclaimed.free, needs);
        true
    }

    /// Adds capacity that will soon be free on a server.
    pub(crate) fn add(&mut self, server: &ServerId, amount: &Resources) {
        let of_server = self
            .candidates
            .iter_mut()
            .find(|unclaimed| unclaimed.candidate.server == *server);
        if let Some(unclaimed) = of_server {
            unclaimed.free = sum(&unclaimed.free, amount);
        }
    }
}
