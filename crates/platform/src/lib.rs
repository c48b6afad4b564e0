//! What the platform provides to a front: its configuration and the node list, both followed while the front runs.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod clock;
pub mod config;
pub mod discovery;
pub mod discovery_schedule;
pub mod inherited;
pub mod reload;
pub mod required_keys;
