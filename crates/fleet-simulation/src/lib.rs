//! Runs the fleet's state machines, the same that run in processes, in virtual time. A run is deterministic, byte for byte,
//! for a given seed. It uses no sockets, no processes and no real clock.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod experiment;
pub mod plot;
pub mod simulation;

pub use experiment::{Experiment, Point, Spread};
pub use simulation::{Outcome, Simulation};
