//! A core process: votes on views, replicates the control state, answers calls, owns shards.
//!
//! One task owns all of it. Everything that happens (frames, calls of this process, synced writes, the timer) comes in as
//! an event; the state machines answer with effects, which are carried out here.

pub mod calls;
pub mod disk;
mod machine;
mod process;
mod replica;
mod shards;
pub mod subscribers;
pub mod waiting;

pub use lupinrack_chain::limits::ByteLimits;
pub use machine::{CoreEffect, CoreEvent, CoreFault, CoreMachine, CoreSettings, Moment};
pub use process::run;
pub use subscribers::Subscribers;
