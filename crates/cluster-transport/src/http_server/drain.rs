//! The parameters and the outcome of a graceful shutdown.

use std::time::Duration;

/// How long the phases of a graceful shutdown last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimeouts {
    /// How long new connections are still accepted. During that time each response is the last one on its connection.
    pub accept_for: Duration,
    /// How long requests may take after that until their connections are aborted.
    pub response_timeout: Duration,
}

/// The outcome of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOutcome {
    /// How many connections were aborted while a request was being read or handled.
    pub aborted_connections: usize,
}
