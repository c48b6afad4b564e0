//! What the platform tells a front: its configuration, the node list, and news of either while it runs.
#![warn(missing_docs)]

pub mod clock;
pub mod config;
pub mod discovery;
pub mod inherited;
pub mod reload;
pub mod shape;
pub mod watching;
