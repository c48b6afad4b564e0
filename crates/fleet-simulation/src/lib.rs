//! The lab: the very machines that run in processes, in simulated time, deterministic byte for byte from a seed. It knows no
//! socket, no process and no clock but its own.
#![warn(missing_docs)]

pub mod experiment;
pub mod plot;
pub mod world;

pub use experiment::{Experiment, Point, Spread};
pub use world::{Outcome, World};
