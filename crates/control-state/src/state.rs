//! The state machine.

use crate::agent_bindings::AgentBindings;
use crate::configuration::ConfigurationState;
use crate::jobs::{JobRecord, JobTable, Namesakes, QueueReference};
use crate::shards::ShardTable;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::configuration::{Configuration, QueueAddress};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{
    FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName,
};
use lupinrack_cluster_api::job::JobSpec;
use lupinrack_cluster_api::operation::{ConfigurationChange, Operation, OperationResult};
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::time::WallMillis;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read};

/// Precedes the encoded [`Namesakes`]. Earlier versions wrote nothing after the other parts.
const NAMESAKES_TAG: u8 = 1;
/// Precedes the encoded addresses to which jobs were submitted.
const SUBMITTED_TO_TAG: u8 = 2;

/// The replicated state. Its `borsh` form is the snapshot: the parts follow one another in the
/// order of the fields. Parts of the jobs that few states have follow, each after its tag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    configuration: ConfigurationState,
    jobs: JobTable,
    shards: ShardTable,
    bindings: AgentBindings,
}

impl BorshSerialize for ControlState {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        self.configuration.serialize(writer)?;
        self.jobs.serialize(writer)?;
        self.shards.serialize(writer)?;
        self.bindings.serialize(writer)?;
        let namesakes = self.jobs.namesakes();
        if !namesakes.is_empty() {
            NAMESAKES_TAG.serialize(writer)?;
            namesakes.serialize(writer)?;
        }
        let submitted_to = self.jobs.submitted_to();
        if !submitted_to.is_empty() {
            SUBMITTED_TO_TAG.serialize(writer)?;
            submitted_to.serialize(writer)?;
        }
        Ok(())
    }
}

