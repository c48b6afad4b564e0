//! The `lupinrack` program. `lupinrack serve`, or no command, runs a front; `lupinrack node` runs a process of the cluster
//! scheduler.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

use std::process::ExitCode;

fn main() -> ExitCode {
    lupinrack::cli::run_from_arguments()
}
