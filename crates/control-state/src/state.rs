//! The state machine.

use crate::configuration_document::ConfigurationDocument;
use crate::record::{JobRecord, TaskRecord, TaskStatus};
use crate::taken_changes::TakenChanges;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, Route};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{
    DiskId, FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName,
};
use lupinrack_cluster_api::job::{JobSpec, JobState};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::time::WallMillis;
use std::collections::{BTreeMap, BTreeSet};

/// The most places of servers that are remembered; beyond it the oldest go, and with them only a short cut.
pub const BINDINGS_MOST: usize = 20_000;

/// The most tasks that one time of a job may have; a record of them is made at the first start.
pub const TASKS_PER_OCCURRENCE_MOST: u64 = 100_000;

/// Who schedules a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Shard {
    /// The disk whose process owns it.
    pub owner: DiskId,
    /// The token of its move there.
    pub token: FencingToken,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ControlState {
    /// The newest configuration.
    pub configuration: Configuration,
    /// The same in the operator's words.
    pub document: ConfigurationDocument,
    /// The changes of it that were taken.
    pub changes_taken: TakenChanges,
    /// All jobs that are remembered.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Jobs that have not ended, by service; a service without any is not listed.
    pub open_jobs: BTreeMap<ServiceName, BTreeSet<JobId>>,
    /// Who schedules what.
    pub shards: BTreeMap<ServiceName, Shard>,
    /// Beside which agents the known lives of servers run.
    pub servers: BTreeMap<ServerId, AgentBinding>,
    /// The number of the last place that was recorded.
    pub bindings_recorded: u64,
}

/// Where a life of a server was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AgentBinding {
    /// The agent on its machine.
    pub agent: PeerAddress,
    /// Rises with every place that is recorded: of two lives beside one agent the later one has the higher number.
    pub order: u64,
}

impl ControlState {
    /// Applies the next committed operation.
    pub fn apply(&mut self, operation: &Operation) -> OperationResult {
        match operation {
            Operation::ChangeConfiguration(change) => self.change_configuration(change),
            Operation::AcceptJob {
                job,
                queue,
                spec,
                at,
            } => self.accept_job(*job, queue, spec, *at),
            Operation::CancelJob { job, at, .. } => self.cancel_job(*job, *at),
            Operation::TakeShard {
                service,
                token,
                owner,
                ..
            } => self.take_shard(service, *token, *owner),
            Operation::RecordStarts {
                service,
                token,
                starts,
            } => self.record_starts(service, *token, starts),
            Operation::RecordEnds {
                service,
                token,
                ends,
                at,
            } => self.record_ends(service, *token, ends, *at),
            Operation::RecordServer {
                service,
                token,
                server,
                agent,
            } => self.record_server(service, *token, server, *agent),
            Operation::ForgetJobs { ended_before } => self.forget_jobs(*ended_before),
            Operation::Noop => OperationResult::Done,
        }
    }

