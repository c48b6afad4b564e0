//! Recording of starts, before any server is ordered to run them.

use crate::jobs::record::JobRecord;
use crate::jobs::table::JobTable;
use crate::jobs::task::{TaskStatus, NEVER_STARTED};
use lupinrack_cluster_api::identity::{Attempt, JobId, ServiceName, TaskId};
use lupinrack_cluster_api::job::{JobState, Step};
use lupinrack_cluster_api::operation::StartRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A gang: the tasks of one step in one occurrence of a job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Gang {
    job: JobId,
    occurrence: u32,
    step: u32,
}

impl Gang {
    fn of(task: &TaskId) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

impl JobTable {
    /// Records the admissible starts, and returns for each start whether it was admissible. Starts
    /// are checked one by one, except that the starts of a gang are checked together.
    pub(crate) fn record_starts(
        &mut self,
        service: &ServiceName,
        starts: &[StartRecord],
    ) -> Vec<bool> {
        let mut accepted = vec![false; starts.len()];
        let mut gangs: BTreeMap<Gang, Vec<usize>> = BTreeMap::new();
        for (index, start) in starts.iter().enumerate() {
            if self.is_of_gang(&start.task) {
                gangs.entry(Gang::of(&start.task)).or_default().push(index);
            } else {
                accepted[index] = self.record_together(service, &[start]);
            }
        }
        for indices in gangs.values() {
            let members: Vec<&StartRecord> = indices.iter().map(|index| &starts[*index]).collect();
            let is_accepted = self.record_together(service, &members);
            for index in indices {
                accepted[*index] = is_accepted;
            }
        }
        accepted
    }

    fn is_of_gang(&self, task: &TaskId) -> bool {
        let step = self.get(task.job).and_then(|job| job.step(task.step));
        step.is_some_and(|step| step.gang)
    }

    /// Records either all of these starts of one step in one occurrence, or none.
    fn record_together(&mut self, service: &ServiceName, starts: &[&StartRecord]) -> bool {
        let Some(first) = starts.first() else {
            return false;
        };
        let is_admitted = self.get(first.task.job).is_some_and(|job| {
            job.service == *service
                && job.admits_starts(starts)
                && starts.iter().all(|start| self.admits_name(job, start))
        });
        let Some(job) = self.get_mut(first.task.job).filter(|_| is_admitted) else {
            return false;
        };
        for start in starts {
            job.assign(start);
        }
        true
    }

    /// Whether the number of a start follows the earlier ones under its task's name, and no other run
    /// under that name may be on its server.
    fn admits_name(&self, job: &JobRecord, start: &StartRecord) -> bool {
        let is_gang = job.step(start.task.step).is_some_and(|step| step.gang);
        let highest = self.highest_attempt(start.task);
        attempt_follows(is_gang, highest, start.attempt)
            && !self.has_namesake_on(start.task, &start.server)
    }
}

impl JobRecord {
    /// Whether these starts of one step in one occurrence may be recorded together.
    fn admits_starts(&self, starts: &[&StartRecord]) -> bool {
        let Some(first) = starts.first() else {
            return false;
        };
        let Some(step) = self.step(first.task.step) else {
            return false;
        };
        let members_fit = !step.gang || is_complete_gang(step, starts);
        members_fit
            && self.is_open()
            && self.is_ready(first.task.occurrence, step)
            && starts.iter().all(|start| self.admits_start(step, start))
    }

    /// Whether the occurrence exists, and all steps that the step depends on are done in it.
    fn is_ready(&self, occurrence: u32, step: &Step) -> bool {
        let is_done = |earlier: &u32| self.step_is_done(occurrence, *earlier);
        occurrence < self.occurrence_count()
            && !self.occurrence_is_done(occurrence)
            && step.depends_on.iter().all(is_done)
    }

    /// Whether the task waits for this start.
    fn admits_start(&self, step: &Step, start: &StartRecord) -> bool {
        if start.task.index >= step.count {
            return false;
        }
        let recorded = self.task(start.task.occurrence, start.task.step, start.task.index);
        let task = recorded.unwrap_or(&NEVER_STARTED);
        task.status == TaskStatus::Waiting
            && (step.long_running || task.failed < self.failure_limit())
    }

    /// Assigns a task to the server of a start that is admissible.
    fn assign(&mut self, start: &StartRecord) {
        let steps = &self.spec.steps;
        let occurrence = self.occurrences.start(start.task.occurrence, steps);
        let tasks = occurrence.step_mut(start.task.step).tasks_mut();
        let task = tasks.entry(start.task.index).or_default();
        task.status = TaskStatus::Assigned {
            server: start.server.clone(),
        };
        task.attempt = start.attempt;
        if self.state == JobState::Queued {
            self.state = JobState::Running;
        }
    }
}

/// Whether the number of a start may follow the earlier ones. It increases by one; in a gang it may
/// increase by more, since the members share the number but may have had different numbers of
/// starts.
fn attempt_follows(is_gang: bool, highest: Attempt, attempt: Attempt) -> bool {
    if is_gang {
        attempt > highest
    } else {
        Some(attempt) == highest.checked_add(1)
    }
}

/// Whether the starts are those of all members, each once, under the same number.
fn is_complete_gang(step: &Step, starts: &[&StartRecord]) -> bool {
    let members: BTreeSet<u32> = starts.iter().map(|start| start.task.index).collect();
    let same_attempt = starts
        .windows(2)
        .all(|pair| pair[0].attempt == pair[1].attempt);
    same_attempt && starts.len() == members.len() && members.len() == step.count as usize
}
