//! The driver of [`CoreMachine`]. It owns the sockets, the thread that writes to the disk, and the clocks.

use super::{CoreEffect, CoreEvent, CoreMachine, CoreSettings};
use crate::clock::{draw, Clock};
use crate::control_api::{self, HeadCall, ProcessCall};
use crate::error::NodeError;
use crate::membership::Membership;
use crate::protocol_violations::ProtocolViolationLog;
use crate::settings_reload::reread_seeds;
use crate::signals::{ProcessSignal, Signals};
use lupinrack_cluster_api::frame::{Hello, Role, MAX_FRAME_BYTES};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_membership::{LiveMember, LiveTable, SwimSettings};
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_control_store::{ControlStore, QueuedBatch, StoreSettings, WriteOutcome, Writer};
use lupinrack_node_settings::{MachineLimits, SettingsFile};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Interval of the timer that drives the machine, in milliseconds.
const TICK_INTERVAL_MS: u64 = 25;
/// The store's file is compacted on opening if it is larger than one part in this many of the disk.
const COMPACTION_DISK_DIVISOR: u64 = 4;
/// Bytes in a megabyte, the unit of disk sizes in the settings.
const MEGABYTE: u64 = 1_000_000;
/// Capacity of the queue of operators' calls to the head.
const MAX_WAITING_CALLS: usize = 256;
/// Capacity of the queue of operators' queries to this process.
const MAX_WAITING_QUERIES: usize = 16;

struct Driver {
    clock: Clock,
    machine: CoreMachine,
    peers: Peers,
    writer: Writer,
    membership: Membership,
    settings_file: SettingsFile,
    violations: ProtocolViolationLog,
    /// The table of live members that was last passed to the machine.
    table: Arc<LiveTable>,
}

/// The inputs of the process.
struct Inputs {
    peer_events: mpsc::Receiver<PeerEvent>,
    write_outcomes: mpsc::UnboundedReceiver<WriteOutcome>,
    calls: mpsc::Receiver<HeadCall>,
    queries: mpsc::Receiver<ProcessCall>,
    signals: Signals,
}

/// Runs until the process has shut down.
///
/// # Errors
///
/// If the process cannot start, or has to exit because of a [`CoreFault`](super::CoreFault).
pub(crate) async fn run(settings_file: SettingsFile, clock: Clock) -> Result<(), NodeError> {
    // Handlers are installed before any socket is open: without them a signal kills the process.
    let signals = Signals::listen()?;
    let settings = settings_file.settings();
    let data_dir = settings.data_dir.as_ref();
    let data_dir = data_dir.ok_or(NodeError::MissingDataDirectory)?;
    let (mut store, mut recovered) = ControlStore::open(data_dir, store_settings(&settings.limits))
        .map_err(NodeError::OpenStore)?;
    let disk = store
        .identify(&mut recovered, DiskId(draw()))
        .map_err(NodeError::OpenStore)?;
    let sync_ms = store.opening_sync().as_millis() as u64;
    let core_settings = CoreSettings::of_node(settings, disk, sync_ms, draw());
    let (peers, peer_events) = Peers::start(
        settings.internal_address,
        hello(&core_settings),
        peer_settings(),
    )
    .map_err(NodeError::ListenForPeers)?;
    let (outcomes_in, write_outcomes) = mpsc::unbounded_channel::<WriteOutcome>();
    let writer = Writer::spawn(store, move |outcome| {
        // Sending fails only once the driver has dropped its receiver at exit.
        let _ = outcomes_in.send(outcome);
    })
    .map_err(NodeError::StartWriter)?;
    let membership = Membership::start(
        member(&core_settings),
        settings.seed_internal(),
        SwimSettings::default(),
        clock,
    );
    let machine = CoreMachine::new(core_settings, recovered, clock.moment())?;
    let (calls_in, calls) = mpsc::channel(MAX_WAITING_CALLS);
    let (queries_in, queries) = mpsc::channel(MAX_WAITING_QUERIES);
    let http = control_api::serve(settings, calls_in, queries_in)?;
    let inputs = Inputs {
        peer_events,
        write_outcomes,
        calls,
        queries,
        signals,
    };
    let driver = Driver {
        clock,
        machine,
        peers,
        writer,
        membership,
        settings_file,
        violations: ProtocolViolationLog::default(),
        table: Arc::default(),
    };
    let result = drive(driver, inputs).await;
    drop(http);
    result
}

