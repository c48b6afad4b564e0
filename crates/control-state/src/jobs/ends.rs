//! Recording of ends. A server keeps an end until an owner has acknowledged it, which an owner does
//! only after the end is recorded here.

use crate::jobs::record::JobRecord;
use crate::jobs::table::JobTable;
use crate::jobs::task::TaskRecord;
use lupinrack_cluster_api::identity::{Attempt, ServiceName};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::EndRecord;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use std::collections::BTreeMap;

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
        if end.end == RunEnd::Done {
            self.namesakes
                .raise_attempt_floor(end.task.job, end.attempt);
        }
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
        let number = end.task.occurrence;
        if end.end == RunEnd::Done {
            self.occurrences.note_done_attempt(end.attempt);
        }
        let occurrence = self.occurrences.open_mut().get_mut(&number)?;
        let tasks = occurrence.step_mut(end.task.step).tasks_mut();
        tasks.get_mut(&end.task.index)?.release(&end.checkpoint);
        let members = run_members(tasks, end, is_gang);
        match end.end {
            RunEnd::Done if !is_long_running => {
                occurrence.set_done(end.task.step, &members);
                let is_done = self.occurrences.close_if_done(number);
                (is_done && self.is_complete()).then_some(JobState::Succeeded)
            }
            RunEnd::Failed => {
                let failures = count_failure(tasks, &members, end.attempt);
                (!is_long_running && failures >= failure_limit).then_some(JobState::Failed)
            }
            _ => None,
        }
    }

    /// Whether all occurrences are done.
    fn is_complete(&self) -> bool {
        self.occurrences.done().len() >= self.occurrence_count()
    }
}

/// The indices of the tasks of a run. Members of the gang that have since been started under another
/// number do not belong to the run.
fn run_members(tasks: &BTreeMap<u32, TaskRecord>, end: &EndRecord, is_gang: bool) -> Vec<u32> {
    if !is_gang {
        return vec![end.task.index];
    }
    let of_run = tasks.iter().filter(|(_, task)| task.attempt == end.attempt);
    of_run.map(|(index, _)| *index).collect()
}

/// Counts the failure of a run for each of its members, and returns the highest number of failures.
fn count_failure(tasks: &mut BTreeMap<u32, TaskRecord>, members: &[u32], attempt: Attempt) -> u32 {
    let mut highest = 0;
    for member in members {
        if let Some(task) = tasks.get_mut(member) {
            task.count_failure(attempt);
            highest = highest.max(task.failed);
        }
    }
    highest
}
