//! Recording of starts, before any server is told of them.

use crate::jobs::record::{JobRecord, Occurrence, TaskRecord, TaskStatus};
use crate::state::ControlState;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{FencingToken, JobId, ServiceName, TaskId};
use lupinrack_cluster_api::job::{JobState, Step};
use lupinrack_cluster_api::operation::{OperationResult, StartRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A gang: the tasks of a step in one time of a job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Gang {
    job: JobId,
    occurrence: u32,
    step: u32,
}

impl Gang {
    fn of(task: &TaskId) -> Gang {
        Gang {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

impl ControlState {
    /// Records the starts that hold. Each is decided for itself, those of one gang together.
    pub(crate) fn record_starts(
        &mut self,
        service: &ServiceName,
        token: FencingToken,
        starts: &[StartRecord],
    ) -> OperationResult {
        if self.is_fenced(service, token) {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        let mut hold = vec![false; starts.len()];
        let mut gangs: BTreeMap<Gang, Vec<usize>> = BTreeMap::new();
        for (place, start) in starts.iter().enumerate() {
            if self.is_gang(&start.task) {
                gangs.entry(Gang::of(&start.task)).or_default().push(place);
            } else {
                hold[place] = self.record_together(service, &[start]);
            }
        }
        for places in gangs.values() {
            let members: Vec<&StartRecord> = places.iter().map(|place| &starts[*place]).collect();
            let holds = self.record_together(service, &members);
            places.iter().for_each(|place| hold[*place] = holds);
        }
        OperationResult::Starts(hold)
    }

    fn is_gang(&self, task: &TaskId) -> bool {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step));
        step.is_some_and(|step| step.gang)
    }

    /// Records starts of tasks of one step and time, all or none.
    fn record_together(&mut self, service: &ServiceName, starts: &[&StartRecord]) -> bool {
        let Some(first) = starts.first() else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&first.task.job) else {
            return false;
        };
        if job.service != *service || !job.starts_hold(starts) {
            return false;
        }
        starts.iter().for_each(|start| job.assign(start));
        true
    }
}

impl JobRecord {
    /// Whether these starts of one step and time may be recorded together.
    fn starts_hold(&self, starts: &[&StartRecord]) -> bool {
        let Some(first) = starts.first() else {
            return false;
        };
        let Some(step) = self.step(first.task.step) else {
            return false;
        };
        let members_fit = !step.gang || is_whole_gang(step, starts);
        members_fit
            && self.is_open()
            && self.is_due_to_start(first.task.occurrence, step)
            && starts.iter().all(|start| self.start_holds(step, start))
    }

    /// Whether the time exists and all that the step depends on is done in it.
    fn is_due_to_start(&self, occurrence: u32, step: &Step) -> bool {
        let done = |earlier: &u32| self.step_is_done(occurrence, *earlier);
        occurrence < self.times()
            && !self.occurrence_is_done(occurrence)
            && step.depends_on.iter().all(done)
    }

    /// Whether a task waits for this start.
    fn start_holds(&self, step: &Step, start: &StartRecord) -> bool {
        if start.task.index >= step.count {
            return false;
        }
        let never_started = TaskRecord::new();
        let recorded = self.task(start.task.occurrence, start.task.step, start.task.index);
        let task = recorded.unwrap_or(&never_started);
        task.status == TaskStatus::Waiting
            && attempt_follows(step, task, start)
            && (step.long_running || task.failed < self.failure_limit())
    }

    /// Assigns a task whose start holds.
    fn assign(&mut self, start: &StartRecord) {
        let steps = &self.spec.steps;
        let occurrence = self
            .occurrences
            .entry(start.task.occurrence)
            .or_insert_with(|| Occurrence::new(steps));
        let tasks = occurrence.steps.get_mut(start.task.step as usize);
        let Some(task) = tasks.and_then(|tasks| tasks.get_mut(start.task.index as usize)) else {
            return;
        };
        task.status = TaskStatus::Assigned {
            server: start.server.clone(),
        };
        task.attempt = start.attempt;
        if self.state == JobState::Queued {
            self.state = JobState::Running;
        }
    }
}

/// Attempts of a task rise by one; those of a gang rise, since members may have had different numbers of starts.
fn attempt_follows(step: &Step, task: &TaskRecord, start: &StartRecord) -> bool {
    if step.gang {
        start.attempt > task.attempt
    } else {
        Some(start.attempt) == task.attempt.checked_add(1)
    }
}

/// Whether the starts are those of all members, each once, under the same attempt.
fn is_whole_gang(step: &Step, starts: &[&StartRecord]) -> bool {
    let members: BTreeSet<u32> = starts.iter().map(|start| start.task.index).collect();
    let same_attempt = starts
        .windows(2)
        .all(|pair| pair[0].attempt == pair[1].attempt);
    same_attempt && starts.len() == members.len() && members.len() == step.count as usize
}
