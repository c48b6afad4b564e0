//! The driver of a front's state machine. It serves clients' calls over HTTP, checks them, and passes them to the
//! machine.

use crate::clock::{draw, Clock};
use crate::control_api::{call_head, HeadCall};
use crate::front::client_call::parse_client_call;
use crate::front::known_configuration::{negative_answer_validity_ms, KnownConfiguration};
use crate::front::machine::{
    FrontEffect, FrontMachine, ACCEPT_CALLS_PERCENT, EXIT_PERCENT, READY_TIMEOUT_MS,
};
use crate::front::update_relay::SubscriberFrame;
use crate::head_client::OutgoingFrame;
use crate::membership::Membership;
use crate::protocol_violations::ProtocolViolationLog;
use crate::settings_reload::reread_seeds;
use crate::signals::{ProcessSignal, Signals};
use crate::status::{FrontStatus, STATUS_PATH};
use crate::NodeError;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::Reply;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_json::{job_state_body, pending_body};
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_transport::http_server::{
    self, DrainTimeouts, HttpLimits, HttpRequest, HttpResponse, ServerHandle,
};
use lupinrack_cluster_transport::listen;
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_cluster_transport::shared_value::SharedValue;
use lupinrack_node_settings::{NodeSettings, SettingsFile};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval of the timer that drives the machine, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// Time before a client's deadline that is reserved for the response to reach it, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 250;
/// Deadline for calls without one, and limit on the deadline of the others, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 2_500;

/// The state that HTTP handlers read. It is replaced as a unit.
#[derive(Clone, Debug, Default)]
struct FrontTable {
    known: KnownConfiguration,
    view: Arc<View>,
    unmatched_replies: u64,
    draining: bool,
}

struct Front {
    clock: Clock,
    peers: Peers,
    machine: FrontMachine,
    table: Arc<SharedValue<FrontTable>>,
    membership: Membership,
    violations: ProtocolViolationLog,
    settings_file: SettingsFile,
}

