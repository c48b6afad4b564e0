//! Timeouts and intervals of the protocol.

/// Timeouts and intervals of the protocol. All processes of a cluster should have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// The protocol period, in which a process pings one member, in milliseconds.
    pub protocol_period_ms: u64,
    /// How long a direct acknowledgement may take before ping requests are sent, in milliseconds; below a period.
    pub ack_timeout_ms: u64,
    /// Between two datagrams of one ping that has not been acknowledged, in milliseconds.
    pub ping_resend_ms: u64,
    /// How long a member that was asked by a ping request waits for the target's acknowledgement, in milliseconds.
    pub relay_timeout_ms: u64,
    /// How many members are asked by ping requests (the SWIM paper's *k*).
    pub ping_request_fanout: usize,
    /// The shortest timeout of a suspicion among ten members, in milliseconds; it grows with the logarithm of their
    /// number.
    pub suspicion_timeout_ms: u64,
    /// How many times longer the timeout of a suspicion is that no other member confirms.
    pub suspicion_timeout_ratio: u32,
    /// How many confirmations of other members bring a suspicion to its shortest timeout.
    pub suspicion_confirmations: usize,
    /// After which time a member that is dead or has left is forgotten, in milliseconds.
    pub forget_after_ms: u64,
    /// In every period whose number is a multiple of this the ping goes to a member of another zone, if there is one.
    pub other_zone_every_periods: u64,
    /// In every period whose number is a multiple of this a seed or dead member is pinged in addition, so that the halves
    /// of a partitioned cluster find each other.
    pub reconnect_every_periods: u64,
    /// At least so many periods lie between two requests for a page of the membership list while lists differ.
    pub page_every_periods: u64,
    /// Between two requests for a page while the process joins, in milliseconds.
    pub join_retry_ms: u64,
    /// A process whose timer was not run for longer than this was suspended, in milliseconds: what timed out meanwhile
    /// is no evidence against others.
    pub suspended_after_ms: u64,
}

impl Default for SwimSettings {
    fn default() -> SwimSettings {
        SwimSettings {
            protocol_period_ms: 1_000,
            ack_timeout_ms: 300,
            ping_resend_ms: 200,
            relay_timeout_ms: 400,
            ping_request_fanout: 3,
            suspicion_timeout_ms: 3_000,
            suspicion_timeout_ratio: 3,
            suspicion_confirmations: 3,
            forget_after_ms: 60_000,
            other_zone_every_periods: 4,
            reconnect_every_periods: 4,
            page_every_periods: 2,
            join_retry_ms: 300,
            suspended_after_ms: 1_500,
        }
    }
}
