//! Recording of ends. A server keeps an end until an owner has acknowledged it, which an owner does
//! only after the end is recorded here.

use crate::jobs::record::JobRecord;
use crate::jobs::table::JobTable;
use crate::jobs::task::{TaskRecord, TaskStatus};
use lupinrack_cluster_api::identity::{Attempt, ServiceName};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::EndRecord;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;

impl JobTable {
    /// Records ends. The end of a run that is not the newest of its task, or that has ended
    /// already, changes nothing.
    pub(crate) fn record_ends(
        &mut self,
        service: &ServiceName,
        ends: &[EndRecord],
        at: WallMillis,
    ) {
        for end in ends {
            self.record_end(service, end, at);
        }
    }

    fn record_end(&mut self, service: &ServiceName, end: &EndRecord, at: WallMillis) {
        let job = self.get(end.task.job);
        if !job.is_some_and(|job| job.has_run_in(service, end)) {
            return;
        }
        self.note_attempts_before(end);
        let Some(job) = self.get_mut(end.task.job) else {
            return;
        };
        let final_state = job.end_run(end);
        self.run_ended(service, end.task.job);
        if let Some(state) = final_state {
            self.end(end.task.job, state, at);
        }
    }
}

impl JobRecord {
    /// Whether the run of this end has no recorded end yet and is in this service, whose owner alone
    /// knows whether it is over.
    fn has_run_in(&self, service: &ServiceName, end: &EndRecord) -> bool {
        let task = self.task(end.task.occurrence, end.task.step, end.task.index);
        let run = task.filter(|task| task.is_assigned(end.attempt));
        run.is_some_and(|task| self.run_service(task) == Some(service))
    }

    /// Records the end of a run that has none yet, and returns the final state of the job if this end leads to one.
    /// Ends of runs of a job that already has its final state are recorded too, since they free
    /// capacity of servers.
    fn end_run(&mut self, end: &EndRecord) -> Option<JobState> {
        let failure_limit = self.failure_limit();
        let step = self.spec.steps.get(end.task.step as usize)?;
        let (is_gang, is_long_running) = (step.gang, step.long_running);
        let tasks = self.tasks_mut(end)?;
        let index = end.task.index as usize;
        tasks.get_mut(index)?.release(&end.checkpoint);
        let members = if is_gang {
            &mut tasks[..]
        } else {
            &mut tasks[index..=index]
        };
        match end.end {
            RunEnd::Done if !is_long_running => {
                let succeeded = set_done(members, end.attempt);
                self.count_succeeded(end.task.occurrence, succeeded)
            }
            RunEnd::Failed => {
                let failures = count_failure(members, end.attempt);
                (!is_long_running && failures >= failure_limit).then_some(JobState::Failed)
            }
            _ => None,
        }
    }

    /// The tasks of the step that an end belongs to.
    fn tasks_mut(&mut self, end: &EndRecord) -> Option<&mut Vec<TaskRecord>> {
        let occurrence = self.occurrences.get_mut(&end.task.occurrence)?;
        occurrence.steps.get_mut(end.task.step as usize)
    }

    /// Counts tasks of an occurrence that have succeeded, and counts the occurrence as done if no
    /// task of it is left.
    fn count_succeeded(&mut self, occurrence: u32, succeeded: u32) -> Option<JobState> {
        let occurrence = self.occurrences.get_mut(&occurrence)?;
        occurrence.close_tasks(succeeded);
        if !occurrence.is_done() {
            return None;
        }
        self.occurrences_done = self.occurrences_done.saturating_add(1);
        (self.occurrences_done >= self.occurrence_count()).then_some(JobState::Succeeded)
    }
}

/// Sets the members of a run to done, and returns how many of them were not done before. Members
/// that have since been started under another number do not belong to the run.
fn set_done(members: &mut [TaskRecord], attempt: Attempt) -> u32 {
    let mut newly_done = 0;
    for task in members
        .iter_mut()
        .filter(|task| task.attempt == attempt && !task.is_done())
    {
        task.status = TaskStatus::Done;
        newly_done += 1;
    }
    newly_done
}

/// Counts the failure of a run for each of its members, and returns the highest number of failures.
/// The failure is ignored for a member that has since been started again.
fn count_failure(members: &mut [TaskRecord], attempt: Attempt) -> u32 {
    for task in members.iter_mut() {
        task.count_failure(attempt);
    }
    members.iter().map(|task| task.failed).max().unwrap_or(0)
}
