//! What is left of the candidates after a pass of placement, to see where runs could move.

use crate::placement::candidate::Candidate;
use crate::resources::{difference, fits, sum};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::job::Resources;

/// A candidate, and the capacity of it that is left.
#[derive(Clone, Debug)]
pub(crate) struct UnclaimedCandidate {
    /// The candidate.
    pub(crate) candidate: Candidate,
    /// The capacity that is left.
    pub(crate) free: Resources,
}

/// The unclaimed capacity of all candidates, in their order.
#[derive(Clone, Debug)]
pub(crate) struct UnclaimedCapacity {
    /// The candidates.
    pub(crate) candidates: Vec<UnclaimedCandidate>,
}

impl UnclaimedCapacity {
    /// What is free now beside all queued tasks.
    pub(crate) fn beside_queues(candidates: &[Candidate]) -> UnclaimedCapacity {
        let unclaimed = |candidate: &Candidate| UnclaimedCandidate {
            candidate: candidate.clone(),
            free: candidate.free_for(u32::MAX),
        };
        UnclaimedCapacity {
            candidates: candidates.iter().map(unclaimed).collect(),
        }
    }

    /// What is free now, whether or not tasks are queued for it.
    pub(crate) fn ahead_of_queues(candidates: Vec<Candidate>) -> UnclaimedCapacity {
        let unclaimed = |candidate: Candidate| UnclaimedCandidate {
            free: candidate.free,
            candidate,
        };
        UnclaimedCapacity {
            candidates: candidates.into_iter().map(unclaimed).collect(),
        }
    }

    /// Claims capacity on a candidate with this label. Returns whether there was any. Suspected
    /// servers have none.
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

    /// Adds capacity that is about to be free on a server.
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
