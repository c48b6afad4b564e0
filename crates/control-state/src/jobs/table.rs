//! The table of jobs.

use crate::jobs::queue::RouteMoves;
use crate::jobs::record::JobRecord;
use crate::jobs::task::TaskRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, Route};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, QueueName, ServerId, ServiceName};
use lupinrack_cluster_api::job::{JobSpec, JobState};
use lupinrack_cluster_api::operation::OperationResult;
use lupinrack_cluster_api::time::WallMillis;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of tasks in one occurrence of a job. All of them are recorded at the first
/// start in the occurrence.
pub const MAX_TASKS_PER_OCCURRENCE: u64 = 100_000;

/// All jobs that have not been removed.
///
/// Invariant: `open` lists exactly the jobs that have not ended, each under its service; a service
/// without any is not listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobTable {
    records: BTreeMap<JobId, JobRecord>,
    open: BTreeMap<ServiceName, BTreeSet<JobId>>,
}

impl JobTable {
    /// A job's record.
    pub fn get(&self, job: JobId) -> Option<&JobRecord> {
        self.records.get(&job)
    }

    pub(crate) fn get_mut(&mut self, job: JobId) -> Option<&mut JobRecord> {
        self.records.get_mut(&job)
    }

    /// All jobs, by identity.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.records.iter().map(|(id, record)| (*id, record))
    }

    /// The records of all jobs.
    pub fn values(&self) -> impl Iterator<Item = &JobRecord> {
        self.records.values()
    }

    /// How many jobs there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The jobs of a service that have not ended.
    pub fn open_jobs(&self, service: &ServiceName) -> impl Iterator<Item = JobId> + '_ {
        self.open.get(service).into_iter().flatten().copied()
    }

    /// The jobs that have not ended, by service; a service without any is not listed.
    pub fn open_by_service(&self) -> &BTreeMap<ServiceName, BTreeSet<JobId>> {
        &self.open
    }

    /// How many jobs of a queue have not ended, with those of former routes that its route serves.
    pub(crate) fn pending(&self, queue: &QueueName, configuration: &Configuration) -> u64 {
        let is_of_queue = |id: &&JobId| {
            self.get(**id)
                .is_some_and(|job| job.queue.is_served_by(queue, configuration))
        };
        self.open.values().flatten().filter(is_of_queue).count() as u64
    }

    /// The servers to which a task is assigned.
    pub(crate) fn servers_in_use(&self) -> BTreeSet<ServerId> {
        let occurrences = self
            .records
            .values()
            .flat_map(|job| job.occurrences.values());
        let tasks = occurrences.flat_map(|occurrence| occurrence.steps.iter().flatten());
        tasks.filter_map(TaskRecord::server).cloned().collect()
    }

    /// Accepts a job that was submitted on a route. The record of a known job is not changed.
    pub(crate) fn accept(
        &mut self,
        id: JobId,
        route: &Route,
        spec: &JobSpec,
        at: WallMillis,
    ) -> OperationResult {
        if let Some(known) = self.get(id) {
            return OperationResult::Job(known.state);
        }
        let tasks = tasks_per_occurrence(spec);
        if tasks > MAX_TASKS_PER_OCCURRENCE {
            return OperationResult::Refused(ErrorKind::TooLarge);
        }
        let record = JobRecord::new(route, spec, at);
        self.open
            .entry(record.service.clone())
            .or_default()
            .insert(id);
        self.records.insert(id, record);
        if tasks == 0 {
            return self.end(id, JobState::Succeeded, at);
        }
        OperationResult::Job(JobState::Queued)
    }

    /// Updates the queues of all jobs after a change of the configuration.
    pub(crate) fn follow_routes(&mut self, before: &Configuration, after: &Configuration) {
        let moves = RouteMoves::between(before, after);
        for job in self.records.values_mut() {
            moves.follow(&mut job.queue);
        }
    }

    /// Cancels a job, unless it has ended.
    pub(crate) fn cancel(&mut self, id: JobId, at: WallMillis) -> OperationResult {
        self.end(id, JobState::Cancelled, at)
    }

    /// Brings a job to a final state, unless it has one already. The result is the job's state.
    pub(crate) fn end(&mut self, id: JobId, state: JobState, at: WallMillis) -> OperationResult {
        let Some(job) = self.get_mut(id) else {
            return OperationResult::Refused(ErrorKind::UnknownJob);
        };
        if !job.is_open() {
            return OperationResult::Job(job.state);
        }
        job.state = state;
        job.ended_at = Some(at);
        let service = job.service.clone();
        self.remove_open(&service, id);
        OperationResult::Job(state)
    }

    fn remove_open(&mut self, service: &ServiceName, id: JobId) {
        let Some(open) = self.open.get_mut(service) else {
            return;
        };
        open.remove(&id);
        if open.is_empty() {
            self.open.remove(service);
        }
    }

    /// Removes jobs that ended before this time.
    pub(crate) fn forget_ended_before(&mut self, moment: WallMillis) {
        self.records
            .retain(|_, job| job.ended_at.is_none_or(|ended_at| ended_at >= moment));
    }
}

fn tasks_per_occurrence(spec: &JobSpec) -> u64 {
    spec.steps.iter().fold(0, |sum: u64, step| {
        sum.saturating_add(u64::from(step.count))
    })
}
