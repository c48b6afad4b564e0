//! What the platform tells a front: its configuration, the node list, and news of either while it runs.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod clock;
pub mod config;
pub mod discovery;
pub mod inherited;
pub mod reload;
pub mod shape;
pub mod watching;
