//! A heartbeat as the server sent it.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::Attempt;
use lupinrack_cluster_api::server::ServerFacts;

/// A run whose task name is not one of this system's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownRun {
    /// The name of its task.
    pub task: String,
    /// The number of the attempt.
    pub attempt: Attempt,
}

/// A heartbeat as the server sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// The server's description of itself, which seldom changes.
    pub facts: ServerFacts,
    /// The part that changes from one heartbeat to the next; its runs and ends are sorted, and `orders_seen` is 0.
    pub heartbeat: Heartbeat,
    /// Runs that this system cannot have started.
    pub unknown_runs: Vec<UnknownRun>,
    /// How many ends it lists, including those of runs that this system cannot have started.
    pub ends_listed: usize,
    /// The address at which the server accepts calls.
    pub address: String,
    /// How many calls it serves concurrently.
    pub slots: u64,
    /// How much longer it is warming up, in milliseconds.
    pub warm_up_remaining_ms: u64,
    /// Its own monotonic clock, in milliseconds.
    pub clock_ms: u64,
}
