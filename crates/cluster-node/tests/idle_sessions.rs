//! The session between an agent and the owner of its shard while nothing changes on the server.

use lupinrack_cluster_api::agent::{AgentMessage, Heartbeat};
use lupinrack_cluster_api::frame::{Frame, Role};
use lupinrack_cluster_api::identity::{DiskId, FencingToken, PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::agent::machine::{AgentEffect, AgentMachine};
use lupinrack_control_state::ControlState;
use lupinrack_scheduler::{Scheduler, SchedulerSettings};
use lupinrack_worker_agent::{AgentSettings, ServerHeartbeat};
use std::net::SocketAddrV4;

/// Interval at which the clock of the test advances, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval between two ticks of the agent, in milliseconds.
const TICK_MS: u64 = 50;
/// Interval between two rounds of the owner, in milliseconds.
const ROUND_MS: u64 = 100;
/// Interval between two heartbeats of the server, in milliseconds.
const HEARTBEAT_MS: u64 = 300;

fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new([10, 0, 0, number].into(), 7_000))
}

fn service() -> ServiceName {
    ServiceName("service".to_owned())
}

fn heartbeat(sequence: u64) -> ServerHeartbeat {
    let server = ServerId("server".to_owned());
    ServerHeartbeat {
        facts: ServerFacts {
            id: server.clone(),
            service: service(),
            version: "v1".to_owned(),
            zone: "zone".to_owned(),
            capacity: Resources {
                cpu: 16_000,
                memory_mb: 32_000,
                gpu: 0,
            },
            labels: Vec::new(),
        },
        heartbeat: Heartbeat {
            server,
            sequence,
            draining: false,
            remaining_ms: None,
            running: Vec::new(),
            finished: Vec::new(),
            orders_seen: 0,
        },
        unknown_runs: Vec::new(),
        ends_listed: 0,
        address: "10.0.0.9:80".to_owned(),
        slots: 8,
        warm_up_remaining_ms: 0,
        clock_ms: 0,
    }
}

fn agent(lease_max_ms: u64) -> AgentMachine<()> {
    let own = LiveMember {
        address: address(9),
        role: Role::Agent,
        zone: "zone".to_owned(),
        process_incarnation: 1,
    };
    let settings = AgentSettings {
        lease_max_ms,
        heartbeat_ms: 1_500,
        idle_heartbeat_ms: 60,
        busy_heartbeat_ms: 20,
    };
    AgentMachine::new(own, vec![address(1)], Some(service()), settings, Millis(0))
}

fn view() -> View {
    let disk = DiskId(1);
    View {
        number: 1,
        voters: vec![Voter {
            disk,
            address: address(1),
            zone: "zone".to_owned(),
        }],
        chain: vec![disk],
    }
}

/// An agent with an idle server, and the owner. Every message takes `delay_ms`.
struct Pair {
    now: Millis,
    agent: AgentMachine<()>,
    owner: Scheduler,
    state: ControlState,
    delay_ms: u64,
    to_owner: Vec<(Millis, AgentMessage)>,
    to_agent: Vec<(Millis, Frame)>,
    attachments: usize,
}

impl Pair {
    fn new(lease_ms: u64, delay_ms: u64) -> Pair {
        let settings = SchedulerSettings {
            lease_ms,
            ..SchedulerSettings::default()
        };
        let mut pair = Pair {
            now: Millis(0),
            agent: agent(lease_ms),
            owner: Scheduler::new(service(), FencingToken(1), settings, Millis(0)),
            state: ControlState::default(),
            delay_ms,
            to_owner: Vec::new(),
            to_agent: Vec::new(),
            attachments: 0,
        };
        let effects = pair
            .agent
            .on_frame(address(1), Frame::ViewUpdate(view()), Millis(0));
        pair.carry_out(effects);
        pair
    }

    fn carry_out(&mut self, effects: Vec<AgentEffect<()>>) {
        let arrives_at = self.now.plus(self.delay_ms);
        for effect in effects {
            let AgentEffect::Send(outgoing) = effect else {
                continue;
            };
            if let Frame::Agent(message) = outgoing.frame {
                self.attachments += usize::from(matches!(message, AgentMessage::Attach { .. }));
                self.to_owner.push((arrives_at, message));
            }
        }
    }

    fn run_for(&mut self, milliseconds: u64, owner_stands_still: bool) {
        let until = self.now.plus(milliseconds);
        while self.now < until {
            self.now = self.now.plus(STEP_MS);
            self.step_agent();
            if !owner_stands_still {
                self.step_owner();
            }
        }
    }

    fn step_agent(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.to_agent)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.to_agent = later;
        let due: Vec<(Millis, Frame)> = due;
        for (_, frame) in due {
            let effects = self.agent.on_frame(address(1), frame, now);
            self.carry_out(effects);
        }
        if now.0.is_multiple_of(HEARTBEAT_MS) {
            let effects = self.agent.on_heartbeat(heartbeat(now.0), (), now);
            self.carry_out(effects);
        }
        if now.0.is_multiple_of(TICK_MS) {
            let effects = self.agent.on_tick(&LiveTable::default(), now);
            self.carry_out(effects);
        }
    }

    fn step_owner(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.to_owner)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.to_owner = later;
        let due: Vec<(Millis, AgentMessage)> = due;
        for (_, message) in due {
            self.owner.receive(address(9), 1, message, now);
        }
        if now.0.is_multiple_of(ROUND_MS) {
            let authority_until = now.plus(1_000);
            let round = self
                .owner
                .round(&self.state, now, WallMillis(now.0), authority_until);
            let arrives_at = now.plus(self.delay_ms);
            let messages = round.messages.into_iter();
            self.to_agent
                .extend(messages.map(|order| (arrives_at, Frame::Owner(order.message))));
        }
    }
}

#[test]
fn an_agent_of_an_idle_server_keeps_its_session() {
    for lease_ms in [3_000, 6_000, 10_000] {
        let mut pair = Pair::new(lease_ms, 10);
        pair.run_for(10_000, false);
        assert_eq!(pair.attachments, 1, "lease of {lease_ms} ms");
    }
}

#[test]
fn an_agent_keeps_its_session_while_messages_take_long() {
    let mut pair = Pair::new(6_000, 400);
    pair.run_for(10_000, false);
    assert_eq!(pair.attachments, 1);
}

#[test]
fn an_agent_keeps_its_session_with_an_owner_that_stood_still_for_a_second() {
    let mut pair = Pair::new(6_000, 10);
    pair.run_for(3_000, false);
    pair.run_for(1_000, true);
    pair.run_for(3_000, false);
    assert_eq!(pair.attachments, 1);
}

#[test]
fn an_agent_attaches_again_to_an_owner_that_has_lost_its_session() {
    let mut pair = Pair::new(6_000, 10);
    pair.run_for(3_000, false);
    let settings = SchedulerSettings {
        lease_ms: 6_000,
        ..SchedulerSettings::default()
    };
    pair.owner = Scheduler::new(service(), FencingToken(2), settings, pair.now);
    pair.run_for(3_000, false);
    assert_eq!(pair.attachments, 2);
    assert_eq!(pair.agent.agent().token(), FencingToken(2));
}
