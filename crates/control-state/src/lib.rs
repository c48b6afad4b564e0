//! The control state that every replica keeps: the configuration, the job record and the owners of shards.
//!
//! It is a deterministic state machine: [`ControlState::apply`] takes committed operations in their order, and equal
//! sequences lead to equal states and results on every replica. It reads no clock and makes no I/O.

pub mod record;
pub mod state;

pub use record::{JobRecord, Occurrence, TaskRecord, TaskStatus};
pub use state::{ControlState, Shard};