/// Runs until the process receives a signal to terminate.
pub(crate) async fn run(settings_file: SettingsFile, clock: Clock) -> Result<(), NodeError> {
    // Handlers are installed before any socket is open: without them a signal kills the process.
    let signals = Signals::listen()?;
    let settings = settings_file.settings();
    let grace_ms = settings.bounds.grace_ms;
    let address = PeerAddress(settings.internal_address);
    let (zone, incarnation) = (settings.zone.clone(), draw());
    let hello = Hello {
        address,
        role: Role::Frontend,
        zone: zone.clone(),
        incarnation,
        disk: None,
    };
    let (peers, events) = Peers::start(address.0, hello, PeerSettings::default())
        .map_err(NodeError::ListenForPeers)?;
    let table = Arc::new(SharedValue::new(FrontTable::default()));
    let (calls_in, calls) = mpsc::channel::<HeadCall>(1024);
    let front_server = serve_jobs(settings, &table, calls_in, clock)?;
    let readiness_server = serve_readiness(settings, &table, clock)?;
    let own = LiveMember {
        address,
        role: Role::Frontend,
        zone,
        process_incarnation: incarnation,
    };
    let front = Front {
        clock,
        peers,
        machine: FrontMachine::new(own.clone(), settings.seed_internal(), clock.now()),
        table,
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
    drive(front, inputs, &front_server, grace_ms).await;
    drop(readiness_server);
    Ok(())
}

/// The inputs of the process.
struct Inputs {
    events: mpsc::Receiver<PeerEvent>,
    calls: mpsc::Receiver<HeadCall>,
    signals: Signals,
}

/// Drives the machine until the graceful shutdown after a signal to terminate is complete.
async fn drive(mut front: Front, mut inputs: Inputs, server: &ServerHandle, grace_ms: u64) {
    let mut timer = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut shutdown_began_at: Option<Millis> = None;
    let mut is_draining = false;
    loop {
        tokio::select! {
            Some(event) = inputs.events.recv() => front.on_peer_event(event),
            Some(call) = inputs.calls.recv() => front.on_call(call),
            _ = timer.tick() => front.on_tick(),
            signal = inputs.signals.next() => match signal {
                ProcessSignal::Reload => front.reload(),
                ProcessSignal::Terminate if shutdown_began_at.is_none() => {
                    shutdown_began_at = Some(front.clock.now());
                    front.drain();
                }
                ProcessSignal::Terminate => {}
            }
        }
        let Some(began_at) = shutdown_began_at else {
            continue;
        };
        let waited_ms = front.clock.now().since(began_at);
        if !is_draining && waited_ms >= grace_ms * ACCEPT_CALLS_PERCENT / 100 {
            is_draining = true;
            let server = server.clone();
            tokio::spawn(async move { server.drain(drain_timeouts(grace_ms)).await });
        }
        let is_idle = is_draining && server.open_connections() == 0;
        if is_idle || waited_ms >= grace_ms * EXIT_PERCENT / 100 {
            return;
        }
    }
}

/// Timeouts for draining the HTTP server in the rest of the grace period.
fn drain_timeouts(grace_ms: u64) -> DrainTimeouts {
    let remaining_ms = grace_ms * (EXIT_PERCENT - ACCEPT_CALLS_PERCENT) / 100;
    DrainTimeouts {
        accept_for: Duration::from_millis(remaining_ms / 4),
        response_timeout: Duration::from_millis(remaining_ms / 2),
    }
}

impl Front {
    fn on_peer_event(&mut self, event: PeerEvent) {
        let now = self.clock.now();
        let effects = match event {
            PeerEvent::Frame {
                from,
                connection,
                frame,
                ..
            } => {
                let is_update = matches!(frame, Frame::ConfigurationUpdate { .. });
                let effects = self.machine.on_frame(from, connection, frame, now);
                if is_update {
                    self.publish_configuration();
                }
                effects
            }
            PeerEvent::Closed {
                from, connection, ..
            } => self.machine.on_closed(from, connection, now),
        };
        self.carry_out(effects);
    }

    fn on_call(&mut self, call: HeadCall) {
        let effects = self.machine.on_call(call, self.clock.now());
        self.carry_out(effects);
    }

    fn on_tick(&mut self) {
        let effects = self
            .machine
            .on_tick(&self.membership.table(), self.clock.now());
        self.carry_out(effects);
        self.publish_calls();
        self.violations.report_new(&self.peers);
    }

    /// Publishes the known configuration to the HTTP handlers.
    fn publish_configuration(&mut self) {
        let mut next = FrontTable::clone(&self.table.load());
        next.known = self.machine.known().clone();
        self.table.replace(Arc::new(next));
    }

    /// Publishes the newest view and the count of unmatched replies to the HTTP handlers.
    fn publish_calls(&mut self) {
        let table = self.table.load();
        let newest = self.machine.view();
        let unmatched_replies = self.machine.unmatched_replies();
        if newest.number <= table.view.number && unmatched_replies == table.unmatched_replies {
            return;
        }
        let view = Arc::new(newest.clone());
        let next = FrontTable {
            view,
            unmatched_replies,
            ..FrontTable::clone(&table)
        };
        self.table.replace(Arc::new(next));
    }

    fn reload(&mut self) {
        if let Some(seeds) = reread_seeds(&mut self.settings_file) {
            self.membership.set_seeds(seeds.clone());
            self.machine.set_seeds(seeds);
        }
    }

    fn drain(&mut self) {
        spdlog::info!("received a signal to terminate");
        self.membership.shut_down();
        let mut next = FrontTable::clone(&self.table.load());
        next.draining = true;
        self.table.replace(Arc::new(next));
    }

    fn carry_out(&mut self, effects: Vec<FrontEffect>) {
        for effect in effects {
            match effect {
                FrontEffect::Send(OutgoingFrame { to, frame }) => {
                    self.peers.send(to, frame);
                }
                FrontEffect::SendOn(SubscriberFrame { connection, frame }) => {
                    self.peers.send_on(connection, frame);
                }
            }
        }
    }
}

fn serve_readiness(
    settings: &NodeSettings,
    table: &Arc<SharedValue<FrontTable>>,
    clock: Clock,
) -> Result<http_server::ServerHandle, NodeError> {
    let address = settings.readiness.ok_or(NodeError::MissingAddress)?;
    let listener = listen::bind_once(address).map_err(NodeError::ListenForHttp)?;
    let table = table.clone();
    let node = settings.node.clone();
    let handler = move |call: HttpRequest| {
        let table = table.load();
        let ready = is_ready(&table, clock.now());
        let answer = match call.path.as_str() {
            STATUS_PATH => HttpResponse::json(status(&node, &table, clock.now())),
            _ => HttpResponse::empty(if ready { 200 } else { 503 }),
        };
        async move { answer }
    };
    http_server::serve(
        listener,
        Arc::new(SharedValue::new(HttpLimits::default())),
        handler,
    )
    .map_err(NodeError::ListenForHttp)
}

fn status(node: &str, table: &FrontTable, now: Millis) -> String {
    let confirmed = table.known.confirmed_at > Millis(0);
    let status = FrontStatus {
        node,
        ready: is_ready(table, now),
        view: &table.view,
        configuration: table.known.configuration.version,
        confirmed_ms_ago: confirmed.then(|| now.since(table.known.confirmed_at)),
        unmatched_replies: table.unmatched_replies,
    };
    status.to_string()
}

fn is_ready(table: &FrontTable, now: Millis) -> bool {
    !table.draining && table.known.is_confirmed_within(READY_TIMEOUT_MS, now)
}

fn serve_jobs(
    settings: &NodeSettings,
    table: &Arc<SharedValue<FrontTable>>,
    calls: mpsc::Sender<HeadCall>,
    clock: Clock,
) -> Result<http_server::ServerHandle, NodeError> {
    let address = settings.front.ok_or(NodeError::MissingAddress)?;
    let listener = listen::bind_once(address).map_err(NodeError::ListenForHttp)?;
    let table = table.clone();
    let negative_answer_validity_ms = negative_answer_validity_ms(settings.bounds.config_apply_ms);
    let handler = move |call: HttpRequest| {
        let table = table.load();
        let calls = calls.clone();
        async move { answer(call, table, calls, negative_answer_validity_ms, clock).await }
    };
    http_server::serve(
        listener,
        Arc::new(SharedValue::new(HttpLimits::default())),
        handler,
    )
    .map_err(NodeError::ListenForHttp)
}

async fn answer(
    call: HttpRequest,
    table: Arc<FrontTable>,
    calls: mpsc::Sender<HeadCall>,
    negative_answer_validity_ms: u64,
    clock: Clock,
) -> HttpResponse {
    match parse_client_call(
        &call,
        &table.known,
        negative_answer_validity_ms,
        clock.now(),
    ) {
        Err(kind) => HttpResponse::error(kind),
        Ok(request) => {
            let remaining_ms = call
                .deadline_remaining_ms
                .unwrap_or(DEFAULT_DEADLINE_MS)
                .min(DEFAULT_DEADLINE_MS);
            let wait_ms = remaining_ms.saturating_sub(RESPONSE_MARGIN_MS).max(1);
            http_response(&call_head(&calls, request, wait_ms).await)
        }
    }
}

fn http_response(reply: &Reply) -> HttpResponse {
    match reply {
        Reply::Job(state) => HttpResponse::json(job_state_body(*state)),
        Reply::Pending(count) => HttpResponse::json(pending_body(*count)),
        Reply::Done => HttpResponse::empty(200),
        Reply::Error(kind) => HttpResponse::error(*kind),
        Reply::ConfigurationDocument(_) | Reply::NotHead(_) => {
            HttpResponse::error(ErrorKind::InDoubt)
        }
    }
}
