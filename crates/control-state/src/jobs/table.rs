//! The table of jobs.

use crate::jobs::namesakes::Namesakes;
use crate::jobs::queue::{QueueReference, RouteMoves};
use crate::jobs::record::JobRecord;
use crate::jobs::remaining_runs::RemainingRuns;
use crate::jobs::task::TaskRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, QueueAddress, Route};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{Attempt, JobId, QueueName, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::{JobSpec, JobState};
use lupinrack_cluster_api::operation::OperationResult;
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::time::WallMillis;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// The maximum number of tasks in one occurrence of a job. All of them are recorded at the first
/// start in the occurrence.
pub const MAX_TASKS_PER_OCCURRENCE: u64 = 100_000;

/// All jobs that have not been removed, each under its key. The key is the identity that the client
/// chose, unless a job of another queue has it already (see [`Namesakes`]). A [`JobId`] or [`TaskId`]
/// holds the key, except in calls of clients and in messages to and from servers.
///
/// Invariant: `open` lists exactly the jobs that have not ended, each under its service; a service
/// without any is not listed. `remaining_runs` follows from `records`.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize)]
pub struct JobTable {
    records: BTreeMap<JobId, JobRecord>,
    open: BTreeMap<ServiceName, BTreeSet<JobId>>,
    #[borsh(skip)]
    remaining_runs: RemainingRuns,
    /// Encoded apart, at the end of the state.
    #[borsh(skip)]
    pub(crate) namesakes: Namesakes,
    /// Where jobs were submitted, by key, unless it is the address of their route. Encoded apart, at
    /// the end of the state.
    #[borsh(skip)]
    submitted_to: BTreeMap<JobId, QueueAddress>,
}

impl BorshDeserialize for JobTable {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let records = BorshDeserialize::deserialize_reader(reader)?;
        let open = BorshDeserialize::deserialize_reader(reader)?;
        Ok(Self {
            remaining_runs: RemainingRuns::of(&records),
            records,
            open,
            namesakes: Namesakes::default(),
            submitted_to: BTreeMap::new(),
        })
    }
}

impl JobTable {
    /// A job's record.
    pub fn get(&self, job: JobId) -> Option<&JobRecord> {
        self.records.get(&job)
    }

    pub(crate) fn get_mut(&mut self, job: JobId) -> Option<&mut JobRecord> {
        self.records.get_mut(&job)
    }

    /// The jobs of different queues with the same identity.
    pub fn namesakes(&self) -> &Namesakes {
        &self.namesakes
    }

    pub(crate) fn set_namesakes(&mut self, namesakes: Namesakes) {
        self.namesakes = namesakes;
    }

    pub(crate) fn submitted_to(&self) -> &BTreeMap<JobId, QueueAddress> {
        &self.submitted_to
    }

    pub(crate) fn set_submitted_to(&mut self, submitted_to: BTreeMap<JobId, QueueAddress>) {
        self.submitted_to = submitted_to;
    }

    /// The job of this identity to whose queue a call refers most closely, with its key.
    pub(crate) fn find(
        &self,
        target: &Target,
        id: JobId,
        configuration: &Configuration,
    ) -> Option<(JobId, QueueReference)> {
        let route = configuration.route(&target.host, &target.path);
        let reference = |key: JobId| {
            let queue = &self.records.get(&key)?.queue;
            let submitted_to = self.submitted_to.get(&key);
            let reference = queue.reference(submitted_to, target, route, configuration)?;
            Some((key, reference))
        };
        let jobs = self.namesakes.keys(id).filter_map(reference);
        jobs.max_by_key(|(key, reference)| (*reference, *key))
    }

    /// The keys of all jobs with the identity of one of these.
    pub fn with_namesakes(&self, jobs: BTreeSet<JobId>) -> BTreeSet<JobId> {
        if self.namesakes.is_empty() {
            return jobs;
        }
        let others = jobs.iter().flat_map(|job| self.namesakes.others(*job));
        let others: Vec<JobId> = others.collect();
        jobs.into_iter().chain(others).collect()
    }

    /// The name of a task on servers.
    pub fn name_on_servers(&self, task: TaskId) -> TaskId {
        TaskId {
            job: self.namesakes.identity(task.job),
            ..task
        }
    }

    /// The task whose newest start has this number, of those that have this name on servers. If there
    /// is none, the run is not one of a recorded task.
    pub fn task_of_run(&self, name: TaskId, attempt: Attempt) -> TaskId {
        if !self.namesakes.has_shared_attempts(name.job) {
            return name;
        }
        let tasks = self
            .namesakes
            .keys(name.job)
            .map(|job| TaskId { job, ..name });
        let mut newest = tasks.filter(|task| self.latest_attempt(*task) == attempt);
        newest.next().unwrap_or(name)
    }

    /// Whether a namesake of the task, of another job, is assigned to this server.
    pub fn has_namesake_on(&self, task: TaskId, server: &ServerId) -> bool {
        self.namesake_tasks(task)
            .any(|namesake| self.task(namesake).and_then(TaskRecord::server) == Some(server))
    }

