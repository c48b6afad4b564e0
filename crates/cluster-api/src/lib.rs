//! Types that all parts of the cluster scheduler share.
//!
//! Everything here is plain data: identities, the operations of the replicated control state, the messages of the
//! internal protocol (encoded with `borsh`), and the closed list of error kinds. No module here does any work.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod agent;
pub mod configuration;
pub mod error;
pub mod identity;
pub mod job;
pub mod operation;
pub mod rendezvous;
pub mod request;
pub mod server;
pub mod time;
pub mod view;
pub mod wire;
