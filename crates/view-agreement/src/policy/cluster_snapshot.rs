//! What the plans of the next view are made from.

use super::failure_detector::FailureDetector;
use super::settings::PolicySettings;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};

/// The cluster at one moment, as this process knows it.
#[derive(Clone, Copy)]
pub(super) struct ClusterSnapshot<'a> {
    /// The settings of the policy.
    pub(super) settings: PolicySettings,
    /// Which processes are alive.
    pub(super) detector: &'a FailureDetector,
    /// The newest agreed view.
    pub(super) current: &'a View,
    /// The moment.
    pub(super) now: Millis,
}

impl<'a> ClusterSnapshot<'a> {
    /// Whether a disk's process is alive.
    pub(super) fn is_alive(&self, voter: &Voter) -> bool {
        self.detector.is_alive(voter, self.now)
    }

    /// How many of these voters are alive.
    pub(super) fn count_alive(&self, voters: &[Voter]) -> usize {
        voters.iter().filter(|voter| self.is_alive(voter)).count()
    }

    /// Whether a disk holds everything that was committed before the current view; none if its
    /// process has not reported in this view yet.
    pub(super) fn is_complete(&self, voter: &Voter) -> Option<bool> {
        self.detector.is_complete(voter, self.current.number)
    }

    /// The members of the chain, head first.
    pub(super) fn chain_members(&self) -> impl Iterator<Item = &'a Voter> {
        let current = self.current;
        current.chain.iter().filter_map(|disk| current.voter(*disk))
    }

    /// The voters outside the chain.
    pub(super) fn voters_outside_chain(&self) -> impl Iterator<Item = &'a Voter> {
        let current = self.current;
        current
            .voters
            .iter()
            .filter(|voter| current.position(voter.disk).is_none())
    }

    /// Whether the head is alive and cannot continue in this view.
    pub(super) fn head_needs_view(&self) -> bool {
        let head = self.chain_members().next();
        head.is_some_and(|voter| self.detector.needs_view(voter, self.current.number))
    }
}
