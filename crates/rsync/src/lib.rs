//! The second front: rsync clients in front, rsync servers behind, on the same core as the platform's front.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod config;
pub mod daemon;
pub mod pull;
pub mod unit;
pub mod wire;
