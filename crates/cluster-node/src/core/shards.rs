//! The shards that this process owns: taking them over, feeding their schedulers, sending what they decide.

use crate::shard_owner::owner_of;
use lupinrack_cluster_api::agent::AgentMessage;
use lupinrack_cluster_api::identity::{DiskId, FencingToken, PeerAddress, ServiceName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::View;
use lupinrack_control_state::ControlState;
use lupinrack_scheduler::{Round, Scheduler, SchedulerSettings, ServiceSummary};
use std::collections::BTreeMap;

/// How long an owner may act after it last asked whether its view rules, in milliseconds.
pub const AUTHORITY_MS: u64 = 1_000;
/// A take-over that was not applied is submitted again after this long, in milliseconds, and then after twice as long each
/// time up to the most: a head that is not ready yet drops it, and one that is applied twice does no harm.
const TAKE_AGAIN_MS: u64 = 150;
const TAKE_AGAIN_MOST_MS: u64 = 1_200;

/// An agent's newest first message, kept until its shard is owned.
#[derive(Debug)]
struct EarlyAttach {
    agent: PeerAddress,
    connection: u64,
    message: AgentMessage,
}

/// A take-over that was submitted.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Millis,
    again_after_ms: u64,
}

impl Asked {
    /// The first time, or once more after `before`.
    fn after(before: Option<Asked>, now: Millis) -> Asked {
        let again_after_ms = before.map_or(TAKE_AGAIN_MS, |asked| {
            (asked.again_after_ms * 2).min(TAKE_AGAIN_MOST_MS)
        });
        Asked {
            at: now,
            again_after_ms,
        }
    }

    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at) < self.again_after_ms
    }
}

/// A take-over of a shard as it was applied.
struct Takeover<'a> {
    service: &'a ServiceName,
    token: FencingToken,
    /// Whether this process asked for it, in this life. What an earlier life asked for is read again from the log: that
    /// life told servers things under the token of which this one knows nothing.
    own: bool,
}

/// All shards that this process owns or is about to.
#[derive(Debug)]
pub struct Shards {
    me: DiskId,
    /// The life of this process.
    incarnation: u64,
    settings: SchedulerSettings,
    schedulers: BTreeMap<ServiceName, Scheduler>,
    taking: BTreeMap<ServiceName, Asked>,
    agents: BTreeMap<u64, ServiceName>,
    early: BTreeMap<ServiceName, Vec<EarlyAttach>>,
}

impl Shards {
    /// None yet.
    pub fn new(me: DiskId, incarnation: u64, settings: SchedulerSettings) -> Shards {
        Shards {
            me,
            incarnation,
            settings,
            schedulers: BTreeMap::new(),
            taking: BTreeMap::new(),
            agents: BTreeMap::new(),
            early: BTreeMap::new(),
        }
    }

    /// Whether this process owns any shard.
    pub fn is_empty(&self) -> bool {
        self.schedulers.is_empty()
    }

    /// Drops what the view gives to others, and takes over what it gives to this process.
    pub fn follow_view(
        &mut self,
        view: &View,
        state: &ControlState,
        now: Millis,
    ) -> Vec<Operation> {
        let me = self.me;
        self.schedulers
            .retain(|service, _| owner_of(view, service) == Some(me));
        self.taking
            .retain(|service, _| owner_of(view, service) == Some(me));
        let mut operations = Vec::new();
        for service in &state.configuration().services {
            let mine = owner_of(view, &service.name) == Some(me);
            if !mine || self.schedulers.contains_key(&service.name) {
                continue;
            }
            let before = self.taking.get(&service.name).copied();
            if before.is_some_and(|asked| asked.is_recent(now)) {
                continue;
            }
            self.taking
                .insert(service.name.clone(), Asked::after(before, now));
            let current = state
                .shards()
                .get(&service.name)
                .map_or(0, |shard| shard.token.0);
            let token = FencingToken(view.number.max(current + 1));
            let (service, incarnation) = (service.name.clone(), self.incarnation);
            operations.push(Operation::TakeShard {
                service,
                token,
                owner: me,
                incarnation,
            });
        }
        operations
    }

    /// An operation was applied to the replica.
    pub fn applied(
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
            let own = *owner == self.me && *incarnation == self.incarnation;
            let takeover = Takeover {
                service,
                token: *token,
                own,
            };
            self.take_applied(&takeover, result, view, now);
        }
        for scheduler in self.schedulers.values_mut() {
            scheduler.applied(operation, result, now);
        }
    }

    /// A scheduler begins with a take-over of this very life only, so nobody else ever acted under its token, and the
    /// record holds every start that anybody before it may have told a server of.
    fn take_applied(
        &mut self,
        takeover: &Takeover<'_>,
        result: &OperationResult,
        view: &View,
        now: Millis,
    ) {
        let service = takeover.service;
        let holds = *result == OperationResult::Done;
        if takeover.own || holds {
            // One that was refused came under a token that is not high enough by now: the next one will be.
            self.taking.remove(service);
        }
        if !holds {
            return;
        }
        self.schedulers.remove(service);
        let mine = takeover.own && owner_of(view, service) == Some(self.me);
        if !mine {
            return;
        }
        let mut scheduler =
            Scheduler::new(service.clone(), takeover.token, self.settings.clone(), now);
        for early in self.early.remove(service).unwrap_or_default() {
            scheduler.receive(early.agent, early.connection, early.message, now);
        }
        self.schedulers.insert(service.clone(), scheduler);
    }

    /// A message of an agent.
    pub fn receive(
        &mut self,
        agent: PeerAddress,
        connection: u64,
        message: AgentMessage,
        now: Millis,
    ) {
        if let AgentMessage::Attach { facts, .. } = &message {
            self.agents.insert(connection, facts.service.clone());
        }
        let Some(service) = self.agents.get(&connection) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.receive(agent, connection, message, now);
            return;
        }
        if matches!(message, AgentMessage::Attach { .. }) {
            let early = self.early.entry(service.clone()).or_default();
            early.retain(|attach| attach.agent != agent);
            early.push(EarlyAttach {
                agent,
                connection,
                message,
            });
        }
    }

    /// An agent's connection ended.
    pub fn disconnected(&mut self, agent: PeerAddress, connection: u64) {
        let Some(service) = self.agents.remove(&connection) else {
            return;
        };
        if let Some(early) = self.early.get_mut(&service) {
            early.retain(|attach| attach.connection != connection);
        }
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.disconnected(agent, connection);
        }
    }

    /// Every scheduler at this moment, for operators.
    pub fn summaries(&self, now: Millis) -> impl Iterator<Item = (&ServiceName, ServiceSummary)> {
        self.schedulers
            .iter()
            .map(move |(service, scheduler)| (service, scheduler.summary(now)))
    }

    /// One round of every scheduler.
    pub fn round(
        &mut self,
        state: &ControlState,
        now: Millis,
        wall: WallMillis,
        authority_until: Millis,
    ) -> Vec<Round> {
        self.schedulers
            .values_mut()
            .map(|scheduler| scheduler.round(state, now, wall, authority_until))
            .collect()
    }
}
