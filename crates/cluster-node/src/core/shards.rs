//! The shards that this process owns: takeovers, the input of their schedulers, and messages of agents that arrive
//! before a shard is owned.

use super::shard_takeover::{AppliedTakeover, PendingTakeovers};
use crate::shard_owner::owner_of;
use lupinrack_cluster_api::agent::AgentMessage;
use lupinrack_cluster_api::identity::{DiskId, FencingToken, PeerAddress, ServiceName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::View;
use lupinrack_control_state::ControlState;
use lupinrack_scheduler::{Round, Scheduler, SchedulerSettings, ServiceSummary};
use std::collections::BTreeMap;

/// An agent's latest `Attach` message, kept until this process owns the shard.
#[derive(Debug)]
struct EarlyAttach {
    agent: PeerAddress,
    connection: u64,
    message: AgentMessage,
}

/// All shards that this process owns or is about to own.
#[derive(Debug)]
pub(super) struct Shards {
    me: DiskId,
    incarnation: u64,
    settings: SchedulerSettings,
    schedulers: BTreeMap<ServiceName, Scheduler>,
    takeovers: PendingTakeovers,
    /// The service of the agent at the other end of each connection.
    services: BTreeMap<u64, ServiceName>,
    early_attaches: BTreeMap<ServiceName, Vec<EarlyAttach>>,
}

impl Shards {
    /// Starts without shards, in this incarnation of the process on this disk.
    pub(super) fn new(me: DiskId, incarnation: u64, settings: SchedulerSettings) -> Shards {
        Shards {
            me,
            incarnation,
            settings,
            schedulers: BTreeMap::new(),
            takeovers: PendingTakeovers::default(),
            services: BTreeMap::new(),
            early_attaches: BTreeMap::new(),
        }
    }

    /// Whether this process owns no shard.
    pub(super) fn is_empty(&self) -> bool {
        self.schedulers.is_empty()
    }

    /// Whether this process owns the shard of a service.
    pub(super) fn owns(&self, service: &ServiceName) -> bool {
        self.schedulers.contains_key(service)
    }

    /// Whether this process owns a shard or is about to.
    pub(super) fn needs_authority(&self) -> bool {
        !self.schedulers.is_empty() || !self.takeovers.is_empty()
    }

    /// Makes all schedulers submit their unapplied operations again in their next rounds.
    pub(super) fn resubmit_operations(&mut self) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.resubmit_operations();
        }
    }

    /// Drops the shards that the view assigns to others. Returns the operations that take over the shards that it
    /// assigns to this process.
    pub(super) fn follow_view(
        &mut self,
        view: &View,
        state: &ControlState,
        now: Millis,
    ) -> Vec<Operation> {
        let me = self.me;
        let is_own = |service: &ServiceName| owner_of(view, service) == Some(me);
        self.schedulers.retain(|service, _| is_own(service));
        self.takeovers.retain(is_own);
        let mut operations = Vec::new();
        for name in state.services_in_use() {
            let is_missing = is_own(name) && !self.schedulers.contains_key(name);
            if is_missing && self.takeovers.submit(name, now) {
                operations.push(self.takeover(name, view, state));
            }
        }
        operations
    }

    fn takeover(&self, service: &ServiceName, view: &View, state: &ControlState) -> Operation {
        let shard = state.shards().get(service);
        let current_token = shard.map_or(0, |shard| shard.token.0);
        Operation::TakeShard {
            service: service.clone(),
            token: FencingToken(view.number.max(current_token + 1)),
            owner: self.me,
            incarnation: self.incarnation,
        }
    }

    /// Handles an operation that was applied to the replica.
    pub(super) fn applied(
        &mut self,
        operation: &Operation,
        result: &OperationResult,
        view: &View,
        now: Millis,
    ) {
        if let Operation::TakeShard {
            service,
            token,
            owner,
            incarnation,
        } = operation
        {
            let takeover = AppliedTakeover {
                service,
                token: *token,
                is_own: *owner == self.me && *incarnation == self.incarnation,
                is_accepted: *result == OperationResult::Done,
            };
            self.takeover_applied(&takeover, view, now);
        }
        if let Operation::HandOverJobs { service, jobs, .. } = operation {
            if *result == OperationResult::Done && self.owns(service) {
                let count = jobs.len();
                spdlog::info!(
                    "service {}: {count} jobs were handed over to the services of their queues",
                    service.0
                );
            }
        }
        for scheduler in self.schedulers.values_mut() {
            scheduler.applied(operation, result, now);
        }
    }

    /// Starts a scheduler only for a takeover that this incarnation submitted. So no other process has acted under its
    /// fencing token, and the state contains every start that an earlier owner may have sent to a server.
    fn takeover_applied(&mut self, takeover: &AppliedTakeover<'_>, view: &View, now: Millis) {
        let service = takeover.service;
        if takeover.is_own || takeover.is_accepted {
            // A refused takeover had a stale fencing token. The next attempt uses a higher one.
            self.takeovers.remove(service);
        }
        if !takeover.is_accepted {
            return;
        }
        self.schedulers.remove(service);
        if takeover.is_own && owner_of(view, service) == Some(self.me) {
            self.begin_scheduling(service, takeover.token, now);
        }
    }

    fn begin_scheduling(&mut self, service: &ServiceName, token: FencingToken, now: Millis) {
        let mut scheduler = Scheduler::new(service.clone(), token, self.settings.clone(), now);
        for attach in self.early_attaches.remove(service).unwrap_or_default() {
            scheduler.receive(attach.agent, attach.connection, attach.message, now);
        }
        self.schedulers.insert(service.clone(), scheduler);
    }

    /// Handles a message of an agent. Until the agent has attached on its connection, its service is unknown and other
    /// messages are ignored.
    pub(super) fn receive(
        &mut self,
        agent: PeerAddress,
        connection: u64,
        message: AgentMessage,
        now: Millis,
    ) {
        if let AgentMessage::Attach { facts, .. } = &message {
            self.services.insert(connection, facts.service.clone());
        }
        let Some(service) = self.services.get(&connection) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.receive(agent, connection, message, now);
            return;
        }
        if matches!(message, AgentMessage::Attach { .. }) {
            let early = self.early_attaches.entry(service.clone()).or_default();
            early.retain(|attach| attach.agent != agent);
            early.push(EarlyAttach {
                agent,
                connection,
                message,
            });
        }
    }

    /// Handles the end of an agent's connection.
    pub(super) fn disconnected(&mut self, agent: PeerAddress, connection: u64) {
        let Some(service) = self.services.remove(&connection) else {
            return;
        };
        if let Some(early) = self.early_attaches.get_mut(&service) {
            early.retain(|attach| attach.connection != connection);
        }
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.disconnected(agent, connection);
        }
    }

    /// A summary of each scheduler, for operators.
    pub(super) fn summaries(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&ServiceName, ServiceSummary)> {
        let schedulers = self.schedulers.iter();
        schedulers.map(move |(service, scheduler)| (service, scheduler.summary(now)))
    }

    /// Runs one round of every scheduler.
    pub(super) fn round(
        &mut self,
        state: &ControlState,
        now: Millis,
        wall: WallMillis,
        authority_until: Millis,
    ) -> Vec<(ServiceName, Round)> {
        let schedulers = self.schedulers.iter_mut();
        let rounds = schedulers.map(|(service, scheduler)| {
            let round = scheduler.round(state, now, wall, authority_until);
            (service.clone(), round)
        });
        rounds.collect()
    }
}
