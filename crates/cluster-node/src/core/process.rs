//! The process: the driver of its state machine.

use super::machine::{CoreEffect, CoreEvent, CoreMachine, CoreSettings};
use crate::clock::{draw, Clock};
use crate::control_api::{self, HeadCall, ProcessCall};
use crate::membership::Membership;
use crate::protocol_violations::ViolationLog;
use crate::signals::Signals;
use crate::NodeError;
use lupinrack_cluster_api::frame::{Hello, Role, FRAME_BYTES_MOST};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_control_store::{ControlStore, StoreSettings, WriteOutcome, Writer};
use lupinrack_node_settings::{MachineLimits, NodeSettings};
use std::time::Duration;
use tokio::sync::mpsc;

/// How often the process looks at its clock, in milliseconds.
const TICK_MS: u64 = 25;
/// The part of a disk above which the file is compacted when it is opened.
const COMPACTED_DISK_PARTS: u64 = 4;
/// Bytes of a megabyte, as disks are described.
const MEGABYTE: u64 = 1_000_000;

struct Driver {
    clock: Clock,
    machine: CoreMachine,
    peers: Peers,
    writer: Writer,
    violations: ViolationLog,
}

/// Runs until the process is told to end.
pub async fn run(settings: NodeSettings, clock: Clock) -> Result<(), NodeError> {
    let data_dir = settings.data_dir.clone().ok_or(NodeError::NoDisk)?;
    let (mut store, mut recovered) =
        ControlStore::open(&data_dir, store_settings(&settings.limits))?;
    let disk = store.identify(&mut recovered, DiskId(draw()))?;
    let core_settings = CoreSettings::of_node(&settings, disk, draw());
    let (peers, mut peer_events) = Peers::start(
        settings.internal_address,
        hello(&core_settings),
        peer_settings(),
    )?;
    let (outcomes_in, mut outcomes) = mpsc::unbounded_channel::<WriteOutcome>();
    let writer = Writer::spawn(store, move |outcome| {
        // The process ends with its receiver; nobody is left to tell then.
        let _ = outcomes_in.send(outcome);
    })?;
    let membership = Membership::start(
        member(&core_settings),
        settings.seed_internal(),
        SwimSettings::default(),
        clock,
    );
    let machine = CoreMachine::new(core_settings, recovered, clock.moment())?;
    let mut driver = Driver {
        clock,
        machine,
        peers,
        writer,
        violations: ViolationLog::default(),
    };
    let (calls_in, mut calls) = mpsc::channel::<HeadCall>(256);
    let (queries_in, mut queries) = mpsc::channel::<ProcessCall>(16);
    let http = control_api::serve(&settings, calls_in, queries_in)?;
    let mut signals = Signals::listen()?;
    let mut timer = tokio::time::interval(Duration::from_millis(TICK_MS));
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    driver.take_effects();
    loop {
        tokio::select! {
            Some(event) = peer_events.recv() => {
                driver.receive(of_peer(event));
                while let Ok(event) = peer_events.try_recv() {
                    driver.receive(of_peer(event));
                }
            }
            Some(outcome) = outcomes.recv() => driver.on_write_outcome(outcome),
            Some(call) = calls.recv() => driver.receive(CoreEvent::Call(call)),
            Some(call) = queries.recv() => driver.receive(CoreEvent::Query(call)),
            _ = timer.tick() => driver.on_tick(),
            () = driver.round_may_run() => {}
            () = signals.terminated() => {
                membership.leave();
                driver.receive(CoreEvent::Terminate);
            }
        }
        driver.take_effects();
        if let Some(fault) = driver.machine.fault() {
            return Err(NodeError::Core(fault));
        }
        if driver.machine.is_shutdown_complete(clock.now()) {
            drop(http);
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
            .min(known.saturating_mul(MEGABYTE) / COMPACTED_DISK_PARTS),
    };
    StoreSettings {
        compact_above_bytes,
        ..default
    }
}

/// The largest entry has room beside a full window on a connection.
fn peer_settings() -> PeerSettings {
    PeerSettings {
        outgoing_bytes_most: FRAME_BYTES_MOST,
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

fn of_peer(event: PeerEvent) -> CoreEvent {
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

    fn on_tick(&mut self) {
        self.violations.look(&self.peers);
        self.receive(CoreEvent::Tick);
    }

    fn on_write_outcome(&mut self, outcome: WriteOutcome) {
        if let Err(error) = &outcome.result {
            spdlog::warn!("the disk refused a write: {error}");
            self.receive(CoreEvent::WriteFailed);
        }
        if !outcome.rejected.is_empty() {
            self.receive(CoreEvent::WriteRefused);
        }
        self.receive(CoreEvent::Synced(outcome.synced));
    }

    /// Ends when a round of the schedulers that something has asked for may be run.
    async fn round_may_run(&self) {
        match self.machine.round_wait_ms(self.clock.now()) {
            Some(wait_ms) => tokio::time::sleep(Duration::from_millis(wait_ms)).await,
            None => std::future::pending().await,
        }
    }

    fn take_effects(&mut self) {
        let effects = self.machine.take_effects(self.clock.moment());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: CoreEffect) {
        match effect {
            CoreEffect::Send { to, frame } => {
                self.peers.send(to, frame);
            }
            CoreEffect::SendOn { connection, frame } => {
                self.peers.send_on(connection, frame);
            }
            CoreEffect::Write { ticket, batch } => {
                // The thread ends only by a panic, which is reported where it happens.
                let _ = self.writer.write(ticket, batch);
            }
        }
    }
}
