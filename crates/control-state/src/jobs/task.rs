//! Tasks.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::{Attempt, ServerId, ServiceName};

/// Whether a task runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskStatus {
    /// It is not assigned to any server.
    #[default]
    Waiting,
    /// Its newest start was recorded for this server of its job's service, and the end of that run
    /// is not recorded yet.
    Assigned {
        /// The server.
        server: ServerId,
    },
    /// It has succeeded, and is never started again.
    Done,
    /// Like [`TaskStatus::Assigned`], but its job was handed over since: the server belongs to an
    /// earlier service of the job.
    AssignedInFormerService {
        /// The server.
        server: ServerId,
        /// The service of the server.
        service: ServiceName,
    },
}

/// What is recorded of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TaskRecord {
    /// Whether it runs.
    pub status: TaskStatus,
    /// The number of its newest start; 0 before the first.
    pub attempt: Attempt,
    /// How many of its runs have failed. A failed run of a gang counts once for each member.
    pub failed: u32,
    /// The newest start whose failure was counted; 0 for none.
    pub failed_attempt: Attempt,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// The record of a task that was never started.
pub(crate) static NEVER_STARTED: TaskRecord = with_status(TaskStatus::Waiting);

/// The record of a task that has succeeded. The numbers of its starts are not kept.
pub(crate) static DONE: TaskRecord = with_status(TaskStatus::Done);

const fn with_status(status: TaskStatus) -> TaskRecord {
    TaskRecord {
        status,
        attempt: 0,
        failed: 0,
        failed_attempt: 0,
        checkpoint: String::new(),
    }
}

impl TaskRecord {
    /// Whether it has succeeded.
    pub fn is_done(&self) -> bool {
        self.status == TaskStatus::Done
    }

    /// Whether this start was recorded, and the end of that run is not recorded yet.
    pub fn is_assigned(&self, attempt: Attempt) -> bool {
        self.server().is_some() && self.attempt == attempt
    }

    /// The server that it is assigned to.
    pub fn server(&self) -> Option<&ServerId> {
        match &self.status {
            TaskStatus::Assigned { server }
            | TaskStatus::AssignedInFormerService { server, .. } => Some(server),
            TaskStatus::Waiting | TaskStatus::Done => None,
        }
    }

    /// The service of the server that it is assigned to, if its job belongs to `job_service`.
    pub(crate) fn run_service<'a>(
        &'a self,
        job_service: &'a ServiceName,
    ) -> Option<&'a ServiceName> {
        match &self.status {
            TaskStatus::Assigned { .. } => Some(job_service),
            TaskStatus::AssignedInFormerService { service, .. } => Some(service),
            TaskStatus::Waiting | TaskStatus::Done => None,
        }
    }

    /// Keeps the service of the server that it is assigned to when its job moves between services.
    pub(crate) fn job_moved(&mut self, from: &ServiceName, to: &ServiceName) {
        match &mut self.status {
            TaskStatus::Assigned { server } => {
                self.status = TaskStatus::AssignedInFormerService {
                    server: server.clone(),
                    service: from.clone(),
                };
            }
            TaskStatus::AssignedInFormerService { server, service } if service == to => {
                self.status = TaskStatus::Assigned {
                    server: server.clone(),
                };
            }
            _ => {}
        }
    }

    /// Unassigns the task from its server, and keeps the checkpoint of the ended run, if there is
    /// one.
    pub(crate) fn release(&mut self, checkpoint: &str) {
        self.status = TaskStatus::Waiting;
        if !checkpoint.is_empty() {
            checkpoint.clone_into(&mut self.checkpoint);
        }
    }

    /// Counts the failure of a run; a run is counted once.
    pub(crate) fn count_failure(&mut self, attempt: Attempt) {
        if self.attempt == attempt && self.failed_attempt != attempt {
            self.failed = self.failed.saturating_add(1);
            self.failed_attempt = attempt;
        }
    }
}
