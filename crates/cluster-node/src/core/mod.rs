//! A core process: votes on views, replicates the control state, answers calls, owns shards.
//!
//! One task owns all of it. Everything that happens (frames, calls of this process, synced writes, the timer) comes in as
//! an event; the state machines answer with effects, which are carried out here.

mod effect;
mod machine;
pub mod pending_requests;
pub mod pending_writes;
mod process;
mod replica;
pub mod request_steps;
mod scheduler_settings;
mod settings;
mod shards;

pub use lupinrack_chain::limits::ByteLimits;
pub use machine::{CoreEffect, CoreEvent, CoreFault, CoreMachine, CoreSettings, Moment};
pub use process::run;
