//! Overload control across the fleet. No I/O, clock or entropy of its own.
//!
//! So far it has the probes of unresponsive nodes ([`probes`]). A shared picture of the load, an overload level, and a budget for
//! retries are not implemented yet (`docs/design/overload.md`).
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod config;
pub mod probes;

pub use config::Section;
pub use probes::{Action, Counts, Prober};