    /// A job's record.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// How many jobs of a queue have not ended.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let open = self.open_jobs.values().flatten();
        open.filter(|job| self.job(**job).is_some_and(|job| job.queue == *queue))
            .count() as u64
    }

    /// The newest configuration as one JSON object, in the words in which it was sent.
    pub fn document_json(&self) -> String {
        self.document.render()
    }

    /// Whether orders under this token are too old for the shard of a service.
    pub fn is_fenced(&self, service: &ServiceName, token: FencingToken) -> bool {
        self.shards
            .get(service)
            .is_some_and(|shard| token < shard.token)
    }

    /// Lives that were recorded beside this agent before this one, and are over therefore.
    pub fn earlier_incarnations(&self, server: &ServerId) -> Vec<&ServerId> {
        let Some(own) = self.servers.get(server) else {
            return Vec::new();
        };
        let earlier = |place: &AgentBinding| place.agent == own.agent && place.order < own.order;
        self.servers
            .iter()
            .filter(|(_, place)| earlier(place))
            .map(|(id, _)| id)
            .collect()
    }

    fn record_server(
        &mut self,
        service: &ServiceName,
        token: FencingToken,
        server: &ServerId,
        agent: PeerAddress,
    ) -> OperationResult {
        if self.is_fenced(service, token) {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        if !self.servers.contains_key(server) {
            self.drop_unused_bindings();
            self.bindings_recorded += 1;
            let place = AgentBinding {
                agent,
                order: self.bindings_recorded,
            };
            self.servers.insert(server.clone(), place);
        }
        OperationResult::Done
    }

    /// Drops the places of lives that are neither the newest beside their agent nor have a run that is recorded.
    fn drop_unused_bindings(&mut self) {
        let mut newest: BTreeMap<PeerAddress, u64> = BTreeMap::new();
        for place in self.servers.values() {
            let order = newest.entry(place.agent).or_default();
            *order = place.order.max(*order);
        }
        let used = self.servers_in_use();
        self.servers.retain(|id, place| {
            newest.get(&place.agent) == Some(&place.order) || used.contains(id)
        });
        while self.servers.len() >= BINDINGS_MOST {
            let oldest = self
                .servers
                .iter()
                .min_by_key(|(_, place)| place.order)
                .map(|(id, _)| id.clone());
            oldest.map(|id| self.servers.remove(&id));
        }
    }

    /// The servers to which a task is assigned.
    fn servers_in_use(&self) -> BTreeSet<ServerId> {
        let occurrences = self.jobs.values().flat_map(|job| job.occurrences.values());
        let tasks = occurrences.flat_map(|occurrence| occurrence.steps.iter().flatten());
        let server_of = |task: &TaskRecord| match &task.status {
            TaskStatus::Assigned { server } => Some(server.clone()),
            TaskStatus::Waiting | TaskStatus::Done => None,
        };
        tasks.filter_map(server_of).collect()
    }

    fn accept_job(
        &mut self,
        job: JobId,
        queue: &QueueName,
        spec: &JobSpec,
        at: WallMillis,
    ) -> OperationResult {
        let Some(route) = self.configuration.queue(queue) else {
            return OperationResult::Refused(self.refusal_without_queue(job));
        };
        if let Some(known) = self.jobs.get(&job) {
            return OperationResult::Job(known.state);
        }
        let tasks = tasks_per_occurrence(spec);
        if tasks > TASKS_PER_OCCURRENCE_MOST {
            return OperationResult::Refused(ErrorKind::TooLarge);
        }
        let record = new_record(route, spec, at);
        self.open_jobs
            .entry(record.service.clone())
            .or_default()
            .insert(job);
        self.jobs.insert(job, record);
        if tasks == 0 {
            return self.finish_job(job, JobState::Succeeded, at);
        }
        OperationResult::Job(JobState::Queued)
    }

    /// Why a job is not accepted whose queue is not configured. Of one that was taken while it was, a refusal would be
    /// false: it is kept.
    pub fn refusal_without_queue(&self, job: JobId) -> ErrorKind {
        let is_configured = |job: &JobRecord| self.configuration.queue(&job.queue).is_some();
        match self.job(job) {
            Some(known) if !is_configured(known) => ErrorKind::InDoubt,
            _ => ErrorKind::UnknownQueue,
        }
    }

    fn cancel_job(&mut self, job: JobId, at: WallMillis) -> OperationResult {
        self.finish_job(job, JobState::Cancelled, at)
    }

    /// Brings a job to its final state; one that has come to one keeps it. The result is the job's state.
    pub(crate) fn finish_job(
        &mut self,
        id: JobId,
        state: JobState,
        at: WallMillis,
    ) -> OperationResult {
        let Some(job) = self.jobs.get_mut(&id) else {
            return OperationResult::Refused(ErrorKind::UnknownJob);
        };
        if !job.is_open() {
            return OperationResult::Job(job.state);
        }
        job.state = state;
        job.ended_at = Some(at);
        let service = job.service.clone();
        self.close_job(&service, id);
        OperationResult::Job(state)
    }

    /// Takes a job off the list of those that have not ended.
    fn close_job(&mut self, service: &ServiceName, job: JobId) {
        let Some(open) = self.open_jobs.get_mut(service) else {
            return;
        };
        open.remove(&job);
        if open.is_empty() {
            self.open_jobs.remove(service);
        }
    }

    fn take_shard(
        &mut self,
        service: &ServiceName,
        token: FencingToken,
        owner: DiskId,
    ) -> OperationResult {
        if self
            .shards
            .get(service)
            .is_some_and(|shard| token <= shard.token)
        {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        self.shards.insert(service.clone(), Shard { owner, token });
        OperationResult::Done
    }

    fn forget_jobs(&mut self, ended_before: WallMillis) -> OperationResult {
        self.jobs
            .retain(|_, job| job.ended_at.is_none_or(|ended_at| ended_at >= ended_before));
        OperationResult::Done
    }
}

/// How many tasks one time of a job has.
fn tasks_per_occurrence(spec: &JobSpec) -> u64 {
    spec.steps.iter().fold(0, |sum: u64, step| {
        sum.saturating_add(u64::from(step.count))
    })
}

/// The record of a job that comes by a route.
fn new_record(route: &Route, spec: &JobSpec, at: WallMillis) -> JobRecord {
    JobRecord {
        queue: route.name.clone(),
        service: route.service.clone(),
        priority: route.priority,
        max_retries: route.max_retries,
        target_latency_ms: route.target_latency_ms,
        extension_milli: route.extension_milli,
        spec: spec.clone(),
        accepted_at: at,
        state: JobState::Queued,
        ended_at: None,
        occurrences: BTreeMap::new(),
        occurrences_done: 0,
    }
}
