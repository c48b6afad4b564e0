//! The control state that every replica keeps: the configuration, the job record and the owners of shards.
//!
//! It is a deterministic state machine: [`ControlState::apply`] takes committed operations in their order, and equal
//! sequences lead to equal states and results on every replica. It reads no clock and makes no I/O.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

pub mod configuration;
pub mod jobs;
pub mod snapshot;
pub mod state;

pub use configuration::accepted_changes::{
    ChangeDigest, TakenChanges, CHANGES_REMEMBERED, DIGEST_BYTES,
};
pub use configuration::body::{check_body, check_configuration};
pub use configuration::document::{ConfigurationDocument, DocumentItem};
pub use configuration::error::{ConfigurationFault, FaultReason};
pub use jobs::record::{JobRecord, Occurrence, TaskRecord, TaskStatus};
pub use snapshot::SnapshotFault;
pub use state::{AgentBinding, ControlState, Shard, BINDINGS_MOST, TASKS_PER_OCCURRENCE_MOST};
