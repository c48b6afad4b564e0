//! A machine: its clocks, its disk, and the process that runs on it.

pub(crate) mod agent;
pub(crate) mod clock;
pub(crate) mod disk;
pub(crate) mod front;

use crate::machine::agent::{AgentProcess, HeartbeatAgentEffect, HeartbeatCall};
use crate::machine::clock::MachineClock;
use crate::machine::disk::SimulatedDisk;
use crate::machine::front::FrontProcess;
use lupinrack_cluster_api::frame::{Frame, Role};
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use lupinrack_cluster_node::agent::machine::AgentEffect;
use lupinrack_cluster_node::control_api::HeadCall;
use lupinrack_cluster_node::core::{CoreEffect, CoreEvent, CoreMachine};
use lupinrack_cluster_node::front::machine::FrontEffect;
use lupinrack_cluster_node::front::update_relay::SubscriberFrame;
use lupinrack_cluster_node::head_client::OutgoingFrame;
use lupinrack_worker_agent::{HeartbeatResponse, ServerHeartbeat};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The port of all internal traffic.
const PORT: u16 = 7_000;

/// Period of an intermittent run, in milliseconds. The process runs in the first part of each period.
const INTERMITTENT_PERIOD_MS: u64 = 150;
/// Length of that part, in milliseconds.
const INTERMITTENT_RUN_MS: u64 = 25;

/// The internal address of a machine.
pub(crate) fn address_of(machine: usize) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 0, 0, machine as u8 + 1),
        PORT,
    ))
}

/// The machine at an internal address.
pub(crate) fn machine_at(address: PeerAddress) -> usize {
    usize::from(address.0.ip().octets()[3]) - 1
}

/// The process of a machine.
#[derive(Debug)]
pub(crate) enum Process {
    /// A core process.
    Core(Box<CoreMachine>),
    /// A front.
    Front(Box<FrontProcess>),
    /// An agent.
    Agent(Box<AgentProcess>),
}

/// An input of a process.
#[derive(Debug)]
pub(crate) enum ProcessEvent {
    /// A frame of another process.
    Frame {
        /// The sender's machine.
        from: usize,
        /// The sender's incarnation.
        incarnation: u64,
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A connection has ended.
    Closed {
        /// The machine at its other end.
        from: usize,
        /// The connection.
        connection: u64,
    },
    /// Batches are synced.
    Synced(Vec<u64>),
    /// The disk refused a write.
    WriteFailed,
    /// A call of a client or of the operator.
    Call(HeadCall),
    /// A heartbeat of the server.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<ServerHeartbeat>,
        /// When the server sent it.
        sent_at: u64,
    },
    /// The waiting time of an open heartbeat has passed.
    AnswerDue,
    /// The server has shut down gracefully.
    Deregistered(ServerId),
    /// Time has passed.
    Tick,
    /// The shutdown signal.
    Terminate,
}

/// An effect of a process.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all effects are frames; a box would cost each an allocation"
)]
pub(crate) enum ProcessEffect {
    /// An effect on the network or the disk.
    Core(Box<CoreEffect>),
    /// An answer to a heartbeat of the server.
    Answer {
        /// The heartbeat.
        call: HeartbeatCall,
        /// Its answer.
        answer: Box<HeartbeatResponse>,
    },
}

/// One machine.
#[derive(Debug)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent conditions, any of which may hold with any other"
)]
pub(crate) struct Machine {
    /// Its kind.
    pub role: Role,
    /// Its clocks.
    pub clock: MachineClock,
    /// Its disk; used by core machines.
    pub disk: SimulatedDisk,
    /// The running process; `None` while it is down.
    pub process: Option<Process>,
    /// The incarnation of the process, or of the last one.
    pub incarnation: u64,
    /// Whether the process is suspended.
    pub suspended: bool,
    /// Whether the process runs only for a part of each period.
    pub intermittent: bool,
    /// Whether the machine is gone for good, or will be once its process has ended.
    pub removed: bool,
    /// When its disk was last created empty.
    pub disk_since: u64,
    /// Whether its process has never run.
    pub is_new: bool,
    /// When the process is restarted, if it is.
    pub starts_at: Option<u64>,
    /// Events that arrived while the process was suspended.
    pub inbox: VecDeque<ProcessEvent>,
}

impl Machine {
    /// Creates a machine on which nothing runs yet.
    pub(crate) fn new(role: Role, clock: MachineClock) -> Machine {
        Machine {
            role,
            clock,
            disk: SimulatedDisk::default(),
            process: None,
            incarnation: 0,
            suspended: false,
            intermittent: false,
            removed: false,
            disk_since: 0,
            is_new: true,
            starts_at: Some(0),
            inbox: VecDeque::new(),
        }
    }

