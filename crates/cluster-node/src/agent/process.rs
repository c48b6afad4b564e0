//! The driver of an agent's state machine.

use crate::agent::machine::{AgentEffect, AgentMachine};
use crate::clock::{draw, Clock};
use crate::head_client::OutgoingFrame;
use crate::membership::Membership;
use crate::protocol_violations::ProtocolViolationLog;
use crate::settings_reload::reread_seeds;
use crate::signals::{ProcessSignal, Signals};
use crate::status::{AgentStatus, STATUS_PATH};
use crate::NodeError;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::{Hello, Role};
use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_transport::http_server::{
    self, HttpLimits, HttpRequest, HttpResponse, ServerHandle,
};
use lupinrack_cluster_transport::listen;
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_cluster_transport::shared_value::SharedValue;
use lupinrack_node_settings::{NodeSettings, SettingsFile};
use lupinrack_worker_agent::heartbeat_json::{parse, render};
use lupinrack_worker_agent::{AgentSettings, ServerHeartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Interval of the timer that drives the machine, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// Heartbeat interval of an idle server, in milliseconds.
const IDLE_HEARTBEAT_MS: u64 = 60;
/// Heartbeat interval of a server on which runs start or end, in milliseconds.
const BUSY_HEARTBEAT_MS: u64 = 20;
const INSTANCES_PATH: &str = "/lupinrack/instances/";

enum ServerCall {
    Heartbeat {
        parsed: Box<ServerHeartbeat>,
        reply_to: oneshot::Sender<String>,
    },
    Deregister {
        server: ServerId,
        reply_to: oneshot::Sender<String>,
    },
    Status {
        reply_to: oneshot::Sender<String>,
    },
}

/// Sender of the answer to a heartbeat.
type HeartbeatReplySender = oneshot::Sender<String>;

struct AgentProcess {
    node: String,
    clock: Clock,
    peers: Peers,
    machine: AgentMachine<HeartbeatReplySender>,
    membership: Membership,
    violations: ProtocolViolationLog,
    settings_file: SettingsFile,
}

/// Runs until the process receives a signal to terminate.
pub(crate) async fn run(settings_file: SettingsFile, clock: Clock) -> Result<(), NodeError> {
    // Handlers are installed before any socket is open: without them a signal kills the process.
    let signals = Signals::listen()?;
    let settings = settings_file.settings();
    let address = PeerAddress(settings.internal_address);
    let (zone, incarnation) = (settings.zone.clone(), draw());
    let hello = Hello {
        address,
        role: Role::Agent,
        zone: zone.clone(),
        incarnation,
        disk: None,
    };
    let (peers, events) = Peers::start(address.0, hello, PeerSettings::default())
        .map_err(NodeError::ListenForPeers)?;
    let (calls_in, calls) = mpsc::channel::<ServerCall>(64);
    let server = serve(settings, calls_in)?;
    let now = clock.now();
    let agent_settings = AgentSettings {
        lease_max_ms: settings.bounds.lease_max_ms,
        heartbeat_ms: settings.heartbeat_ms,
        idle_heartbeat_ms: IDLE_HEARTBEAT_MS,
        busy_heartbeat_ms: BUSY_HEARTBEAT_MS,
    };
    let own = LiveMember {
        address,
        role: Role::Agent,
        zone,
        process_incarnation: incarnation,
    };
    let service = settings.service.clone().map(ServiceName);
    let process = AgentProcess {
        node: settings.node.clone(),
        clock,
        peers,
        machine: AgentMachine::new(
            own.clone(),
            settings.seed_internal(),
            service,
            agent_settings,
            now,
        ),
        membership: Membership::start(
            own,
            settings.seed_internal(),
            SwimSettings::default(),
            clock,
        ),
        violations: ProtocolViolationLog::default(),
        settings_file,
    };
    let inputs = Inputs {
        events,
        calls,
        signals,
    };
    drive(process, inputs).await;
    drop(server);
    Ok(())
}

/// The inputs of the process.
struct Inputs {
    events: mpsc::Receiver<PeerEvent>,
    calls: mpsc::Receiver<ServerCall>,
    signals: Signals,
}

/// Drives the machine until the process receives a signal to terminate.
async fn drive(mut process: AgentProcess, mut inputs: Inputs) {
    let mut timer = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = inputs.events.recv() => process.on_peer_event(event),
            Some(call) = inputs.calls.recv() => process.on_server_call(call),
            _ = timer.tick() => process.on_tick(),
            () = process.response_is_due() => process.on_response_due(),
            signal = inputs.signals.next() => match signal {
                ProcessSignal::Reload => process.reload(),
                ProcessSignal::Terminate => {
                    process.membership.shut_down();
                    // Lets the membership task announce the departure.
                    tokio::task::yield_now().await;
                    return;
                }
            }
        }
    }
}

