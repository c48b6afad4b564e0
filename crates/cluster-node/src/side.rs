//! The agent's process, beside one server.

use crate::clock::{draw, Clock};
use crate::membership::Membership;
use crate::owner::owner_address;
use crate::signals::Signals;
use crate::status::{AgentStatus, STATUS_PATH};
use crate::subscription::Subscription;
use crate::view_source::ViewSource;
use crate::violations::ViolationLog;
use crate::NodeError;
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::{Frame, Hello, Interest, Role};
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_net::http_server::{self, HttpAnswer, HttpCall, HttpLimits, ServerHandle};
use lupinrack_cluster_net::listen;
use lupinrack_cluster_net::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_cluster_net::snapshot::Snapshot;
use lupinrack_cluster_settings::NodeSettings;
use lupinrack_worker_agent::heartbeat_json::{parse, render};
use lupinrack_worker_agent::{Agent, AgentSettings, HeartbeatReceipt, OpenHeartbeat, ServerHeartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How often the process looks at its clock, in milliseconds.
const TICK_MS: u64 = 50;
/// Between two subscriptions to views, in milliseconds.
const SUBSCRIBE_MS: u64 = 1_500;
/// An owner that says nothing for this long after it was told of the server is told again, in milliseconds.
const OWNER_SILENT_MS: u64 = 600;
/// Between heartbeats of a server on which nothing happens, in milliseconds.
const IDLE_BEAT_MS: u64 = 60;
/// Between heartbeats of a server on which runs start or end, in milliseconds.
const BUSY_BEAT_MS: u64 = 20;
/// How long the answer to a heartbeat that lists ends waits for what takes their place, in milliseconds.
const WAIT_AFTER_ENDS_MS: u64 = 80;
/// How long the answer to a server on which nothing runs waits for work, in milliseconds.
const WAIT_IDLE_MS: u64 = 300;
const INSTANCES_PATH: &str = "/lupinrack/instances/";

enum ServerCall {
    Heartbeat { parsed: Box<ServerHeartbeat>, answerer: oneshot::Sender<String> },
    Leave { server: ServerId, answerer: oneshot::Sender<String> },
    Status { answerer: oneshot::Sender<String> },
}

struct Side {
    node: String,
    clock: Clock,
    peers: Peers,
    view: View,
    subscription: Subscription,
    agent: Agent,
    service: Option<ServiceName>,
    owner: Option<PeerAddress>,
    owner_heard: Millis,
    session: u64,
    membership: Membership,
    view_source: ViewSource,
    open: Option<OpenCall>,
    violations: ViolationLog,
}

/// A heartbeat whose answer waits for orders.
struct OpenCall {
    open: OpenHeartbeat,
    answerer: oneshot::Sender<String>,
    until: Millis,
}

/// Runs until the process is told to end.
pub async fn run(settings: NodeSettings, clock: Clock) -> Result<(), NodeError> {
    let address = PeerAddress(settings.internal_address);
    let (zone, life) = (settings.zone.clone(), draw());
    let hello = Hello { address, role: Role::Agent, zone: zone.clone(), life, disk: None };
    let (peers, mut events) = Peers::start(address.0, hello, PeerSettings::default())?;
    let (calls_in, mut calls) = mpsc::channel::<ServerCall>(64);
    let server = serve(&settings, calls_in)?;
    let now = clock.now();
    let agent_settings = AgentSettings {
        hold_max_ms: settings.bounds.hold_max_ms,
        heartbeat_ms: settings.heartbeat_ms,
        idle_beat_ms: IDLE_BEAT_MS,
        busy_beat_ms: BUSY_BEAT_MS,
    };
    let mut side = Side {
        node: settings.node.clone(),
        clock,
        peers,
        view: View::default(),
        subscription: Subscription::new(settings.seed_internal(), SUBSCRIBE_MS, now),
        agent: Agent::new(agent_settings, now),
        service: settings.service.clone().map(ServiceName),
        owner: None,
        owner_heard: now,
        session: 0,
        view_source: ViewSource::new(address, zone.clone()),
        membership: Membership::start(
            LiveMember { address, role: Role::Agent, zone, life },
            settings.seed_internal(),
            SwimSettings::default(),
            clock,
        ),
        open: None,
        violations: ViolationLog::default(),
    };
    let mut signals = Signals::listen()?;
    let mut timer = tokio::time::interval(Duration::from_millis(TICK_MS));
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = events.recv() => side.on_peer_event(event),
            Some(call) = calls.recv() => side.on_server_call(call),
            _ = timer.tick() => side.on_tick(),
            () = side.wait_is_over() => side.answer_if_due(clock.now()),
            () = signals.terminated() => {
                drop(server);
                side.membership.leave();
                // The farewell is sent by a task of its own.
                tokio::task::yield_now().await;
                return Ok(());
            }
        }
    }
}

