//! The program's parts under one roof: the decision module's words, the core, the fronts, and the command line that
//! puts them together.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod cli;
mod cluster;
pub mod commands;
pub mod ended;
pub mod log_targets;
pub mod serve;
mod takeover;

pub use lupinrack_flow_export as ipfix;
pub use lupinrack_front_settings as settings;
pub use lupinrack_policy::*;
pub use lupinrack_request_engine as engine;
pub use lupinrack_rsync as rsync;

/// The platform's front and what the platform tells it.
pub mod net {
    pub use lupinrack_graceful_shutdown as shutdown;
    pub use lupinrack_http::{
        accept, client_slots, client_stream, intake, memory_budget, probe, request,
        streamed_response, upstream, upstream_connection,
    };
    pub use lupinrack_platform::{clock, config, discovery, reload};
}
