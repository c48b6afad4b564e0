//! Adoption: a new owner takes over the jobs and runs in the replicated state.

use crate::jobs::open_jobs::OpenJobs;
use crate::runs::profile::RunProfile;
use crate::runs::run::Run;
use crate::runs::table::RunTable;
use lupinrack_cluster_api::identity::{JobId, ServiceName, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{ControlState, JobRecord};

/// Adopts the jobs and runs of a service, including runs of jobs that have ended or were handed over
/// to another service, because such runs may still use capacity.
pub(crate) fn adopt(
    state: &ControlState,
    service: &ServiceName,
    runs: &mut RunTable,
    jobs: &mut OpenJobs,
    now: Millis,
) {
    for job in state.jobs().jobs_with_runs(service) {
        let Some(record) = state.job(job) else {
            continue;
        };
        jobs.set_changed(job);
        for start in assigned_starts(job, record, service) {
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

/// The starts of a job in this service whose ends are not recorded.
fn assigned_starts(job: JobId, record: &JobRecord, service: &ServiceName) -> Vec<StartRecord> {
    let mut starts = Vec::new();
    for (number, occurrence) in record.occurrences.open() {
        for (step, step_record) in occurrence.steps() {
            for (index, task) in step_record.tasks() {
                let Some(server) = task.server() else {
                    continue;
                };
                if record.run_service(task) != Some(service) {
                    continue;
                }
                starts.push(StartRecord {
                    task: TaskId {
                        job,
                        occurrence: *number,
                        step,
                        index: *index,
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