impl AgentProcess {
    fn on_peer_event(&mut self, event: PeerEvent) {
        let now = self.clock.now();
        let effects = match event {
            PeerEvent::Frame { from, frame, .. } => self.machine.on_frame(from, frame, now),
            PeerEvent::Closed { from, .. } => self.machine.on_closed(from, now),
        };
        self.carry_out(effects);
    }

    fn on_server_call(&mut self, call: ServerCall) {
        let now = self.clock.now();
        match call {
            ServerCall::Heartbeat { parsed, reply_to } => {
                let effects = self.machine.on_heartbeat(*parsed, reply_to, now);
                self.carry_out(effects);
            }
            ServerCall::Deregister { server, reply_to } => {
                let effects = self.machine.on_deregister(server, now);
                let _ = reply_to.send(String::new());
                self.carry_out(effects);
            }
            ServerCall::Status { reply_to } => {
                let _ = reply_to.send(self.status(now));
            }
        }
    }

    fn status(&self, now: Millis) -> String {
        let status = AgentStatus {
            node: &self.node,
            view: self.machine.view(),
            server: self.machine.agent().server().map(|facts| &facts.id),
            service: self.machine.service(),
            owner: self.machine.owner(),
            owner_received_ms_ago: now.since(self.machine.owner_received_at()),
            token: self.machine.agent().token().0,
        };
        status.to_string()
    }

    fn reload(&mut self) {
        if let Some(seeds) = reread_seeds(&mut self.settings_file) {
            self.membership.set_seeds(seeds.clone());
            self.machine.set_seeds(seeds);
        }
    }

    fn on_response_due(&mut self) {
        let effects = self.machine.on_response_due(self.clock.now());
        self.carry_out(effects);
    }

    /// Completes when the answer to the pending heartbeat is due. Pending forever if no heartbeat is pending.
    async fn response_is_due(&self) {
        match self.machine.response_due_at() {
            Some(due_at) => {
                let wait_ms = due_at.since(self.clock.now());
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            None => std::future::pending().await,
        }
    }

    fn on_tick(&mut self) {
        self.violations.report_new(&self.peers);
        let effects = self
            .machine
            .on_tick(&self.membership.table(), self.clock.now());
        self.carry_out(effects);
    }

    fn carry_out(&self, effects: Vec<AgentEffect<HeartbeatReplySender>>) {
        for effect in effects {
            match effect {
                AgentEffect::Send(OutgoingFrame { to, frame }) => {
                    self.peers.send(to, frame);
                }
                AgentEffect::Answer { call, answer } => {
                    // Sending fails if the server has disconnected. The answer is then dropped.
                    let _ = call.send(render(&answer));
                }
            }
        }
    }
}

fn serve(
    settings: &NodeSettings,
    calls: mpsc::Sender<ServerCall>,
) -> Result<ServerHandle, NodeError> {
    let address = settings.control.ok_or(NodeError::MissingAddress)?;
    let listener = listen::bind_once(address).map_err(NodeError::ListenForHttp)?;
    let limits = HttpLimits {
        max_body_bytes: 4 * 1024 * 1024,
        ..HttpLimits::default()
    };
    let handler = move |call: HttpRequest| {
        let calls = calls.clone();
        async move { answer(call, calls).await }
    };
    http_server::serve(listener, Arc::new(SharedValue::new(limits)), handler)
        .map_err(NodeError::ListenForHttp)
}

async fn answer(call: HttpRequest, calls: mpsc::Sender<ServerCall>) -> HttpResponse {
    let (reply_to, reply) = oneshot::channel();
    let server_call = match server_call_of(&call, reply_to) {
        Ok(server_call) => server_call,
        Err(kind) => return HttpResponse::error(kind),
    };
    if calls.send(server_call).await.is_err() {
        return HttpResponse::error(ErrorKind::ShuttingDown);
    }
    match reply.await {
        Ok(body) if body.is_empty() => HttpResponse::empty(200),
        Ok(body) => HttpResponse::json(body),
        Err(_) => HttpResponse::error(ErrorKind::ShuttingDown),
    }
}

fn server_call_of(
    call: &HttpRequest,
    reply_to: oneshot::Sender<String>,
) -> Result<ServerCall, ErrorKind> {
    if call.method.as_str() == "GET" && call.path == STATUS_PATH {
        return Ok(ServerCall::Status { reply_to });
    }
    let id = call
        .path
        .strip_prefix(INSTANCES_PATH)
        .ok_or(ErrorKind::NotServed)?;
    match call.method.as_str() {
        "PUT" => match parse(id, &call.body) {
            Ok(parsed) => Ok(ServerCall::Heartbeat {
                parsed: Box::new(parsed),
                reply_to,
            }),
            Err(fault) => {
                spdlog::warn!("a heartbeat cannot be read: {fault}");
                Err(ErrorKind::Malformed)
            }
        },
        "DELETE" => Ok(ServerCall::Deregister {
            server: ServerId(id.to_owned()),
            reply_to,
        }),
        _ => Err(ErrorKind::NotServed),
    }
}
