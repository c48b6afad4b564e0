//! Recording of ends, before any server is told that they were observed.

use crate::jobs::record::{JobRecord, TaskRecord, TaskStatus};
use crate::state::ControlState;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{Attempt, FencingToken, ServiceName};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::{EndRecord, OperationResult};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;

impl ControlState {
    /// Records ends; those of runs that are not the newest of their task, or have ended, change nothing.
    pub(crate) fn record_ends(
        &mut self,
        service: &ServiceName,
        token: FencingToken,
        ends: &[EndRecord],
        at: WallMillis,
    ) -> OperationResult {
        if self.is_fenced(service, token) {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        ends.iter()
            .for_each(|end| self.record_end(service, end, at));
        OperationResult::Done
    }

    fn record_end(&mut self, service: &ServiceName, end: &EndRecord, at: WallMillis) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        if job.service != *service {
            return;
        }
        if let Some(state) = job.end_run(end) {
            self.finish_job(end.task.job, state, at);
        }
    }
}

impl JobRecord {
    /// Takes the end of a run. Returns the state that the job comes to by it, where that is a final one; the ends of
    /// runs of a job that is final are taken too, since they make room on servers.
    fn end_run(&mut self, end: &EndRecord) -> Option<JobState> {
        let limit = self.failure_limit();
        let step = self.spec.steps.get(end.task.step as usize)?;
        let (gang, lasting) = (step.gang, step.long_running);
        let tasks = self.tasks_mut(end)?;
        let index = end.task.index as usize;
        if !tasks.get(index)?.is_assigned(end.attempt) {
            return None;
        }
        release(&mut tasks[index], &end.checkpoint);
        let run = if gang {
            &mut tasks[..]
        } else {
            &mut tasks[index..=index]
        };
        match end.end {
            RunEnd::Done if !lasting => {
                let done = mark_done(run, end.attempt);
                self.close_tasks(end.task.occurrence, done)
            }
            RunEnd::Failed => {
                let failed = count_failure(run, end.attempt);
                (!lasting && failed >= limit).then_some(JobState::Failed)
            }
            _ => None,
        }
    }

    /// The records of the step that an end belongs to.
    fn tasks_mut(&mut self, end: &EndRecord) -> Option<&mut Vec<TaskRecord>> {
        let occurrence = self.occurrences.get_mut(&end.task.occurrence)?;
        occurrence.steps.get_mut(end.task.step as usize)
    }

    /// Counts tasks that have ended well; a time all of whose tasks have keeps no records of them.
    fn close_tasks(&mut self, number: u32, done: u32) -> Option<JobState> {
        let occurrence = self.occurrences.get_mut(&number)?;
        occurrence.open_tasks = occurrence.open_tasks.saturating_sub(done);
        if !occurrence.is_done() {
            return None;
        }
        occurrence.steps = Vec::new();
        self.occurrences_done = self.occurrences_done.saturating_add(1);
        (self.occurrences_done >= self.times()).then_some(JobState::Succeeded)
    }
}

/// Takes a task from its server, and keeps the checkpoint that its run left.
fn release(task: &mut TaskRecord, checkpoint: &str) {
    task.status = TaskStatus::Waiting;
    if !checkpoint.is_empty() {
        task.checkpoint = checkpoint.to_owned();
    }
}

/// Marks the tasks of a run as done, and returns how many were not.
fn mark_done(run: &mut [TaskRecord], attempt: Attempt) -> u32 {
    let mut done = 0;
    for task in run
        .iter_mut()
        .filter(|task| task.attempt == attempt && !task.is_done())
    {
        task.status = TaskStatus::Done;
        done += 1;
    }
    done
}

/// Counts the failure of a run once for each of its tasks, and returns the largest count.
fn count_failure(run: &mut [TaskRecord], attempt: Attempt) -> u32 {
    for task in run
        .iter_mut()
        .filter(|task| task.attempt == attempt && task.failed_attempt != attempt)
    {
        task.failed = task.failed.saturating_add(1);
        task.failed_attempt = attempt;
    }
    run.iter().map(|task| task.failed).max().unwrap_or(0)
}
