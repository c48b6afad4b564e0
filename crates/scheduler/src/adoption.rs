//! What a new owner takes over from the replicated state.

use crate::jobs::board::JobBoard;
use crate::runs::profile::RunProfile;
use crate::runs::run::Run;
use crate::runs::table::RunTable;
use lupinrack_cluster_api::identity::{JobId, ServiceName, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{ControlState, JobRecord, TaskStatus};

/// Takes over the jobs and runs of a service. Runs of jobs that are not open any longer are among
/// them: they may still take capacity.
pub(crate) fn adopt(
    state: &ControlState,
    service: &ServiceName,
    runs: &mut RunTable,
    jobs: &mut JobBoard,
    now: Millis,
) {
    let of_service = state
        .jobs()
        .iter()
        .filter(|(_, record)| record.service == *service);
    for (job, record) in of_service {
        let starts = assigned_starts(job, record);
        if !starts.is_empty() || record.is_open() {
            jobs.set_changed(job);
        }
        for start in starts {
            if let Some(step) = record.step(start.task.step) {
                runs.insert(Run::inherited(
                    &start,
                    RunProfile::new(record, step, 1.0),
                    now,
                ));
            }
        }
    }
}

/// The starts of a job that are recorded without an end.
fn assigned_starts(job: JobId, record: &JobRecord) -> Vec<StartRecord> {
    let mut starts = Vec::new();
    for (number, occurrence) in &record.occurrences {
        for (step, tasks) in (0..).zip(&occurrence.steps) {
            for (index, task) in (0..).zip(tasks) {
                let TaskStatus::Assigned { server } = &task.status else {
                    continue;
                };
                starts.push(StartRecord {
                    task: TaskId {
                        job,
                        occurrence: *number,
                        step,
                        index,
                    },
                    attempt: task.attempt,
                    server: server.clone(),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
    }
    starts
}
