//! The knowledge from which the plans of the next view are derived.

use super::failure_detector::FailureDetector;
use super::redundancy::Redundancy;
use super::settings::PolicySettings;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};

/// The cluster at one time, as this process knows it.
#[derive(Clone, Copy)]
pub(super) struct ClusterSnapshot<'a> {
    /// The settings of the policy.
    pub(super) settings: PolicySettings,
    /// Which processes are reachable.
    pub(super) detector: &'a FailureDetector,
    /// The newest agreed view.
    pub(super) current: &'a View,
    /// The time of the snapshot.
    pub(super) now: Millis,
}

impl<'a> ClusterSnapshot<'a> {
    /// Whether messages pass between this process and a disk's process, in both directions.
    pub(super) fn is_reachable(&self, voter: &Voter) -> bool {
        self.detector.is_reachable(voter, self.now)
    }

    /// How many of these voters are reachable.
    pub(super) fn count_reachable(&self, voters: &[Voter]) -> usize {
        let reachable = voters.iter().filter(|voter| self.is_reachable(voter));
        reachable.count()
    }

    /// Whether a disk's process is lost to this process.
    pub(super) fn is_lost(&self, voter: &Voter) -> bool {
        self.detector.is_lost(voter, self.now)
    }

    /// Whether a reachable voter reports a link with this one.
    pub(super) fn is_linked_with_another(&self, voter: &Voter) -> bool {
        let mut others = self.current.voters.iter();
        others.any(|other| {
            other != voter && self.is_reachable(other) && self.detector.reports_link(other, voter)
        })
    }

    /// Whether messages pass between two processes, as this process, `me`, knows.
    ///
    /// This process observes its own links. It learns of other links from the reports of the processes
    /// that it receives from: a link between two such processes counts as broken only if both of them
    /// report so, since one report may be older than the link. If it receives from neither, a member
    /// of the chain assumes that the link works if others are linked with both. A process outside the
    /// chain always assumes so and leaves the decision to the members; every majority of voters
    /// includes a member.
    pub(super) fn are_linked(&self, me: &Voter, one: &Voter, other: &Voter) -> bool {
        let ClusterSnapshot { detector, now, .. } = *self;
        if one.disk == me.disk {
            return !self.is_lost(other);
        }
        if other.disk == me.disk {
            return !self.is_lost(one);
        }
        match (detector.is_silent(one, now), detector.is_silent(other, now)) {
            (false, false) => {
                let are_unlinked = detector.reports_no_link(one, other, now)
                    && detector.reports_no_link(other, one, now);
                !are_unlinked
            }
            (false, true) => detector.reports_link(one, other),
            (true, false) => detector.reports_link(other, one),
            (true, true) => {
                let have_links =
                    self.is_linked_with_another(one) && self.is_linked_with_another(other);
                self.current.position(me.disk).is_none() || have_links
            }
        }
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

    /// The disks that hold, or will hold, everything that is committed.
    pub(super) fn redundancy(&self) -> Redundancy {
        let ClusterSnapshot {
            settings,
            detector,
            current,
            now,
        } = *self;
        // A disk that receives a snapshot on a slow link acknowledges heartbeats late.
        let is_usable = |voter: &&Voter| {
            !detector.is_silent(voter, now)
                && detector.has_healthy_disk(voter)
                && !detector.is_draining(voter)
        };
        let spares = self.voters_outside_chain().filter(is_usable);
        Redundancy {
            needed: (2 * settings.tolerated_losses + 1).min(current.voters.len()),
            members: self.chain_members().filter(is_usable).count(),
            spares: spares
                .filter_map(|voter| detector.spare_replica(voter, current.number, now))
                .collect(),
        }
    }

    /// Whether the head is alive and cannot continue in this view.
    pub(super) fn head_needs_view(&self) -> bool {
        let head = self.chain_members().next();
        head.is_some_and(|voter| self.detector.needs_view(voter, self.current.number))
    }
}
