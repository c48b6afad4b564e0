//! The replicated control state: the configuration, the jobs, and which process schedules which
//! service.
//!
//! Every replica of the chain owns one [`ControlState`], a deterministic state machine:
//! [`ControlState::apply`] takes committed operations in the order of the log, and equal sequences
//! lead to equal states and results on every replica. It reads no clock, does no I/O, and uses no
//! random numbers. `cluster-node` drives it, `control-store` keeps its snapshots, and `scheduler`
//! reads it.
//!
//! The state has four parts, and only the module of a part changes it: the configuration with its
//! accepted changes ([`ConfigurationState`]), the jobs with their tasks ([`JobTable`]), the owners
//! of shards ([`ShardTable`]), and the agents of servers ([`AgentBindings`]).
//!
//! Start reading at `state.rs`, then `jobs/starts.rs` and `jobs/ends.rs`.

mod agent_bindings;
mod configuration;
mod jobs;
mod shards;
mod snapshot;
mod state;

pub use agent_bindings::{AgentBinding, AgentBindings, MAX_BINDINGS};
pub use configuration::{
    apply_body, check_body, check_configuration, AcceptedChanges, ChangeDigest,
    ConfigurationDocument, ConfigurationState, DocumentItem, InvalidConfiguration, InvalidReason,
    DIGEST_BYTES, MAX_ACCEPTED_CHANGES,
};
pub use jobs::{
    IndexSet, JobQueue, JobRecord, JobTable, Namesakes, Occurrence, Occurrences, QueueReference,
    StepRecord, TaskRecord, TaskStatus, MAX_TASKS_PER_OCCURRENCE,
};
pub use shards::{Shard, ShardTable};
pub use snapshot::SnapshotError;
pub use state::ControlState;
