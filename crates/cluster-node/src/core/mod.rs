//! A core process. It votes on views, replicates the control state, answers calls, and owns shards.
//!
//! [`CoreMachine`] is the process without I/O. Its inputs (frames, operators' calls, synced writes, the timer) are
//! [`CoreEvent`]s, and its outputs are [`CoreEffect`]s. `process` is its driver: it owns the sockets, the disk's thread
//! and the clocks, and carries out the effects in order.

pub mod admission;
pub mod commit_history;
mod core_peers;
mod effect;
mod event;
mod fault;
mod job_retention;
pub mod joiner_throttle;
mod machine;
mod moment;
mod outbox;
mod own_calls;
pub mod pending_requests;
pub mod pending_writes;
pub(crate) mod process;
mod replica;
pub mod request_steps;
pub mod round_schedule;
mod settings;
pub mod shard_authority;
mod shard_takeover;
mod shards;
mod shutdown;
pub mod stall_watch;
pub mod state_size;
mod view_manager;
pub mod vote_writer;
pub mod write_latency;

pub use effect::CoreEffect;
pub use event::CoreEvent;
pub use fault::CoreFault;
pub use lupinrack_chain::limits::ByteLimits;
pub use machine::CoreMachine;
pub use moment::Moment;
pub use settings::CoreSettings;