async fn drive(mut driver: Driver, mut inputs: Inputs) -> Result<(), NodeError> {
    let mut timer = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    driver.carry_out_effects();
    loop {
        tokio::select! {
            Some(event) = inputs.peer_events.recv() => {
                driver.receive(peer_event(event));
                while let Ok(event) = inputs.peer_events.try_recv() {
                    driver.receive(peer_event(event));
                }
            }
            Some(outcome) = inputs.write_outcomes.recv() => driver.on_write_outcome(outcome),
            Some(call) = inputs.calls.recv() => driver.receive(CoreEvent::Call(call)),
            Some(call) = inputs.queries.recv() => driver.receive(CoreEvent::Query(call)),
            _ = timer.tick() => driver.on_tick(),
            () = driver.round_is_due() => {}
            signal = inputs.signals.next() => driver.on_signal(signal),
        }
        driver.carry_out_effects();
        if let Some(fault) = driver.machine.fault() {
            return Err(NodeError::Fault(fault));
        }
        if driver.machine.is_shutdown_complete(driver.clock.now()) {
            return Ok(());
        }
    }
}

fn store_settings(limits: &MachineLimits) -> StoreSettings {
    let default = StoreSettings::default();
    let compact_above_bytes = match limits.disk_mb {
        0 => default.compact_above_bytes,
        known => default
            .compact_above_bytes
            .min(known.saturating_mul(MEGABYTE) / COMPACTION_DISK_DIVISOR),
    };
    StoreSettings {
        compact_above_bytes,
        ..default
    }
}

/// Lets a connection buffer the largest frame.
fn peer_settings() -> PeerSettings {
    PeerSettings {
        max_unwritten_bytes: MAX_FRAME_BYTES,
        ..PeerSettings::default()
    }
}

fn hello(settings: &CoreSettings) -> Hello {
    Hello {
        address: settings.me.address,
        role: Role::Core,
        zone: settings.me.zone.clone(),
        incarnation: settings.incarnation,
        disk: Some(settings.me.disk),
    }
}

fn member(settings: &CoreSettings) -> LiveMember {
    LiveMember {
        address: settings.me.address,
        role: Role::Core,
        zone: settings.me.zone.clone(),
        process_incarnation: settings.incarnation,
    }
}

fn peer_event(event: PeerEvent) -> CoreEvent {
    match event {
        PeerEvent::Frame {
            from,
            incarnation,
            connection,
            frame,
            ..
        } => CoreEvent::Frame {
            from,
            incarnation,
            connection,
            frame,
        },
        PeerEvent::Closed {
            from, connection, ..
        } => CoreEvent::Closed { from, connection },
    }
}

impl Driver {
    fn receive(&mut self, event: CoreEvent) {
        self.machine.receive(event, self.clock.moment());
    }

    fn on_signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Terminate => {
                self.membership.shut_down();
                self.receive(CoreEvent::Terminate);
            }
            ProcessSignal::Reload => {
                if let Some(seeds) = reread_seeds(&mut self.settings_file) {
                    self.membership.set_seeds(seeds.clone());
                    self.receive(CoreEvent::SeedsReplaced(seeds));
                }
            }
        }
    }

    fn on_tick(&mut self) {
        self.violations.report_new(&self.peers);
        let table = self.membership.table();
        if !Arc::ptr_eq(&self.table, &table) {
            let addresses = table.core_addresses().collect();
            self.table = table;
            self.receive(CoreEvent::LiveCoreProcesses(addresses));
        }
        self.receive(CoreEvent::Tick);
    }

    fn on_write_outcome(&mut self, outcome: WriteOutcome) {
        if let Err(error) = &outcome.result {
            spdlog::warn!("the disk refused a write: {error}");
            self.receive(CoreEvent::WriteFailed);
        }
        if !outcome.rejected.is_empty() {
            self.receive(CoreEvent::WriteRejected);
        }
        self.receive(CoreEvent::Synced(outcome.synced));
    }

    /// Completes when the requested round of the schedulers may run. Pending forever if none is requested.
    async fn round_is_due(&self) {
        match self.machine.round_wait_ms(self.clock.now()) {
            Some(wait_ms) => tokio::time::sleep(Duration::from_millis(wait_ms)).await,
            None => std::future::pending().await,
        }
    }

    fn carry_out_effects(&mut self) {
        let began = Instant::now();
        let effects = self.machine.take_effects(self.clock.moment());
        self.machine.events_finished_in(began.elapsed());
        let mut batches = Vec::new();
        for effect in effects {
            match effect {
                CoreEffect::Send { to, frame } => {
                    self.peers.send(to, frame);
                }
                CoreEffect::SendOn { connection, frame } => {
                    self.peers.send_on(connection, frame);
                }
                CoreEffect::Write { number, batch } => batches.push(QueuedBatch { number, batch }),
            }
        }
        // Writing fails only if the writer's thread has ended, which happens only at exit.
        let _ = self.writer.write_all(batches);
    }
}
