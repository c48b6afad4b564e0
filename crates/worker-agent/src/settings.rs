//! Settings of an agent.

/// Bounds and intervals, all in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The longest hold that a server takes.
    pub lease_max_ms: u64,
    /// How often a server beats of its own accord.
    pub heartbeat_ms: u64,
    /// After how long a server should beat again while nothing happens and no owner has said otherwise.
    pub idle_heartbeat_ms: u64,
    /// After how long it should beat again while runs start, stop or end.
    pub busy_heartbeat_ms: u64,
}
