//! Overload handled by the fleet as one. Under way: trials of nodes that do not answer stand ([`trials`]); the picture, the level and
//! the budget of second tries are to come (`docs/design/overload.md`). No I/O, no clock, no chance of its own.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod config;
pub mod trials;

pub use config::Section;
pub use trials::{Act, Counts, Trials};
