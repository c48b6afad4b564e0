//! The lab: the very machines that run in processes, in simulated time, deterministic byte for byte from a seed. It knows no
//! socket, no process and no clock but its own.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod experiment;
pub mod plot;
pub mod world;

pub use experiment::{Experiment, Point, Spread};
pub use world::{Outcome, World};
