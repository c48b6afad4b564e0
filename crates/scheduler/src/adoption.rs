//! Adoption: a new owner takes over the jobs and runs in the replicated state.

use crate::jobs::open_jobs::OpenJobs;
use crate::runs::profile::RunProfile;
use crate::runs::run::Run;
use crate::runs::table::RunTable;
use lupinrack_cluster_api::identity::{JobId, ServiceName, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{ControlState, JobRecord, TaskStatus};

/// Adopts the jobs and runs of a service, including runs of jobs that are no longer open, because
/// such runs may still use capacity.
pub(crate) fn adopt(
    state: &ControlState,
    service: &ServiceName,
    runs: &mut RunTable,
    jobs: &mut OpenJobs,
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

/// The starts of a job whose ends are not recorded.
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
