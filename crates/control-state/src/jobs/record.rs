//! What is recorded of a job.

use crate::jobs::occurrence::Occurrence;
use crate::jobs::occurrences::Occurrences;
use crate::jobs::queue::JobQueue;
use crate::jobs::task::TaskRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, Route};
use lupinrack_cluster_api::identity::{Attempt, ServiceName};
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::time::WallMillis;

/// A job. Its values from the route are those of the configuration at the time when the job was
/// accepted; only its queue and its service follow later changes.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobRecord {
    /// Its queue.
    pub queue: JobQueue,
    /// The service whose owner schedules it, and on whose servers its tasks start. Runs that began
    /// before the job was handed over stay on servers of its earlier services.
    pub service: ServiceName,
    /// Its priority, from its route; 0 is the most urgent.
    pub priority: u32,
    /// After how many failed runs of one task the job has failed, from its route.
    pub max_retries: u32,
    /// The latency target in milliseconds, from its route.
    pub target_latency_ms: u64,
    /// In how many times its longest chain of work the job should be done, in thousandths; from its
    /// route.
    pub extension_milli: u64,
    /// The job as its client submitted it.
    pub spec: JobSpec,
    /// When it was accepted, by the clock of the head.
    pub accepted_at: WallMillis,
    /// Its state, as clients see it.
    pub state: JobState,
    /// When it reached its final state, by the clock of the process that ordered the operation.
    pub ended_at: Option<WallMillis>,
    /// The occurrences with at least one started task.
    pub occurrences: Occurrences,
}

impl JobRecord {
    /// A job that was submitted on a route.
    pub(crate) fn new(route: &Route, spec: &JobSpec, accepted_at: WallMillis) -> Self {
        Self {
            queue: route.name.clone().into(),
            service: route.service.clone(),
            priority: route.priority,
            max_retries: route.max_retries,
            target_latency_ms: route.target_latency_ms,
            extension_milli: route.extension_milli,
            spec: spec.clone(),
            accepted_at,
            state: JobState::Queued,
            ended_at: None,
            occurrences: Occurrences::default(),
        }
    }

    /// How many occurrences it has, at least 1.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.repeat.max(1)
    }

    /// When an occurrence is due, in milliseconds since 1970; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.spec.repeat == 0 {
            return 0;
        }
        let offset = u64::from(occurrence).saturating_mul(self.spec.interval_ms);
        self.spec.start_at_ms.saturating_add(offset)
    }

    /// A task's record; none if there is no such task, or its occurrence was not started yet or is
    /// done.
    pub fn task(&self, occurrence: u32, step: u32, index: u32) -> Option<&TaskRecord> {
        let occurrence = self.occurrences.open().get(&occurrence)?;
        let specified = self.step(step)?;
        (index < specified.count).then(|| occurrence.task(step, index))
    }

    /// The service that the job has to be handed over to, if the configuration directs its queue to
    /// another one than its own.
    pub fn redirected_to<'a>(&self, configuration: &'a Configuration) -> Option<&'a ServiceName> {
        let service = self.queue.service(configuration)?;
        (self.is_open() && *service != self.service).then_some(service)
    }

    /// The service of the server that a task of this job is assigned to.
    pub fn run_service<'a>(&'a self, task: &'a TaskRecord) -> Option<&'a ServiceName> {
        task.run_service(&self.service)
    }

    /// The services in which runs of the job have no recorded end, once for each run.
    pub(crate) fn services_of_runs(&self) -> impl Iterator<Item = &ServiceName> {
        self.tasks().filter_map(|task| self.run_service(task))
    }

    /// How many tasks were started and have not succeeded.
    pub fn started_tasks(&self) -> u64 {
        self.tasks().count() as u64
    }

    /// All tasks that were started and have not succeeded.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = &TaskRecord> {
        let occurrences = self.occurrences.open().values();
        occurrences.flat_map(Occurrence::tasks)
    }

    /// The highest number of a start of one of its tasks.
    pub(crate) fn highest_attempt(&self) -> Attempt {
        self.occurrences.highest_attempt()
    }

    /// Moves the job to another service. Its runs stay where they are.
    pub(crate) fn move_to(&mut self, service: ServiceName) {
        let from = std::mem::replace(&mut self.service, service);
        let occurrences = self.occurrences.open_mut().values_mut();
        for task in occurrences.flat_map(Occurrence::tasks_mut) {
            task.job_moved(&from, &self.service);
        }
    }

    /// Whether it has not reached its final state.
    pub fn is_open(&self) -> bool {
        !self.state.is_final()
    }

    /// One of its steps.
    pub fn step(&self, step: u32) -> Option<&Step> {
        self.spec.steps.get(step as usize)
    }

    /// After how many failed runs a task has failed for good: `max_retries`, but at least one.
    pub fn failure_limit(&self) -> u32 {
        self.max_retries.max(1)
    }

    /// Whether all tasks of an occurrence have succeeded.
    pub fn occurrence_is_done(&self, occurrence: u32) -> bool {
        self.occurrences.done().contains(occurrence)
    }

    /// Whether all tasks of a step have succeeded in an occurrence; false if there is no such step.
    pub fn step_is_done(&self, occurrence: u32, step: u32) -> bool {
        let Some(specified) = self.step(step) else {
            return false;
        };
        if specified.count == 0 || self.occurrence_is_done(occurrence) {
            return true;
        }
        let started = self.occurrences.open().get(&occurrence);
        let record = started.and_then(|started| started.step(step));
        record.is_some_and(|record| record.done().len() >= specified.count)
    }
}
