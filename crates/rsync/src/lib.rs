//! The second front: rsync clients in front, rsync servers behind, on the same core as the platform's front.

pub mod config;
pub mod daemon;
pub mod pull;
pub mod unit;
pub mod wire;
