//! Overload handled by the fleet as one. Under way: trials of nodes that do not answer stand ([`trials`]); the picture, the level and
//! the budget of second tries are to come (`docs/design/overload.md`). No I/O, no clock, no chance of its own.
#![warn(missing_docs)]

pub mod config;
pub mod trials;

pub use config::Section;
pub use trials::{Act, Counts, Trials};
