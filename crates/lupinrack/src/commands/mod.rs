//! All commands except `serve` and those of the cluster scheduler.

pub mod admin;
pub mod buffer;
pub mod check;
pub mod demo;
pub mod extents;
pub mod fleet;

pub mod overload;
pub mod simulate;
