//! The processes of the cluster scheduler: drivers of its state machines.
//!
//! What a process does follows from `serves` in its settings:
//!
//! - [`core`]: a core process, which votes on views, replicates the control state, answers calls and schedules services;
//! - [`front`]: a front, which accepts clients' calls and forwards them to the head of the replication chain;
//! - [`agent`]: the agent of one server.
//!
//! Each has a `machine` without I/O or clock, which the simulation of the control plane runs too, and a `process` that
//! sends and receives its frames, serves HTTP and reads the clocks. A process runs on one thread. A core process has a
//! second thread for its disk.
//!
//! Start reading at [`core::CoreMachine`] and its components, then [`front::machine`] and [`agent::machine`]. They
//! share [`head_client`] (calls to the head), [`subscription`] and [`subscribers`] (views and configurations),
//! [`membership`] (the driver of SWIM), [`control_api`] and [`status`] (the operators' interface).

pub mod agent;
pub mod clock;
pub mod control_api;
pub mod core;
mod error;
pub mod front;
pub mod head_client;
pub mod membership;
mod protocol_violations;
mod settings_reload;
pub mod shard_owner;
mod signals;
pub mod status;
pub mod subscribers;
pub mod subscription;

pub use error::NodeError;

use clock::Clock;
use lupinrack_node_settings::{CommandDelivery, NodeSettings, ServedInterface, SettingsFile};
use std::process::ExitCode;

/// Runs a process until it has shut down. An error is logged, and the exit code is then 1. On SIGHUP the process reads
/// its settings file again.
pub fn run(settings: SettingsFile) -> ExitCode {
    match run_to_end(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("{error}");
            ExitCode::from(1)
        }
    }
}

/// Checks that this program supports the settings.
///
/// # Errors
///
/// [`NodeError::UnservedCommands`] for an agent that would have to call its server to deliver commands.
pub fn check_served(settings: &NodeSettings) -> Result<(), NodeError> {
    let calls_server = settings.commands == CommandDelivery::Rpc;
    if settings.serves(ServedInterface::Agent) && calls_server {
        return Err(NodeError::UnservedCommands);
    }
    Ok(())
}

fn run_to_end(settings: SettingsFile) -> Result<(), NodeError> {
    check_served(settings.settings())?;
    let clock = Clock::start();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::StartRuntime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, clock))
}

async fn serve(settings: SettingsFile, clock: Clock) -> Result<(), NodeError> {
    if settings.settings().serves(ServedInterface::ControlPlane) {
        core::process::run(settings, clock).await
    } else if settings.settings().serves(ServedInterface::Agent) {
        agent::process::run(settings, clock).await
    } else {
        front::process::run(settings, clock).await
    }
}
