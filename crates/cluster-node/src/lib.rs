//! A process of the cluster scheduler: the driver of its state machines.

use lupinrack_cluster_settings::NodeSettings;
use std::process::ExitCode;

/// Runs the process until it is told to end.
pub fn run(settings: NodeSettings) -> ExitCode {
    spdlog::error!("{}: there is no driver yet", settings.node);
    ExitCode::FAILURE
}
