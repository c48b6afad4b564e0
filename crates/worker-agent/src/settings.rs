//! Settings of an agent.

/// Limits and intervals of an agent, all in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The longest lease that a server accepts; a longer grant is shortened to this.
    pub lease_max_ms: u64,
    /// The interval at which a server sends heartbeats unless a response asks for a shorter one. No response asks for a
    /// longer one.
    pub heartbeat_ms: u64,
    /// The interval that responses ask for while nothing happens and no owner has requested another.
    pub idle_heartbeat_ms: u64,
    /// The interval that responses ask for while runs start, stop or end.
    pub busy_heartbeat_ms: u64,
}
