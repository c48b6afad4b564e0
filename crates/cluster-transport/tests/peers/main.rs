//! Internal connections between processes on loopback.

mod answers;
mod bounds;
mod connections;
mod properties;
mod protocol;
mod support;