    /// Whether the process is suspended at `now`.
    pub(crate) fn is_suspended(&self, now: u64) -> bool {
        self.suspended || (self.intermittent && now % INTERMITTENT_PERIOD_MS >= INTERMITTENT_RUN_MS)
    }

    /// Whether the process has exited after its shutdown signal.
    pub(crate) fn has_ended(&self, now: u64) -> bool {
        let now = self.clock.read(now).now;
        match &self.process {
            Some(Process::Core(core)) => core.is_shutdown_complete(now),
            Some(Process::Front(front)) => front.has_ended(now),
            Some(Process::Agent(agent)) => agent.has_ended(),
            None => false,
        }
    }

    /// Whether an open heartbeat has to be answered now.
    pub(crate) fn is_answer_due(&self, now: u64) -> bool {
        match &self.process {
            Some(Process::Agent(agent)) => agent.is_answer_due(self.clock.read(now).now),
            _ => false,
        }
    }

    /// Hands an event to the process.
    pub(crate) fn handle(&mut self, event: ProcessEvent, now: u64) -> Vec<ProcessEffect> {
        let moment = self.clock.read(now);
        let now = moment.now;
        match (&mut self.process, event) {
            (Some(Process::Core(core)), event) => {
                let Some(event) = core_event(event) else {
                    return Vec::new();
                };
                core.receive(event, moment);
                core.take_effects(moment).into_iter().map(of_core).collect()
            }
            (Some(Process::Front(front)), event) => {
                let effects = match event {
                    ProcessEvent::Frame {
                        from,
                        connection,
                        frame,
                        ..
                    } => front.on_frame(address_of(from), connection, frame, now),
                    ProcessEvent::Closed { from, connection } => {
                        front.on_closed(address_of(from), connection, now)
                    }
                    ProcessEvent::Call(call) => front.on_call(call, now),
                    ProcessEvent::Tick => front.on_tick(now),
                    ProcessEvent::Terminate => front.on_terminate(now),
                    _ => Vec::new(),
                };
                effects.into_iter().map(of_front).collect()
            }
            (Some(Process::Agent(agent)), event) => {
                let effects = match event {
                    ProcessEvent::Frame { from, frame, .. } => {
                        agent.on_frame(address_of(from), frame, now)
                    }
                    ProcessEvent::Closed { from, .. } => agent.on_closed(address_of(from), now),
                    ProcessEvent::Heartbeat { heartbeat, sent_at } => {
                        agent.on_heartbeat(*heartbeat, sent_at, now)
                    }
                    ProcessEvent::AnswerDue => agent.on_answer_due(now),
                    ProcessEvent::Deregistered(server) => agent.on_deregister(server, now),
                    ProcessEvent::Tick => agent.on_tick(now),
                    ProcessEvent::Terminate => agent.on_terminate(),
                    _ => Vec::new(),
                };
                effects.into_iter().map(of_agent).collect()
            }
            (None, _) => Vec::new(),
        }
    }
}

fn core_event(event: ProcessEvent) -> Option<CoreEvent> {
    Some(match event {
        ProcessEvent::Frame {
            from,
            incarnation,
            connection,
            frame,
        } => CoreEvent::Frame {
            from: address_of(from),
            incarnation,
            connection,
            frame,
        },
        ProcessEvent::Closed { from, connection } => CoreEvent::Closed {
            from: address_of(from),
            connection,
        },
        ProcessEvent::Synced(tickets) => CoreEvent::Synced(tickets),
        ProcessEvent::WriteFailed => CoreEvent::WriteFailed,
        ProcessEvent::Call(call) => CoreEvent::Call(call),
        ProcessEvent::Tick => CoreEvent::Tick,
        ProcessEvent::Terminate => CoreEvent::Terminate,
        ProcessEvent::Heartbeat { .. }
        | ProcessEvent::AnswerDue
        | ProcessEvent::Deregistered(_) => return None,
    })
}

fn of_core(effect: CoreEffect) -> ProcessEffect {
    ProcessEffect::Core(Box::new(effect))
}

fn of_agent(effect: HeartbeatAgentEffect) -> ProcessEffect {
    match effect {
        AgentEffect::Send(OutgoingFrame { to, frame }) => of_core(CoreEffect::Send { to, frame }),
        AgentEffect::Answer { call, answer } => ProcessEffect::Answer { call, answer },
    }
}

fn of_front(effect: FrontEffect) -> ProcessEffect {
    of_core(match effect {
        FrontEffect::Send(OutgoingFrame { to, frame }) => CoreEffect::Send { to, frame },
        FrontEffect::SendOn(SubscriberFrame { connection, frame }) => {
            CoreEffect::SendOn { connection, frame }
        }
    })
}