impl Side {
    fn on_peer_event(&mut self, event: PeerEvent) {
        let now = self.clock.now();
        match event {
            PeerEvent::Frame { from, frame, .. } => match frame {
                Frame::Owner(message) if Some(from) == self.owner => {
                    self.on_owner_message(message, now);
                }
                Frame::ViewNews(view) => self.on_view(view, now),
                _ => {}
            },
            PeerEvent::Closed { from, .. } => {
                if Some(from) == self.owner {
                    self.begin_session(now);
                    self.subscription.hurry();
                }
                if self.view_source.closed(from, now) {
                    self.subscription.hurry();
                }
            }
        }
    }

    fn on_owner_message(&mut self, message: OwnerMessage, now: Millis) {
        self.owner_heard = now;
        self.subscription.heard_news(now);
        if let Err(refused) = self.agent.owner_message(self.session, message, now) {
            spdlog::debug!("an order was refused: {refused}");
        }
        self.answer_if_due(now);
    }

    fn on_view(&mut self, view: View, now: Millis) {
        self.subscription.heard_news(now);
        if view.number <= self.view.number {
            return;
        }
        self.view = view;
        self.find_owner(now);
    }

    fn find_owner(&mut self, now: Millis) {
        let owner = self.service.as_ref().and_then(|service| owner_address(&self.view, service));
        if owner != self.owner {
            self.owner = owner;
            self.begin_session(now);
        }
    }

    fn begin_session(&mut self, now: Millis) {
        self.session += 1;
        self.owner_heard = now;
        self.agent.owner_connected(self.session);
        self.send_to_owner(now);
    }

    fn on_server_call(&mut self, call: ServerCall) {
        let now = self.clock.now();
        match call {
            ServerCall::Heartbeat { parsed, answerer } => {
                let service = parsed.facts.service.clone();
                if self.service.as_ref() != Some(&service) {
                    self.service = Some(service);
                    self.find_owner(now);
                }
                self.answer_open(now);
                self.take_heartbeat(*parsed, answerer, now);
            }
            ServerCall::Leave { server, answerer } => {
                self.agent.leave(server, now);
                let _ = answerer.send(String::new());
            }
            ServerCall::Status { answerer } => {
                let _ = answerer.send(self.status(now));
            }
        }
        self.send_to_owner(now);
    }

    fn status(&self, now: Millis) -> String {
        let status = AgentStatus {
            node: &self.node,
            view: &self.view,
            server: self.agent.server().map(|facts| &facts.id),
            service: self.service.as_ref(),
            owner: self.owner,
            owner_heard_ms_ago: now.since(self.owner_heard),
            token: self.agent.token().0,
        };
        status.to_string()
    }

    /// Takes a heartbeat. Its answer waits a moment where orders are likely to come.
    fn take_heartbeat(&mut self, beat: ServerHeartbeat, answerer: oneshot::Sender<String>, now: Millis) {
        let open = match self.agent.receive_heartbeat(beat, now) {
            HeartbeatReceipt::Open(open) => open,
            HeartbeatReceipt::Answer(answer) => {
                // A server that has given up needs no answer.
                let _ = answerer.send(render(&answer));
                return;
            }
        };
        let wait_ms = match (open.ends, open.idle) {
            (true, _) => WAIT_AFTER_ENDS_MS,
            (_, true) => WAIT_IDLE_MS,
            _ => 0,
        };
        self.open = Some(OpenCall { open, answerer, until: now.plus(wait_ms) });
        self.answer_if_due(now);
    }

