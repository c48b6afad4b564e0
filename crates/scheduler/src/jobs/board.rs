//! The job board: the plans of all open jobs.

use crate::history::durations::DurationModel;
use crate::jobs::plan::JobPlan;
use lupinrack_cluster_api::identity::{JobId, ServiceName};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The open jobs of a service, and which jobs changed since the last refresh.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobBoard {
    plans: BTreeMap<JobId, JobPlan>,
    changed: BTreeSet<JobId>,
}

/// What plans are brought up to date with.
#[derive(Debug)]
pub(crate) struct BoardUpdate<'a> {
    /// The replicated state.
    pub(crate) state: &'a ControlState,
    /// The service.
    pub(crate) service: &'a ServiceName,
    /// What all its servers have together.
    pub(crate) capacity: Resources,
    /// How long work takes.
    pub(crate) durations: &'a DurationModel,
    /// The moment.
    pub(crate) now: Millis,
    /// The time of day.
    pub(crate) wall: WallMillis,
}

impl JobBoard {
    /// Something of a job has changed: its plan is brought up to date with the next refresh.
    pub(crate) fn set_changed(&mut self, job: JobId) {
        self.changed.insert(job);
    }

    /// The plans of the open jobs.
    pub(crate) fn plans(&self) -> impl Iterator<Item = (&JobId, &JobPlan)> {
        self.plans.iter()
    }

    /// Brings the plans of changed jobs up to date, and those that an occurrence has become due of.
    /// Returns the changed jobs that are not open any longer.
    pub(crate) fn refresh(&mut self, update: &BoardUpdate<'_>) -> Vec<JobId> {
        let mut closed = Vec::new();
        for job in std::mem::take(&mut self.changed) {
            if let Some(record) = update.open_job(job) {
                self.refresh_plan(job, record, update);
            } else {
                self.plans.remove(&job);
                closed.push(job);
            }
        }
        let stale = self
            .plans
            .iter_mut()
            .filter(|(_, plan)| plan.is_stale(update.wall));
        for (job, plan) in stale {
            if let Some(record) = update.state.job(*job) {
                plan.refresh(record, update.now, update.wall);
            }
        }
        closed
    }

    fn refresh_plan(&mut self, job: JobId, record: &JobRecord, update: &BoardUpdate<'_>) {
        self.plans
            .entry(job)
            .or_insert_with(|| JobPlan::new(record, &update.capacity, update.durations))
            .refresh(record, update.now, update.wall);
    }
}

impl BoardUpdate<'_> {
    /// The record of a job, if it is an open one of the service.
    fn open_job(&self, job: JobId) -> Option<&JobRecord> {
        self.state
            .job(job)
            .filter(|record| record.service == *self.service && record.is_open())
    }
}
