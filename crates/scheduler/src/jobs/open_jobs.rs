//! The plans of all open jobs.

use crate::history::durations::DurationModel;
use crate::jobs::plan::JobPlan;
use lupinrack_cluster_api::identity::{JobId, ServiceName};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The plans of a service's open jobs, and the jobs that have changed since the last refresh.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenJobs {
    plans: BTreeMap<JobId, JobPlan>,
    changed: BTreeSet<JobId>,
}

/// The inputs of [`OpenJobs::refresh`].
#[derive(Debug)]
pub(crate) struct JobsRefresh<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) service: &'a ServiceName,
    /// The total capacity of the service's servers.
    pub(crate) capacity: Resources,
    /// The expected durations of work.
    pub(crate) durations: &'a DurationModel,
    /// The time of the round.
    pub(crate) now: Millis,
    /// The wall-clock time.
    pub(crate) wall: WallMillis,
}

impl OpenJobs {
    /// Marks a job as changed, so that the next refresh updates its plan.
    pub(crate) fn set_changed(&mut self, job: JobId) {
        self.changed.insert(job);
    }

    /// The plans of the open jobs, by job.
    pub(crate) fn plans(&self) -> impl Iterator<Item = (&JobId, &JobPlan)> {
        self.plans.iter()
    }

    /// Refreshes the plans of changed jobs, and of jobs with an occurrence that has become due.
    /// Returns the changed jobs that are no longer open.
    pub(crate) fn refresh(&mut self, update: &JobsRefresh<'_>) -> Vec<JobId> {
        let mut closed = Vec::new();
        for job in std::mem::take(&mut self.changed) {
            if let Some(record) = update.open_job(job) {
                self.refresh_plan(job, record, update);
            } else {
                self.plans.remove(&job);
                closed.push(job);
            }
        }
        let due = self
            .plans
            .iter_mut()
            .filter(|(_, plan)| plan.has_newly_due_occurrence(update.wall));
        for (job, plan) in due {
            if let Some(record) = update.state.job(*job) {
                plan.refresh(record, update.now, update.wall);
            }
        }
        closed
    }

    fn refresh_plan(&mut self, job: JobId, record: &JobRecord, update: &JobsRefresh<'_>) {
        self.plans
            .entry(job)
            .or_insert_with(|| JobPlan::new(record, &update.capacity, update.durations))
            .refresh(record, update.now, update.wall);
    }
}

impl JobsRefresh<'_> {
    /// The record of a job, if the job belongs to the service and is open.
    fn open_job(&self, job: JobId) -> Option<&JobRecord> {
        self.state
            .job(job)
            .filter(|record| record.service == *self.service && record.is_open())
    }
}