    /// The tasks of other jobs that have the same name on servers.
    pub fn namesake_tasks(&self, task: TaskId) -> impl Iterator<Item = TaskId> + '_ {
        let others = self.namesakes.others(task.job);
        others.map(move |job| TaskId { job, ..task })
    }

    /// The number of the next start of a task.
    pub fn next_attempt(&self, task: TaskId) -> Attempt {
        self.highest_attempt(task).saturating_add(1)
    }

    /// The highest number of a start of a task, or of another one with the same name on servers.
    pub(crate) fn highest_attempt(&self, task: TaskId) -> Attempt {
        let own = self.latest_attempt(task);
        if !self.namesakes.has_shared_attempts(task.job) {
            return own;
        }
        let namesakes = self.namesake_tasks(task);
        let highest = namesakes.map(|task| self.latest_attempt(task)).max();
        own.max(highest.unwrap_or(0))
            .max(self.namesakes.attempt_floor(task.job))
    }

    fn latest_attempt(&self, task: TaskId) -> Attempt {
        self.task(task).map_or(0, |record| record.attempt)
    }

    fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        let job = self.get(task.job)?;
        job.task(task.occurrence, task.step, task.index)
    }

    /// All jobs, by key.
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

    /// The services in which runs go on of jobs that have ended, or were handed over to another
    /// service.
    pub fn services_with_remaining_runs(&self) -> impl Iterator<Item = &ServiceName> {
        self.remaining_runs.services()
    }

    /// The jobs that may have runs in a service without a recorded end: those that are open in it,
    /// and those that have left it.
    pub fn jobs_with_runs(&self, service: &ServiceName) -> impl Iterator<Item = JobId> + '_ {
        let open = self.open_jobs(service);
        open.chain(self.remaining_runs.jobs(service))
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
        let tasks = self.records.values().flat_map(JobRecord::tasks);
        tasks.filter_map(TaskRecord::server).cloned().collect()
    }

    /// Accepts a job that was submitted on a route, unless a job of any queue has its identity.
    pub(crate) fn accept_unless_known(
        &mut self,
        id: JobId,
        route: &Route,
        spec: &JobSpec,
        at: WallMillis,
    ) -> OperationResult {
        if let Some(known) = self.get(id) {
            return OperationResult::Job(known.state);
        }
        self.accept(id, route.address(), route, spec, at)
    }

    /// Accepts a job that was submitted to this address and served by this route. No job of the
    /// identity was submitted there.
    pub(crate) fn accept(
        &mut self,
        id: JobId,
        submitted_to: QueueAddress,
        route: &Route,
        spec: &JobSpec,
        at: WallMillis,
    ) -> OperationResult {
        let tasks = tasks_per_occurrence(spec);
        if tasks > MAX_TASKS_PER_OCCURRENCE {
            return OperationResult::Refused(ErrorKind::TooLarge);
        }
        if self.namesakes.is_other_key(id) {
            return OperationResult::Refused(ErrorKind::Overloaded);
        }
        let has_namesake = self.records.contains_key(&id) || self.namesakes.has_shared_attempts(id);
        let key = if has_namesake {
            self.namesakes.add(id, &self.records)
        } else {
            id
        };
        let record = JobRecord::new(route, spec, at);
        self.open
            .entry(record.service.clone())
            .or_default()
            .insert(key);
        self.records.insert(key, record);
        if submitted_to != route.address() {
            self.submitted_to.insert(key, submitted_to);
        }
        if tasks == 0 {
            return self.end(key, JobState::Succeeded, at);
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
        self.update_remaining_runs(&service, id);
        OperationResult::Job(state)
    }

    /// Hands open jobs of a service over to the services to which the configuration directs their
    /// queues.
    pub(crate) fn hand_over(
        &mut self,
        service: &ServiceName,
        jobs: &[JobId],
        configuration: &Configuration,
    ) {
        for id in jobs {
            let Some(job) = self.records.get_mut(id) else {
                continue;
            };
            if job.service != *service {
                continue;
            }
            let Some(target) = job.redirected_to(configuration).cloned() else {
                continue;
            };
            job.move_to(target.clone());
            self.remove_open(service, *id);
            self.update_remaining_runs(service, *id);
            self.update_remaining_runs(&target, *id);
            self.open.entry(target).or_default().insert(*id);
        }
    }

    fn update_remaining_runs(&mut self, service: &ServiceName, id: JobId) {
        if let Some(job) = self.records.get(&id) {
            self.remaining_runs.update(service, id, job);
        }
    }

    /// Updates the remaining runs after the end of a run in this service was recorded.
    pub(crate) fn run_ended(&mut self, service: &ServiceName, id: JobId) {
        if self.remaining_runs.contains(service, id) {
            self.update_remaining_runs(service, id);
        }
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
        let is_kept = |job: &JobRecord| job.ended_at.is_none_or(|ended_at| ended_at >= moment);
        for (id, job) in &self.records {
            if self.namesakes.has_shared_attempts(*id) && !is_kept(job) {
                let highest = job.highest_attempt();
                self.namesakes.raise_attempt_floor(*id, highest);
            }
        }
        self.records.retain(|_, job| is_kept(job));
        self.remaining_runs.retain_recorded(&self.records);
        self.namesakes.retain_recorded(&self.records);
        self.submitted_to
            .retain(|id, _| self.records.contains_key(id));
    }
}

fn tasks_per_occurrence(spec: &JobSpec) -> u64 {
    spec.steps.iter().fold(0, |sum: u64, step| {
        sum.saturating_add(u64::from(step.count))
    })
}
