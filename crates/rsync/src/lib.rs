//! A front for the rsync daemon protocol. It serves pulls of rsync clients from the rsync servers of the storage nodes,
//! through the same request engine as the HTTP front.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod config;
pub mod daemon;
pub mod pull;
pub mod transfer;
pub mod wire;
