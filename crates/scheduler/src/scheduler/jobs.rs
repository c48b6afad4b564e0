//! The jobs of the service: which of them the owner plans, stops or hands over.

use super::{RoundTime, Scheduler};
use crate::jobs::open_jobs::JobsRefresh;
use crate::runs::run::StopReason;
use lupinrack_cluster_api::identity::{JobId, TaskId};
use lupinrack_control_state::{ControlState, JobRecord};

impl Scheduler {
    /// Refreshes the plans of the open jobs, stops the remaining runs of jobs that have closed, and
    /// hands jobs over whose queues are directed to other services.
    pub(super) fn refresh_jobs(&mut self, state: &ControlState, time: RoundTime) {
        let without_plan = self.jobs.refresh(&JobsRefresh {
            state,
            service: &self.service,
            capacity: self.servers.total_capacity(),
            servers: self.servers.len(),
            durations: &self.history.durations,
            now: time.now,
            wall: time.wall,
        });
        for job in without_plan.closed {
            self.close_job(job);
        }
        for job in without_plan.departed {
            self.leave_job(state, job);
        }
    }

    /// Starts no further tasks of a job, and hands it over if it still belongs to this service. Its
    /// runs go on.
    fn leave_job(&mut self, state: &ControlState, job: JobId) {
        self.queues.withdraw_job(job);
        self.history.faults.remove_job(job);
        let is_own = |record: &JobRecord| record.service == self.service;
        if state.job(job).is_some_and(is_own) {
            self.tracker.submissions.add_hand_over(job);
        }
    }

    fn close_job(&mut self, job: JobId) {
        let runs = &mut self.tracker.runs;
        let tasks: Vec<TaskId> = runs.of_job(job).map(|run| run.task).collect();
        for task in tasks {
            runs.request_stop(task, StopReason::JobClosed);
        }
        self.queues.withdraw_job(job);
        self.history.faults.remove_job(job);
    }
}
