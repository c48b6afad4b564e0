//! Operations that the local replica has applied.

use super::Scheduler;
use crate::run_id::RunId;
use lupinrack_cluster_api::identity::{JobId, ServiceName};
use lupinrack_cluster_api::operation::{EndRecord, Operation, OperationResult, StartRecord};
use lupinrack_cluster_api::time::Millis;

impl Scheduler {
    /// Handles an operation that the local replica has applied. The operation may belong to any
    /// service.
    pub fn applied(&mut self, operation: &Operation, result: &OperationResult, now: Millis) {
        match operation {
            Operation::AcceptJob { job, .. }
            | Operation::CancelJob { job, .. }
            | Operation::AcceptJobAt { job, .. }
            | Operation::CancelJobAt { job, .. } => {
                self.jobs.set_changed(*job);
            }
            Operation::RecordStarts {
                service,
                token,
                starts,
            } if *service == self.service && *token == self.token => {
                if let OperationResult::Starts(accepted) = result {
                    self.starts_applied(starts, accepted, now);
                }
            }
            Operation::RecordEnds { service, ends, .. }
                if !matches!(result, OperationResult::Refused(_)) =>
            {
                if *service == self.service {
                    self.ends_applied(ends);
                } else {
                    self.ends_elsewhere_applied(ends);
                }
            }
            Operation::ChangeConfiguration(_) => self.jobs.set_queues_changed(),
            Operation::HandOverJobs { service, jobs, .. }
                if !matches!(result, OperationResult::Refused(_)) =>
            {
                self.hand_over_applied(service, jobs);
            }
            _ => {}
        }
    }

    fn starts_applied(&mut self, starts: &[StartRecord], accepted: &[bool], now: Millis) {
        self.tracker.starts_applied(starts, accepted, now);
        for start in starts {
            self.jobs.set_changed(start.task.job);
        }
    }

    fn ends_applied(&mut self, ends: &[EndRecord]) {
        for end in ends {
            let run = RunId::new(end.task, end.attempt);
            self.tracker.end_recorded(&mut self.servers, run);
            self.jobs.set_changed(end.task.job);
        }
    }

    /// Handles ends of runs in another service. A job that was handed over has runs in several.
    fn ends_elsewhere_applied(&mut self, ends: &[EndRecord]) {
        for end in ends {
            let job = end.task.job;
            if self.jobs.contains(job) || self.tracker.runs.of_job(job).next().is_some() {
                self.jobs.set_changed(job);
            }
        }
    }

    /// Handles a hand-over. The jobs have left `service`, and may belong to this one now.
    fn hand_over_applied(&mut self, service: &ServiceName, jobs: &[JobId]) {
        for job in jobs {
            if *service == self.service {
                self.tracker.submissions.hand_over_applied(*job);
            }
            self.jobs.set_changed(*job);
        }
    }
}
