//! Server, agent, owners and the network between them.

use crate::answers::{HeartbeatCall, PendingCall};
use crate::owner::{Owner, LEASE_MS};
use crate::random::Random;
use crate::record::{Record, TaskState};
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
/// A response waits for less than this, in milliseconds.
const PENDING_MS: u64 = 400;

/// Something on its way.
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

struct Sent {
    arrives: u64,
    packet: Packet,
}

/// The connection between the agent and an owner.
#[derive(Clone, Copy)]
struct Link {
    connection: u64,
    token: u64,
}

/// What happened, to show that a run was not empty.
#[derive(Default)]
pub struct Counts {
    pub server: ServerCounts,
    pub takeovers: u64,
    pub agent_restarts: u64,
    /// Servers that deregistered without having drained, and served on.
    pub deregistered_first: u64,
    pub never_ran: u64,
    pub expired_leases: u64,
    pub refused_messages: u64,
    /// Answers that waited in vain.
    pub waits: u64,
    /// Answers that waited until orders came.
    pub waits_for_orders: u64,
    /// Answers during whose waiting the owner said something.
    pub messages_meanwhile: u64,
}

pub struct World {
    pub now: u64,
    pub random: Random,
    record: Record,
    server: Option<Server>,
    server_back: u64,
    incarnations: u64,
    pub agent: Agent,
    agent_born: u64,
    pub open: Option<PendingCall>,
    /// The highest token in an answer of this agent.
    pub response_token: FencingToken,
    /// The end of what was granted to each incarnation in messages that this agent accepted, by the model's clock.
    pub granted_until: BTreeMap<ServerId, u64>,
    /// Incarnations whose deregistration this agent received.
    pub deregistered: BTreeSet<ServerId>,
    owners: Vec<Owner>,
    link: Option<Link>,
    /// Until this moment the agent reaches no owner.
    cut_until: u64,
    connections: u64,
    packets: Vec<Sent>,
    to_owner_free: u64,
    to_agent_free: u64,
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
            server_back: 0,
            incarnations: 0,
            agent: new_agent(),
            agent_born: 0,
            open: None,
            response_token: FencingToken::default(),
            granted_until: BTreeMap::new(),
            deregistered: BTreeSet::new(),
            owners: vec![owner],
            link: None,
            cut_until: 0,
            connections: 0,
            packets: Vec::new(),
            to_owner_free: 0,
            to_agent_free: 0,
            counts: Counts::default(),
        }
    }

    /// Plays faults, then a time without them in which all tasks have to end; returns what happened.
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
        self.act_owners(fault_free);
        self.check_no_second_run();
    }

    pub fn agent_now(&self) -> Millis {
        Millis(self.now - self.agent_born)
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
            self.deregister_first();
        }
        if self.random.once_in(300) {
            self.restart_agent();
        }
        if self.random.once_in(200) {
            self.disconnect();
        }
        if self.random.once_in(500) {
            self.disconnect();
            self.cut_until = self.now + self.random.below(5_000);
        }
        if self.random.once_in(300) {
            self.take_over();
        }
    }

    fn end_server(&mut self, in_order: bool) {
        let Some(server) = self.server.take() else {
            return;
        };
        if in_order {
            self.send(Packet::Deregister(server.id), 0);
        }
        self.counts.server = server.counts;
        self.server_back = self.now + self.random.below(1_500);
    }

    /// The server deregisters, at times twice, and serves on for a while.
    fn deregister_first(&mut self) {
        let serves_ms = self.random.below(4_000);
        let staying = |server: &&mut Server| !server.draining && server.shuts_down_at.is_none();
        let Some(server) = self.server.as_mut().filter(staying) else {
            return;
        };
        server.shuts_down_at = Some(self.now + serves_ms);
        let id = server.id.clone();
        if self.random.once_in(2) {
            let delay = self.delay(false);
            self.send(Packet::Deregister(id.clone()), delay);
        }
        let delay = self.delay(false);
        self.send(Packet::Deregister(id), delay);
        self.counts.deregistered_first += 1;
    }

    /// The agent's process ends, with all connections, and another begins.
    fn restart_agent(&mut self) {
        self.disconnect();
        let to_agent = |sent: &Sent| {
            matches!(
                sent.packet,
                Packet::Heartbeat { .. } | Packet::Response { .. } | Packet::Deregister(_)
            )
        };
        self.packets.retain(|sent| !to_agent(sent));
        self.agent = new_agent();
        self.agent_born = self.now;
        self.open = None;
        self.response_token = FencingToken::default();
        self.granted_until.clear();
        self.deregistered.clear();
        self.counts.agent_restarts += 1;
    }

    fn disconnect(&mut self) {
        let Some(link) = self.link.take() else { return };
        self.packets
            .retain(|sent| !matches!(sent.packet, Packet::ToOwner { .. } | Packet::ToAgent { .. }));
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

    /// The agent's driver finds an owner, while faults are injected at times an old one.
    fn connect(&mut self, fault_free: bool) {
        let newest = self.record.token;
        if self.link.is_some_and(|link| link.token != newest)
            && (fault_free || self.random.once_in(50))
        {
            self.disconnect();
        }
        if self.link.is_some() || self.now < self.cut_until || !self.random.once_in(10) {
            return;
        }
        let old = !fault_free && self.random.once_in(4);
        let token = if old {
            newest.saturating_sub(1).max(1)
        } else {
            newest
        };
        self.connections += 1;
        self.link = Some(Link {
            connection: self.connections,
            token,
        });
        (self.to_owner_free, self.to_agent_free) = (0, 0);
        self.agent.owner_connected(self.connections);
        self.poll_agent();
    }

    fn tick_server(&mut self, fault_free: bool) {
        if self.server.is_none() && self.now >= self.server_back {
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
        self.packets.push(Sent {
            arrives: self.now + delay,
            packet,
        });
    }

    fn deliver(&mut self) {
        while let Some(state) = self
            .packets
            .iter()
            .position(|sent| sent.arrives <= self.now)
        {
            let sent = self.packets.remove(state);
            self.arrive(sent.packet);
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
                    server.answered(sequence, &body, self.now, &mut self.random);
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
            HeartbeatOutcome::Answered(answer) => self.send_response(call, &answer),
            HeartbeatOutcome::Pending(open) => {
                let wait_ms = if self.random.once_in(3) {
                    0
                } else {
                    self.random.below(PENDING_MS)
                };
                self.open = Some(PendingCall {
                    open,
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
        let until = self.agent_born + message.lease_from.0 + message.lease_ms;
        let server = message.server.clone();
        let lower = message.token < self.agent.token();
        let taken = self.agent.receive_owner_message(connection, message);
        assert!(
            !(lower && taken.is_ok()),
            "an order under a lower token was accepted"
        );
        match taken {
            Ok(()) => {
                let granted = self.granted_until.entry(server).or_insert(0);
                *granted = until.max(*granted);
                if let Some(open) = &mut self.open {
                    open.messages += 1;
                }
                self.respond_if_due();
            }
            Err(_) => self.counts.refused_messages += 1,
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
            self.to_owner_free = self.to_owner_free.max(self.now + self.random.below(30));
            let delay = self.to_owner_free - self.now;
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

    fn act_owners(&mut self, fault_free: bool) {
        for state in 0..self.owners.len() {
            let owner = &mut self.owners[state];
            let Some((connection, message)) =
                owner.act(&mut self.record, fault_free, self.now, &mut self.random)
            else {
                continue;
            };
            assert_eq!(message.lease_ms, LEASE_MS);
            if self.link.is_some_and(|link| link.connection == connection) {
                self.to_agent_free = self.to_agent_free.max(self.now + self.random.below(60));
                let delay = self.to_agent_free - self.now;
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

    /// What has ended according to the record, or runs elsewhere, must not run here.
    fn check_no_second_run(&self) {
        let Some(server) = &self.server else { return };
        for (task, entry) in &self.record.tasks {
            let here = matches!(&entry.state, TaskState::Assigned(incarnation) if *incarnation == server.id);
            assert!(
                here || !server.runs(task),
                "{task} runs here, but is recorded as {:?}",
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
