//! Runs that remain in a service in which their job is not open.
//!
//! A job leaves a service when it ends or is handed over, but its runs there go on until the owner
//! of the service has recorded their ends. So the service needs an owner until then, even if the
//! configuration does not name it.

use crate::jobs::record::JobRecord;
use lupinrack_cluster_api::identity::{JobId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

/// For each service, the jobs that are not open in it and have a run in it whose end is not
/// recorded. It follows from the records of the jobs, and is not part of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RemainingRuns(BTreeMap<ServiceName, BTreeSet<JobId>>);

impl RemainingRuns {
    /// Finds the remaining runs of all jobs.
    pub(crate) fn of(records: &BTreeMap<JobId, JobRecord>) -> Self {
        let mut remaining = Self::default();
        for (id, record) in records {
            let services: BTreeSet<&ServiceName> = record.services_of_runs().collect();
            for service in services {
                remaining.update(service, *id, record);
            }
        }
        remaining
    }

    /// The services with remaining runs.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.0.keys()
    }

    /// The jobs with remaining runs in a service.
    pub(crate) fn jobs(&self, service: &ServiceName) -> impl Iterator<Item = JobId> + '_ {
        self.0.get(service).into_iter().flatten().copied()
    }

    /// Whether a job has remaining runs in a service.
    pub(crate) fn contains(&self, service: &ServiceName, job: JobId) -> bool {
        self.0.get(service).is_some_and(|jobs| jobs.contains(&job))
    }

    /// Updates the entry of a job for this service.
    pub(crate) fn update(&mut self, service: &ServiceName, id: JobId, job: &JobRecord) {
        let is_open_here = job.is_open() && job.service == *service;
        if !is_open_here && job.services_of_runs().any(|of_run| of_run == service) {
            self.0.entry(service.clone()).or_default().insert(id);
        } else {
            self.remove(service, id);
        }
    }

    fn remove(&mut self, service: &ServiceName, id: JobId) {
        let Some(jobs) = self.0.get_mut(service) else {
            return;
        };
        jobs.remove(&id);
        if jobs.is_empty() {
            self.0.remove(service);
        }
    }

    /// Keeps only jobs that are still recorded.
    pub(crate) fn retain_recorded(&mut self, records: &BTreeMap<JobId, JobRecord>) {
        self.0.retain(|_, jobs| {
            jobs.retain(|id| records.contains_key(id));
            !jobs.is_empty()
        });
    }
}
