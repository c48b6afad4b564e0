//! Lookups in the replicated state.

use crate::run_id::RunId;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_control_state::{ControlState, JobRecord, TaskRecord};

/// The record of a task; `None` before the first start of its occurrence and after the occurrence's
/// end.
pub(crate) fn task_record(job: &JobRecord, task: TaskId) -> Option<&TaskRecord> {
    job.task(task.occurrence, task.step, task.index)
}

/// Whether the replicated state assigns this run to this server and has no end for it.
pub(crate) fn is_assigned(state: &ControlState, server: &ServerId, run: RunId) -> bool {
    state
        .job(run.task.job)
        .and_then(|job| task_record(job, run.task))
        .is_some_and(|record| record.attempt == run.attempt && record.server() == Some(server))
}
