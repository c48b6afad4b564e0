//! A modelled agent: answers its server's heartbeats according to the owner's messages.

use lupinrack_cluster_api::agent::{AgentMessage, Assignment, Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, FencingToken, PeerAddress, ServerId, TaskId};
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use lupinrack_scheduler_testkit::{HeartbeatResponse, ModelServer, StartCommand};
use std::collections::{BTreeMap, BTreeSet};

/// The minimum remaining lease that is granted to the server, in milliseconds.
const MIN_GRANTED_LEASE_MS: u64 = 100;

/// A connection to an owner.
#[derive(Clone, Debug)]
pub struct AgentSession {
    pub owner: usize,
    pub connection: u64,
    pub attached: bool,
}

#[derive(Clone, Debug)]
pub struct ModelAgent {
    pub address: PeerAddress,
    pub token: FencingToken,
    pub session: Option<AgentSession>,
    incarnation: Option<ServerId>,
    desired: BTreeMap<TaskId, Assignment>,
    stops: BTreeSet<(TaskId, Attempt)>,
    ended: BTreeSet<(TaskId, Attempt)>,
    observed: u64,
    lease_until: u64,
    heartbeat_after_ms: u64,
    applied_number: u64,
    delivered_number: u64,
}

impl ModelAgent {
    pub fn new(address: PeerAddress) -> ModelAgent {
        ModelAgent {
            address,
            token: FencingToken(0),
            session: None,
            incarnation: None,
            desired: BTreeMap::new(),
            stops: BTreeSet::new(),
            ended: BTreeSet::new(),
            observed: 0,
            lease_until: 0,
            heartbeat_after_ms: 200,
            applied_number: 0,
            delivered_number: 0,
        }
    }

    pub fn connect(&mut self, owner: usize, connection: u64) {
        self.session = Some(AgentSession {
            owner,
            connection,
            attached: false,
        });
        self.applied_number = 0;
        self.delivered_number = 0;
    }

    fn begin_incarnation(&mut self, server: &ServerId) {
        self.incarnation = Some(server.clone());
        self.desired.clear();
        self.stops.clear();
        self.ended.clear();
        self.observed = 0;
        self.lease_until = 0;
        if let Some(session) = &mut self.session {
            session.attached = false;
        }
        self.applied_number = 0;
        self.delivered_number = 0;
    }

    /// Receives a heartbeat. Returns the response, and the report to the owner if there is a session.
    pub fn receive_heartbeat(
        &mut self,
        facts: &ServerFacts,
        mut heartbeat: Heartbeat,
        now: u64,
    ) -> (HeartbeatResponse, Option<AgentMessage>) {
        if self.incarnation.as_ref() != Some(&facts.id) {
            self.begin_incarnation(&facts.id);
        }
        for end in &heartbeat.finished {
            self.ended.insert((end.task, end.attempt));
            if self
                .desired
                .get(&end.task)
                .is_some_and(|assignment| assignment.attempt <= end.attempt)
            {
                self.desired.remove(&end.task);
            }
        }
        heartbeat.orders_seen = self.delivered_number;
        let response = self.response(&heartbeat, now);
        self.delivered_number = self.applied_number;
        let report = self.report(facts, heartbeat, now);
        (response, report)
    }

    fn response(&self, heartbeat: &Heartbeat, now: u64) -> HeartbeatResponse {
        let remaining_ms = self.lease_until.saturating_sub(now);
        let lease_ms = if remaining_ms >= MIN_GRANTED_LEASE_MS {
            remaining_ms
        } else {
            0
        };
        let is_running = |task: TaskId, attempt: Attempt| {
            heartbeat
                .running
                .iter()
                .any(|run| run.task == task && run.attempt == attempt)
        };
        let may_start = lease_ms > 0 && !heartbeat.draining;
        let starts = self.desired.values().filter(|assignment| {
            may_start
                && !is_running(assignment.task, assignment.attempt)
                && !self.ended.contains(&(assignment.task, assignment.attempt))
        });
        let outdated = heartbeat.running.iter().filter(|run| {
            self.desired
                .get(&run.task)
                .is_some_and(|assignment| assignment.attempt > run.attempt)
        });
        let mut stops: Vec<_> = self
            .stops
            .iter()
            .copied()
            .filter(|(task, attempt)| is_running(*task, *attempt))
            .collect();
        stops.extend(outdated.map(|run| (run.task, run.attempt)));
        HeartbeatResponse {
            heartbeat_sent_at: ModelServer::sent_at(heartbeat),
            token: self.token,
            lease_ms,
            observed: self.observed,
            starts: starts.map(start_command).collect(),
            stops,
            heartbeat_after_ms: self.heartbeat_after_ms,
        }
    }

    fn report(
        &mut self,
        facts: &ServerFacts,
        heartbeat: Heartbeat,
        now: u64,
    ) -> Option<AgentMessage> {
        let token = self.token;
        let session = self.session.as_mut()?;
        let sent_at = Millis(now);
        if session.attached {
            return Some(AgentMessage::Report {
                heartbeat: Some(heartbeat),
                sent_at,
            });
        }
        session.attached = true;
        Some(AgentMessage::Attach {
            facts: facts.clone(),
            token,
            heartbeat,
            sent_at,
        })
    }

    pub fn receive_owner_message(&mut self, connection: u64, message: OwnerMessage) {
        let is_current = self
            .session
            .as_ref()
            .is_some_and(|session| session.connection == connection);
        if !is_current
            || self.incarnation.as_ref() != Some(&message.server)
            || message.token < self.token
        {
            return;
        }
        self.token = message.token;
        if message.complete {
            self.desired.clear();
            self.stops.clear();
        }
        for assignment in message.assign {
            if !self.ended.contains(&(assignment.task, assignment.attempt)) {
                self.desired.insert(assignment.task, assignment);
            }
        }
        for (task, attempt) in message.stop {
            self.stops.insert((task, attempt));
            if self
                .desired
                .get(&task)
                .is_some_and(|assignment| assignment.attempt <= attempt)
            {
                self.desired.remove(&task);
            }
        }
        self.observed = self.observed.max(message.observed);
        self.lease_until = self
            .lease_until
            .max(message.lease_from.0 + message.lease_ms);
        self.heartbeat_after_ms = message.heartbeat_after_ms;
        self.applied_number = message.number;
    }
}

fn start_command(assignment: &Assignment) -> StartCommand {
    StartCommand {
        task: assignment.task,
        attempt: assignment.attempt,
        spec: assignment.spec.clone(),
        checkpoint: assignment.checkpoint.clone(),
    }
}