    /// Answers the open heartbeat if there are orders, or if it has waited for long enough.
    fn answer_if_due(&mut self, now: Millis) {
        let waits = self.open.as_ref().is_some_and(|call| now < call.until);
        if waits && !self.agent.has_orders(now) {
            return;
        }
        self.answer_open(now);
    }

    fn answer_open(&mut self, now: Millis) {
        if let Some(call) = self.open.take() {
            let answer = self.agent.answer_heartbeat(&call.open, now);
            let _ = call.answerer.send(render(&answer));
        }
    }

    /// Ends when the open heartbeat has waited for long enough.
    async fn wait_is_over(&self) {
        match &self.open {
            Some(call) => {
                let wait_ms = call.until.since(self.clock.now());
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            None => std::future::pending().await,
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        self.violations.look(&self.peers);
        let silent = self.owner.is_some() && now.since(self.owner_heard) >= OWNER_SILENT_MS;
        if silent {
            self.view_source.doubt(now);
            self.subscription.hurry();
            self.begin_session(now);
        }
        self.send_to_owner(now);
        if let Some(subscribe) = self.subscription.tick(&self.view, Interest::Views, now) {
            let head = self.view.head().and_then(|disk| self.view.address(disk));
            let to = self.view_source.choose(subscribe.to, head, &self.membership.table(), now);
            self.peers.send(to, subscribe.frame);
        }
    }

    fn send_to_owner(&mut self, now: Millis) {
        let Some(owner) = self.owner else {
            return;
        };
        let messages: Vec<AgentMessage> = self.agent.poll(now);
        for message in messages {
            self.peers.send(owner, Frame::Agent(message));
        }
    }
}

fn serve(settings: &NodeSettings, calls: mpsc::Sender<ServerCall>) -> Result<ServerHandle, NodeError> {
    let address = settings.control.ok_or(NodeError::NoAddress)?;
    let listener = listen::bind_once(address)?;
    let limits = HttpLimits { max_body_bytes: 4 * 1024 * 1024, ..HttpLimits::default() };
    let handler = move |call: HttpCall| {
        let calls = calls.clone();
        async move { answer(call, calls).await }
    };
    Ok(http_server::serve(listener, Arc::new(Snapshot::new(limits)), handler)?)
}

async fn answer(call: HttpCall, calls: mpsc::Sender<ServerCall>) -> HttpAnswer {
    let (answerer, reply) = oneshot::channel();
    let server_call = match server_call_of(&call, answerer) {
        Ok(server_call) => server_call,
        Err(kind) => return HttpAnswer::error(kind),
    };
    if calls.send(server_call).await.is_err() {
        return HttpAnswer::error(ErrorKind::ShuttingDown);
    }
    match reply.await {
        Ok(body) if body.is_empty() => HttpAnswer::empty(200),
        Ok(body) => HttpAnswer::json(body),
        Err(_) => HttpAnswer::error(ErrorKind::ShuttingDown),
    }
}

fn server_call_of(call: &HttpCall, answerer: oneshot::Sender<String>) -> Result<ServerCall, ErrorKind> {
    if call.method.as_str() == "GET" && call.path == STATUS_PATH {
        return Ok(ServerCall::Status { answerer });
    }
    let id = call.path.strip_prefix(INSTANCES_PATH).ok_or(ErrorKind::NotServed)?;
    match call.method.as_str() {
        "PUT" => match parse(id, &call.body) {
            Ok(parsed) => Ok(ServerCall::Heartbeat { parsed: Box::new(parsed), answerer }),
            Err(fault) => {
                spdlog::warn!("a heartbeat cannot be read: {fault}");
                Err(ErrorKind::Malformed)
            }
        },
        "DELETE" => Ok(ServerCall::Leave { server: ServerId(id.to_owned()), answerer }),
        _ => Err(ErrorKind::NotServed),
    }
}
