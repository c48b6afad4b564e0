//! Timeouts and intervals of the protocol.

/// Timeouts and intervals of the protocol. All processes of a cluster should use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// The protocol period, in which a process pings one member, in milliseconds.
    pub protocol_period_ms: u64,
    /// How long a direct acknowledgement may take before ping requests are sent, in milliseconds; less than a period.
    pub ack_timeout_ms: u64,
    /// The interval at which a ping that has not been acknowledged is sent again, in milliseconds.
    pub ping_resend_ms: u64,
    /// How long the receiver of a ping request waits for the target's acknowledgement, in milliseconds.
    pub relay_timeout_ms: u64,
    /// How many members receive a ping request for a target (the SWIM paper's *k*).
    pub ping_request_fanout: usize,
    /// The shortest timeout of a suspicion among ten members, in milliseconds; it grows with the logarithm of their
    /// number.
    pub suspicion_timeout_ms: u64,
    /// The longest timeout of a suspicion, which no other member confirms, as a multiple of the shortest.
    pub suspicion_timeout_ratio: u32,
    /// How many confirmations by other members shorten a suspicion to its shortest timeout.
    pub suspicion_confirmations: usize,
    /// How long a member that is dead or has left stays in the membership list, in milliseconds.
    pub forget_after_ms: u64,
    /// In every period whose number is a multiple of this, the ping goes to a member of another zone, if there is one.
    pub other_zone_every_periods: u64,
    /// In every period whose number is a multiple of this, the member also pings a seed or an absent member, so that the
    /// sides of a partition find each other after it has healed.
    pub reconnect_every_periods: u64,
    /// The smallest number of periods between two requests for a page of the membership list while lists differ.
    pub page_every_periods: u64,
    /// The interval between two requests for a page while the process joins, in milliseconds.
    pub join_retry_ms: u64,
    /// A process that has not been ticked for longer than this was suspended, in milliseconds. Timeouts that elapsed during
    /// the suspension are no evidence against other members.
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
