//! Settings of an agent.

/// Bounds and intervals of an agent, all in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The longest lease that a server accepts; a longer grant is cut to it.
    pub lease_max_ms: u64,
    /// How often a server sends a heartbeat of its own accord. No response asks for a longer interval.
    pub heartbeat_ms: u64,
    /// The interval that is asked for while nothing happens and no owner has asked for another.
    pub idle_heartbeat_ms: u64,
    /// The interval that is asked for while runs start, stop or end.
    pub busy_heartbeat_ms: u64,
}
