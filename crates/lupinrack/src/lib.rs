//! The program: re-exports of the crates that a front consists of, and the command line that assembles them.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod cli;
mod cluster;
pub mod command_error;
pub mod commands;
mod hot_restart;
pub mod log_targets;
pub mod serve;

pub use lupinrack_flow_export as ipfix;
pub use lupinrack_front_settings as settings;
pub use lupinrack_policy::*;
pub use lupinrack_request_engine as engine;
pub use lupinrack_rsync as rsync;

/// The HTTP front, and the platform's configuration and node list.
pub mod net {
    pub use lupinrack_graceful_shutdown as shutdown;
    pub use lupinrack_http::{
        accept, client_slots, client_stream, intake, memory_budget, probe, request,
        streamed_response, upstream, upstream_connection,
    };
    pub use lupinrack_platform::{clock, config, discovery, reload};
}