impl BorshDeserialize for ControlState {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let mut state = Self {
            configuration: BorshDeserialize::deserialize_reader(reader)?,
            jobs: BorshDeserialize::deserialize_reader(reader)?,
            shards: BorshDeserialize::deserialize_reader(reader)?,
            bindings: BorshDeserialize::deserialize_reader(reader)?,
        };
        while let Some(tag) = next_byte(reader)? {
            let jobs = &mut state.jobs;
            match tag {
                NAMESAKES_TAG => jobs.set_namesakes(Namesakes::deserialize_reader(reader)?),
                SUBMITTED_TO_TAG => jobs.set_submitted_to(BTreeMap::deserialize_reader(reader)?),
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
        Ok(state)
    }
}

/// The next byte; none at the end.
fn next_byte(reader: &mut impl Read) -> io::Result<Option<u8>> {
    let mut byte = Vec::new();
    reader.take(1).read_to_end(&mut byte)?;
    Ok(byte.first().copied())
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
            } => self.accept_unless_known(queue, *job, spec, *at),
            Operation::CancelJob { job, at, .. } => self.jobs.cancel(*job, *at),
            Operation::AcceptJobAt {
                target,
                job,
                spec,
                at,
            } => self.accept_job_at(target, *job, spec, *at),
            Operation::CancelJobAt { target, job, at } => self.cancel_job_at(target, *job, *at),
            Operation::TakeShard {
                service,
                token,
                owner,
                ..
            } => self.shards.take(service, *token, *owner),
            Operation::RecordStarts {
                service,
                token,
                starts,
            } => self.unless_fenced(service, *token, |state| {
                OperationResult::Starts(state.jobs.record_starts(service, starts))
            }),
            Operation::RecordEnds {
                service,
                token,
                ends,
                at,
            } => self.unless_fenced(service, *token, |state| {
                state.jobs.record_ends(service, ends, *at);
                OperationResult::Done
            }),
            Operation::RecordServer {
                service,
                token,
                server,
                agent,
            } => self.unless_fenced(service, *token, |state| state.bind(server, *agent)),
            Operation::ForgetJobs { ended_before } => {
                self.jobs.forget_ended_before(*ended_before);
                OperationResult::Done
            }
            Operation::Noop => OperationResult::Done,
            Operation::HandOverJobs {
                service,
                token,
                jobs,
            } => self.unless_fenced(service, *token, |state| state.hand_over(service, jobs)),
        }
    }

    /// The current configuration.
    pub fn configuration(&self) -> &Configuration {
        self.configuration.current()
    }

    /// The current configuration as one JSON object, in the form in which it was sent.
    pub fn document_json(&self) -> String {
        self.configuration.document().render()
    }

    /// The configuration with the record of its accepted changes.
    pub fn configuration_state(&self) -> &ConfigurationState {
        &self.configuration
    }

    /// All jobs that have not been removed.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// A job's record; none if it was never accepted, or was removed.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(job)
    }

    /// How many jobs of a queue have not ended, with those of former routes that its route serves.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        self.jobs.pending(queue, self.configuration())
    }

    /// The services that need an owner, each once: those of the configuration, and those outside it
    /// with jobs that have not ended or runs whose end is not recorded.
    pub fn services_in_use(&self) -> BTreeSet<&ServiceName> {
        let configured = self.configuration().services.iter();
        configured
            .map(|service| &service.name)
            .chain(self.jobs.open_by_service().keys())
            .chain(self.jobs.services_with_remaining_runs())
            .collect()
    }

    /// The owners of shards.
    pub fn shards(&self) -> &ShardTable {
        &self.shards
    }

    /// The agents of servers.
    pub fn bindings(&self) -> &AgentBindings {
        &self.bindings
    }

    /// The key of the job that a submission or cancellation at this address refers to: the job of this
    /// identity in that queue, or one whose address is not known.
    pub fn called_job(&self, target: &Target, id: JobId) -> Option<JobId> {
        let (key, reference) = self.jobs.find(target, id, self.configuration())?;
        (reference > QueueReference::Related).then_some(key)
    }

    /// The record of the job that a read at this address refers to.
    pub fn read_job(&self, target: &Target, id: JobId) -> Option<&JobRecord> {
        let (key, _) = self.jobs.find(target, id, self.configuration())?;
        self.job(key)
    }

    /// The error for a submission to an address that no route serves. If the job was accepted while
    /// its queue was configured, [`ErrorKind::UnknownQueue`] would be a false answer to a retry of
    /// its submission, since the job is in the job table.
    pub fn refusal_without_queue(&self, target: &Target, id: JobId) -> ErrorKind {
        match self.called_job(target, id) {
            Some(_) => ErrorKind::InDoubt,
            None => ErrorKind::UnknownQueue,
        }
    }

    fn hand_over(&mut self, service: &ServiceName, jobs: &[JobId]) -> OperationResult {
        let configuration = self.configuration.current();
        self.jobs.hand_over(service, jobs, configuration);
        OperationResult::Done
    }

    fn bind(&mut self, server: &ServerId, agent: PeerAddress) -> OperationResult {
        let servers_in_use = || self.jobs.servers_in_use();
        self.bindings.bind(server, agent, servers_in_use);
        OperationResult::Done
    }

    fn cancel_job_at(&mut self, target: &Target, id: JobId, at: WallMillis) -> OperationResult {
        match self.called_job(target, id) {
            Some(key) => self.jobs.cancel(key, at),
            None => OperationResult::Refused(ErrorKind::UnknownJob),
        }
    }

    /// Accepts a job that an earlier version submitted on the route of this name.
    fn accept_unless_known(
        &mut self,
        queue: &QueueName,
        job: JobId,
        spec: &JobSpec,
        at: WallMillis,
    ) -> OperationResult {
        match self.configuration.current().queue(queue) {
            Some(route) => self.jobs.accept_unless_known(job, route, spec, at),
            None => OperationResult::Refused(self.refusal_without_route(job)),
        }
    }

    /// The error for a submission of an earlier version on a route that is not configured.
    fn refusal_without_route(&self, job: JobId) -> ErrorKind {
        let has_queue = |job: &JobRecord| job.queue.is_configured(self.configuration());
        match self.job(job) {
            Some(known) if !has_queue(known) => ErrorKind::InDoubt,
            _ => ErrorKind::UnknownQueue,
        }
    }

    fn accept_job_at(
        &mut self,
        target: &Target,
        id: JobId,
        spec: &JobSpec,
        at: WallMillis,
    ) -> OperationResult {
        let route = self.configuration().route(&target.host, &target.path);
        let Some(route) = route.cloned() else {
            return OperationResult::Refused(self.refusal_without_queue(target, id));
        };
        let submitted_to = QueueAddress::of_job_request(target).unwrap_or_else(|| route.address());
        let known = self.called_job(target, id).and_then(|key| self.job(key));
        match known {
            Some(known) => OperationResult::Job(known.state),
            None => self.jobs.accept(id, submitted_to, &route, spec, at),
        }
    }

    /// Changes the configuration. Jobs follow their routes to their new names.
    fn change_configuration(&mut self, change: &ConfigurationChange) -> OperationResult {
        let before = self.configuration().clone();
        let result = self.configuration.change(change);
        if self.configuration().version != before.version {
            self.jobs
                .follow_routes(&before, self.configuration.current());
        }
        result
    }

    /// Applies a change from the owner of a shard, unless the shard has a newer owner.
    fn unless_fenced(
        &mut self,
        service: &ServiceName,
        token: FencingToken,
        apply: impl FnOnce(&mut Self) -> OperationResult,
    ) -> OperationResult {
        if self.shards.is_fenced(service, token) {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        apply(self)
    }
}
