//! A process of the cluster scheduler: the driver of its state machines.
//!
//! What a process does follows from `serves` in its settings: a front for clients, an agent beside a server, or a core
//! process. Each runs on one thread; a core process has one more for its disk.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod agent;
pub mod clock;
pub mod control_api;
pub mod core;
pub mod front;
pub mod head_client;
pub mod membership;
mod protocol_violations;
pub mod shard_owner;
mod signals;
pub mod status;
pub mod subscribers;
pub mod subscription;

use clock::Clock;
use lupinrack_node_settings::{NodeSettings, ServedInterface};
use std::process::ExitCode;

/// Why a process ends.
#[derive(Debug, displaydoc::Display)]
pub enum NodeError {
    /// a core process needs `data-dir`
    NoDisk,
    /// the settings name no address for what the process serves
    NoAddress,
    /// what is on the disk cannot be read: {0}
    Damaged(std::io::Error),
    /// input or output failed: {0}
    Io(std::io::Error),
    /// the state on the disk cannot be read: {0}
    State(lupinrack_control_state::SnapshotError),
    /// the disk: {0}
    Store(lupinrack_control_store::StoreError),
    /// the process cannot go on with what it has in memory: {0}
    Core(core::CoreFault),
}

impl std::error::Error for NodeError {}

impl From<std::io::Error> for NodeError {
    fn from(error: std::io::Error) -> Self {
        NodeError::Io(error)
    }
}

impl From<lupinrack_control_state::SnapshotError> for NodeError {
    fn from(fault: lupinrack_control_state::SnapshotError) -> Self {
        NodeError::State(fault)
    }
}

impl From<lupinrack_control_store::StoreError> for NodeError {
    fn from(error: lupinrack_control_store::StoreError) -> Self {
        NodeError::Store(error)
    }
}

/// Runs a process until it is told to end.
pub fn run(settings: NodeSettings) -> ExitCode {
    let clock = Clock::start();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            spdlog::error!("the runtime does not start: {error}");
            return ExitCode::from(1);
        }
    };
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, serve(settings, clock));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("{error}");
            ExitCode::from(1)
        }
    }
}

async fn serve(settings: NodeSettings, clock: Clock) -> Result<(), NodeError> {
    if settings.serves(ServedInterface::ControlPlane) {
        core::run(settings, clock).await
    } else if settings.serves(ServedInterface::Agent) {
        agent::process::run(settings, clock).await
    } else {
        front::process::run(settings, clock).await
    }
}
