//! Withdraws queued tasks that should be placed on another server.

use crate::placement::candidate::Candidate;
use crate::placement::kept_capacity::KeptCapacityAccess;
use crate::placement::planner::MAX_IDLE_WAIT_MS;
use crate::placement::queued_totals::QueuedTotals;
use crate::placement::retry_limit::{RetryLimit, LAST_ATTEMPT_QUIET_MS};
use crate::queues::task_queues::{QueuedTask, TaskQueues};
use crate::resources::{component_max, fits};
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::job::Resources;
use std::collections::BTreeMap;

/// The maximum time a task stays in one queue before it is placed again, in milliseconds.
const MAX_QUEUED_MS: u64 = 3_000;

/// Removes from the queues tasks that are on a server that is suspected or no longer a candidate,
/// tasks that have been queued too long, and tasks for which another candidate has capacity now.
pub(crate) fn withdraw_misplaced(
    queues: &mut TaskQueues,
    candidates: &mut [Candidate],
    kept_capacity: KeptCapacityAccess<'_>,
) {
    let mut search = BetterServerSearch {
        candidates,
        kept_capacity,
        max_free: BTreeMap::new(),
    };
    let misplaced: Vec<TaskId> = queues
        .iter()
        .filter(|(task, queued)| search.is_misplaced(**task, queued))
        .map(|(task, _)| *task)
        .collect();
    if misplaced.is_empty() {
        return;
    }
    for task in misplaced {
        queues.withdraw(task);
    }
    for candidate in candidates {
        candidate.queued = QueuedTotals::of(queues.of_server(&candidate.server));
    }
}

/// Finds queued tasks that another candidate could start now.
struct BetterServerSearch<'a> {
    /// Sorted by server identity, for binary search.
    candidates: &'a [Candidate],
    kept_capacity: KeptCapacityAccess<'a>,
    /// For each priority, the maximum over all candidates of the free amount of each resource. A
    /// task whose needs exceed these amounts fits on no candidate.
    max_free: BTreeMap<u32, Resources>,
}

impl BetterServerSearch<'_> {
    fn is_misplaced(&mut self, task: TaskId, queued: &QueuedTask) -> bool {
        let current = self
            .candidates
            .binary_search_by(|candidate| candidate.server.cmp(&queued.server));
        let Ok(current) = current else {
            return true;
        };
        let KeptCapacityAccess {
            idle_times, now, ..
        } = self.kept_capacity;
        let must_start_anywhere = idle_times.idle_ms(task.job, now) >= MAX_IDLE_WAIT_MS;
        now.since(queued.since) > MAX_QUEUED_MS
            || self.candidates[current].suspected
            || self.fits_on_another(queued, current, must_start_anywhere)
            || (self.kept_capacity.is_granted_to(task.job)
                && self.needs_kept_capacity_of_another(queued, current))
    }

    /// Whether a task does not fit on its server now but fits on another candidate that is at least
    /// as near to the task's data, or on any other one if it must start anywhere. Such a task does not
    /// wait for capacity that belongs to more urgent queued tasks either.
    fn fits_on_another(
        &mut self,
        queued: &QueuedTask,
        current: usize,
        must_start_anywhere: bool,
    ) -> bool {
        let (priority, needs) = (queued.profile.priority, queued.profile.needs);
        let free_here = if must_start_anywhere {
            self.candidates[current].free_beside_more_urgent(priority)
        } else {
            self.candidates[current].free
        };
        if fits(&needs, &free_here) || !self.may_fit_anywhere(priority, &needs) {
            return false;
        }
        let is_local = self.candidates[current].has_label(&queued.affinity);
        let any_distance = must_start_anywhere || !is_local;
        self.others(current, must_start_anywhere).any(|other| {
            fits(&needs, &other.free_for(priority))
                && (any_distance || other.has_label(&queued.affinity))
        })
    }

    /// Whether a task that may use kept capacity does not fit on its server, but on another one.
    fn needs_kept_capacity_of_another(&self, queued: &QueuedTask, current: usize) -> bool {
        let needs = queued.profile.needs;
        !fits(&needs, &self.candidates[current].free)
            && self
                .others(current, true)
                .any(|other| fits(&needs, &other.free))
    }

    /// The candidates to which a task may move.
    fn others(
        &self,
        current: usize,
        must_start_anywhere: bool,
    ) -> impl Iterator<Item = &Candidate> {
        let last_attempt = RetryLimit::AfterQuiet {
            ms: LAST_ATTEMPT_QUIET_MS,
        };
        let others = self.candidates.iter().enumerate();
        others
            .filter(move |(index, other)| {
                let is_allowed = must_start_anywhere && last_attempt.allows(other.since_fault_ms);
                *index != current && (!other.suspected || is_allowed)
            })
            .map(|(_, other)| other)
    }

    fn may_fit_anywhere(&mut self, priority: u32, needs: &Resources) -> bool {
        let candidates = self.candidates;
        let max_free = self.max_free.entry(priority).or_insert_with(|| {
            let free = candidates
                .iter()
                .map(|candidate| candidate.free_for(priority));
            free.fold(Resources::default(), |max, free| component_max(&max, &free))
        });
        fits(needs, max_free)
    }
}
