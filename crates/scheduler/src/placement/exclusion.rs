//! The reason for which a server does not start a waiting task now.

use crate::placement::demand::Demand;
use crate::placement::planner::Planner;
use crate::resources::fits;
use crate::wait_report::Exclusion;
use std::collections::BTreeSet;

/// The state of a placement pass, and what it found out about one demand.
pub(crate) struct ExclusionFinder<'p, 'a> {
    planner: &'p Planner<'a>,
    demand: &'p Demand<'p>,
    eligible: BTreeSet<usize>,
}

impl<'p, 'a> ExclusionFinder<'p, 'a> {
    pub(crate) fn new(planner: &'p Planner<'a>, demand: &'p Demand<'p>) -> Self {
        ExclusionFinder {
            planner,
            demand,
            eligible: planner.eligible(demand).into_iter().collect(),
        }
    }

    /// The first reason for which a candidate does not start a task of the demand.
    pub(crate) fn reason(&self, index: usize) -> Exclusion {
        let candidate = &self.planner.candidates[index];
        let (needs, priority) = (&self.demand.step.needs, self.demand.job.priority);
        let ends_at = self.planner.now.plus(self.demand.work_ms(1.0));
        if !candidate.has_label(&self.demand.step.requires) {
            Exclusion::MissingLabel
        } else if !candidate.could_fit(needs) {
            Exclusion::TooSmall
        } else if !self.eligible.contains(&index) {
            Exclusion::Suspected
        } else if self.is_unreliable(index) {
            Exclusion::Unreliable
        } else if self.planner.max_tasks_on(self.demand, index) == 0 {
            Exclusion::AntiAffinity
        } else if !fits(needs, &candidate.free) {
            Exclusion::Full
        } else if !fits(needs, &candidate.free_for(priority)) {
            Exclusion::Claimed
        } else if !candidate.admits(priority, needs, ends_at) {
            Exclusion::Reserved
        } else if !self.planner.headroom.allows(priority, needs, 1) {
            Exclusion::Headroom
        } else {
            Exclusion::Able
        }
    }

    /// Whether a gang avoids a candidate.
    fn is_unreliable(&self, index: usize) -> bool {
        self.demand.step.gang && !self.planner.is_reliable_for(self.demand, index)
    }
}
