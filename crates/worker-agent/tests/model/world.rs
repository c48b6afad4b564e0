//! The modelled server, agent and owners, and the network between them.

use crate::owner::{Owner, LEASE_MS};
use crate::random::Random;
use crate::record::{Record, TaskState};
use crate::responses::{HeartbeatCall, PendingCall};
use crate::server::{Server, ServerCounts};
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::{FencingToken, JobId, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::heartbeat_json::parse;
use lupinrack_worker_agent::{Agent, AgentSettings, HeartbeatOutcome};
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: u64 = 10;
pub const FAULTS_MS: u64 = 15_000;
const FAULT_FREE_MS: u64 = 40_000;
const TASKS: u32 = 24;
/// The response to a pending heartbeat is delayed by less than this many milliseconds.
const MAX_RESPONSE_DELAY_MS: u64 = 400;

/// A message in the network.
pub enum Packet {
    Heartbeat {
        server: ServerId,
        sequence: u64,
        body: String,
    },
    Response {
        server: ServerId,
        sequence: u64,
        body: String,
    },
    Deregister(ServerId),
    ToOwner {
        token: u64,
        connection: u64,
        message: AgentMessage,
    },
    ToAgent {
        connection: u64,
        message: OwnerMessage,
    },
}

struct InFlightPacket {
    arrives_at: u64,
    packet: Packet,
}

/// The connection between the agent and an owner.
#[derive(Clone, Copy)]
struct Link {
    connection: u64,
    token: u64,
}

/// Counts events, to show that a run covers them.
#[derive(Default)]
pub struct Counts {
    pub server: ServerCounts,
    pub takeovers: u64,
    pub agent_restarts: u64,
    /// Servers that deregistered without having drained, and continued to serve.
    pub deregistered_without_draining: u64,
    pub never_ran: u64,
    pub expired_leases: u64,
    pub rejected_messages: u64,
    /// Delayed responses that hold no orders.
    pub delayed_without_orders: u64,
    /// Delayed responses that hold orders.
    pub delayed_with_orders: u64,
    /// Delayed responses during whose delay a message of the owner was accepted.
    pub delayed_with_messages: u64,
}

pub struct World {
    pub now: u64,
    pub random: Random,
    record: Record,
    server: Option<Server>,
    server_restarts_at: u64,
    incarnations: u64,
    pub agent: Agent,
    agent_started_at: u64,
    pub pending: Option<PendingCall>,
    /// The highest token in a response of this agent.
    pub response_token: FencingToken,
    /// When the lease granted to each incarnation expires, on the model's clock. Only messages that this agent accepted count.
    pub granted_until: BTreeMap<ServerId, u64>,
    /// Incarnations whose deregistration this agent received.
    pub deregistered: BTreeSet<ServerId>,
    owners: Vec<Owner>,
    link: Option<Link>,
    /// The agent cannot reach any owner until this time.
    unreachable_until: u64,
    connections: u64,
    in_flight_packets: Vec<InFlightPacket>,
    next_arrival_at_owner: u64,
    next_arrival_at_agent: u64,
    pub counts: Counts,
}

impl World {
    pub fn new(seed: u64) -> World {
        let task = |index| TaskId {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index,
        };
        let mut record = Record::new((0..TASKS).map(task));
        let owner = Owner::take_over(1, &mut record, 0);
        World {
            now: 0,
            random: Random::new(seed),
            record,
            server: None,
            server_restarts_at: 0,
            incarnations: 0,
            agent: new_agent(),
            agent_started_at: 0,
            pending: None,
            response_token: FencingToken::default(),
            granted_until: BTreeMap::new(),
            deregistered: BTreeSet::new(),
            owners: vec![owner],
            link: None,
            unreachable_until: 0,
            connections: 0,
            in_flight_packets: Vec::new(),
            next_arrival_at_owner: 0,
            next_arrival_at_agent: 0,
            counts: Counts::default(),
        }
    }

    /// Runs the model with faults, then without faults until all tasks have ended. Returns the counts of events.
    pub fn play(mut self) -> Counts {
        while self.now < FAULTS_MS || !self.record.all_done() {
            assert!(
                self.now < FAULTS_MS + FAULT_FREE_MS,
                "tasks have not ended: {:?}",
                self.record.tasks
            );
            let fault_free = self.now >= FAULTS_MS;
            self.step(fault_free);
        }
        if let Some(server) = self.server.take() {
            self.counts.server = server.counts;
        }
        for owner in &self.owners {
            self.counts.never_ran += owner.counts.never_ran;
            self.counts.expired_leases += owner.counts.expired_leases;
        }
        self.counts
    }

    fn step(&mut self, fault_free: bool) {
        self.now += STEP_MS;
        if !fault_free {
            self.inject_faults();
        }
        self.record.end_elsewhere(self.now);
        self.connect(fault_free);
        self.tick_server(fault_free);
        self.deliver();
        self.respond_if_due();
        if self
            .agent
            .next_poll()
            .is_some_and(|due| due <= self.agent_now())
        {
            self.poll_agent();
        }
        self.step_owners(fault_free);
        self.check_no_second_run();
    }

    pub fn agent_now(&self) -> Millis {
        Millis(self.now - self.agent_started_at)
    }

    fn inject_faults(&mut self) {
        if self.random.once_in(300) {
            self.end_server(false);
        }
        if self.random.once_in(500) {
            if let Some(server) = self
                .server
                .as_mut()
                .filter(|server| server.shuts_down_at.is_none())
            {
                server.draining = true;
            }
        }
        let drains = self.server.as_ref().is_some_and(|server| server.draining);
        if drains && self.random.once_in(100) {
            self.end_server(true);
        }
        if self.random.once_in(500) {
            self.deregister_without_draining();
        }
        if self.random.once_in(300) {
            self.restart_agent();
        }
        if self.random.once_in(200) {
            self.disconnect();
        }
        if self.random.once_in(500) {
            self.disconnect();
            self.unreachable_until = self.now + self.random.below(5_000);
        }
        if self.random.once_in(300) {
            self.take_over();
        }
    }

    fn end_server(&mut self, graceful: bool) {
        let Some(server) = self.server.take() else {
            return;
        };
        if graceful {
            self.send(Packet::Deregister(server.id), 0);
        }
        self.counts.server = server.counts;
        self.server_restarts_at = self.now + self.random.below(1_500);
    }

    /// The server deregisters, sometimes twice, and continues to serve for a while.
    fn deregister_without_draining(&mut self) {
        let remaining_ms = self.random.below(4_000);
        let is_serving = |server: &&mut Server| !server.draining && server.shuts_down_at.is_none();
        let Some(server) = self.server.as_mut().filter(is_serving) else {
            return;
        };
        server.shuts_down_at = Some(self.now + remaining_ms);
        let id = server.id.clone();
        if self.random.once_in(2) {
            let delay = self.delay(false);
            self.send(Packet::Deregister(id.clone()), delay);
        }
        let delay = self.delay(false);
        self.send(Packet::Deregister(id), delay);
        self.counts.deregistered_without_draining += 1;
    }

    /// The agent's process ends with all its connections, and a new one starts.
    fn restart_agent(&mut self) {
        self.disconnect();
        let to_agent = |in_flight: &InFlightPacket| {
            matches!(
                in_flight.packet,
                Packet::Heartbeat { .. } | Packet::Response { .. } | Packet::Deregister(_)
            )
        };
        self.in_flight_packets
            .retain(|in_flight| !to_agent(in_flight));
        self.agent = new_agent();
        self.agent_started_at = self.now;
        self.pending = None;
        self.response_token = FencingToken::default();
        self.granted_until.clear();
        self.deregistered.clear();
        self.counts.agent_restarts += 1;
    }

    fn disconnect(&mut self) {
        let Some(link) = self.link.take() else { return };
        self.in_flight_packets.retain(|in_flight| {
            !matches!(
                in_flight.packet,
                Packet::ToOwner { .. } | Packet::ToAgent { .. }
            )
        });
        self.agent.owner_disconnected(link.connection);
        if let Some(owner) = self
            .owners
            .iter_mut()
            .find(|owner| owner.token == link.token)
        {
            owner.disconnected(link.connection);
        }
    }

    fn take_over(&mut self) {
        let token = self.record.token + 1;
        if let Some(owner) = self.owners.last_mut() {
            owner.replaced_at = Some(self.now);
        }
        self.owners
            .push(Owner::take_over(token, &mut self.record, self.now));
        self.counts.takeovers += 1;
    }

    /// The agent's driver connects to an owner; while faults are injected, sometimes to a replaced one.
    fn connect(&mut self, fault_free: bool) {
        let newest = self.record.token;
        if self.link.is_some_and(|link| link.token != newest)
            && (fault_free || self.random.once_in(50))
        {
            self.disconnect();
        }
        if self.link.is_some() || self.now < self.unreachable_until || !self.random.once_in(10) {
            return;
        }
        let to_replaced_owner = !fault_free && self.random.once_in(4);
        let token = if to_replaced_owner {
            newest.saturating_sub(1).max(1)
        } else {
            newest
        };
        self.connections += 1;
        self.link = Some(Link {
            connection: self.connections,
            token,
        });
        (self.next_arrival_at_owner, self.next_arrival_at_agent) = (0, 0);
        self.agent.owner_connected(self.connections);
        self.poll_agent();
    }

    fn tick_server(&mut self, fault_free: bool) {
        if self.server.is_none() && self.now >= self.server_restarts_at {
            self.incarnations += 1;
            let counts = std::mem::take(&mut self.counts.server);
            self.server = Some(Server::new(
                format!("life-{}", self.incarnations),
                self.now,
                counts,
            ));
        }
        let Some(server) = &mut self.server else {
            return;
        };
        if fault_free && server.draining {
            return self.end_server(true);
        }
        if server.shuts_down_at.is_some_and(|at| self.now >= at) {
            return self.end_server(false);
        }
        let Some((sequence, body)) = server.tick(self.now) else {
            return;
        };
        let id = server.id.clone();
        let heartbeat = |body| Packet::Heartbeat {
            server: id.clone(),
            sequence,
            body,
        };
        if !fault_free && self.random.once_in(20) {
            let delay = self.random.below(3_000);
            self.send(heartbeat(body.clone()), delay);
        }
        let delay = self.delay(fault_free);
        let lost = !fault_free && self.random.once_in(30);
        if !lost {
            self.send(heartbeat(body), delay);
        }
    }

    pub fn delay(&mut self, fault_free: bool) -> u64 {
        let long = !fault_free && self.random.once_in(30);
        self.random.below(if long { 2_500 } else { 30 })
    }

    pub fn send(&mut self, packet: Packet, delay: u64) {
        self.in_flight_packets.push(InFlightPacket {
            arrives_at: self.now + delay,
            packet,
        });
    }

    fn deliver(&mut self) {
        while let Some(index) = self
            .in_flight_packets
            .iter()
            .position(|in_flight| in_flight.arrives_at <= self.now)
        {
            let in_flight = self.in_flight_packets.remove(index);
            self.arrive(in_flight.packet);
        }
    }

    fn arrive(&mut self, packet: Packet) {
        match packet {
            Packet::Heartbeat {
                server,
                sequence,
                body,
            } => self.heartbeat_to_agent(server, sequence, &body),
            Packet::Response {
                server,
                sequence,
                body,
            } => {
                if let Some(server) = self.server.as_mut().filter(|living| living.id == server) {
                    server.receive_response(sequence, &body, self.now, &mut self.random);
                }
            }
            Packet::Deregister(server) => {
                self.deregistered.insert(server.clone());
                self.agent.deregister(server);
                self.poll_agent();
            }
            Packet::ToOwner {
                token,
                connection,
                message,
            } => {
                if let Some(owner) = self.owners.iter_mut().find(|owner| owner.token == token) {
                    owner.receive(connection, message, &mut self.record);
                }
            }
            Packet::ToAgent {
                connection,
                message,
            } => self.deliver_to_agent(connection, message),
        }
    }

    fn heartbeat_to_agent(&mut self, server: ServerId, sequence: u64, body: &str) {
        let now = self.agent_now();
        let heartbeat = parse(&server.0, body.as_bytes()).expect("a heartbeat of the model");
        self.respond_to_pending();
        let call = HeartbeatCall {
            server,
            sequence,
            arrived_at: self.now,
        };
        match self.agent.receive_heartbeat(heartbeat, now) {
            HeartbeatOutcome::Answered(response) => self.send_response(call, &response),
            HeartbeatOutcome::Pending(pending) => {
                let wait_ms = if self.random.once_in(3) {
                    0
                } else {
                    self.random.below(MAX_RESPONSE_DELAY_MS)
                };
                self.pending = Some(PendingCall {
                    pending,
                    call,
                    until: self.now + wait_ms,
                    messages: 0,
                });
                self.respond_if_due();
            }
        }
        self.poll_agent();
    }

    fn deliver_to_agent(&mut self, connection: u64, message: OwnerMessage) {
        let until = self.agent_started_at + message.lease_from.0 + message.lease_ms;
        let server = message.server.clone();
        let lower_token = message.token < self.agent.token();
        let result = self.agent.receive_owner_message(connection, message);
        assert!(
            !(lower_token && result.is_ok()),
            "an order under a lower token was accepted"
        );
        match result {
            Ok(()) => {
                let granted = self.granted_until.entry(server).or_insert(0);
                *granted = until.max(*granted);
                if let Some(pending) = &mut self.pending {
                    pending.messages += 1;
                }
                self.respond_if_due();
            }
            Err(_) => self.counts.rejected_messages += 1,
        }
        self.poll_agent();
    }

    fn poll_agent(&mut self) {
        let messages = self.agent.poll(self.agent_now());
        let Some(Link { connection, token }) = self.link else {
            assert!(messages.is_empty(), "messages without a connection");
            return;
        };
        for message in messages {
            self.next_arrival_at_owner = self
                .next_arrival_at_owner
                .max(self.now + self.random.below(30));
            let delay = self.next_arrival_at_owner - self.now;
            self.send(
                Packet::ToOwner {
                    token,
                    connection,
                    message,
                },
                delay,
            );
        }
    }

    fn step_owners(&mut self, fault_free: bool) {
        for index in 0..self.owners.len() {
            let owner = &mut self.owners[index];
            let Some((connection, message)) =
                owner.act(&mut self.record, fault_free, self.now, &mut self.random)
            else {
                continue;
            };
            assert_eq!(message.lease_ms, LEASE_MS);
            if self.link.is_some_and(|link| link.connection == connection) {
                self.next_arrival_at_agent = self
                    .next_arrival_at_agent
                    .max(self.now + self.random.below(60));
                let delay = self.next_arrival_at_agent - self.now;
                self.send(
                    Packet::ToAgent {
                        connection,
                        message,
                    },
                    delay,
                );
            }
        }
    }

    /// A task that has ended according to the record, or runs on another server, must not run on this server.
    fn check_no_second_run(&self) {
        let Some(server) = &self.server else { return };
        for (task, entry) in &self.record.tasks {
            let assigned_here = matches!(&entry.state, TaskState::Assigned(incarnation) if *incarnation == server.id);
            assert!(
                assigned_here || !server.runs(task),
                "{task} runs on the server, but is recorded as {:?}",
                entry.state
            );
        }
    }
}

fn new_agent() -> Agent {
    let settings = AgentSettings {
        lease_max_ms: 6_000,
        heartbeat_ms: 1_500,
        idle_heartbeat_ms: 400,
        busy_heartbeat_ms: 80,
    };
    Agent::new(settings)
}
