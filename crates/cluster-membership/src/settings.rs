//! Times and bounds of the protocol.

/// Times and bounds of the protocol. All processes of a cluster should have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// Between two probes of a process, in milliseconds.
    pub period_ms: u64,
    /// How long a direct answer may take before helpers are asked, in milliseconds; below a period.
    pub direct_ms: u64,
    /// Between two datagrams of one probe while it is not answered, in milliseconds.
    pub repeat_ms: u64,
    /// How long a helper waits for the answer, in milliseconds.
    pub relay_ms: u64,
    /// How many helpers are asked to probe.
    pub helpers: usize,
    /// The least that a suspicion lasts among ten members, in milliseconds; longer in step with the logarithm of their
    /// number.
    pub suspicion_ms: u64,
    /// How many times longer a suspicion lasts that nobody else shares.
    pub suspicion_ratio: u32,
    /// How many other members that share a suspicion bring it to its least length.
    pub confirmations: usize,
    /// After which time a member that is dead or has left is forgotten, in milliseconds.
    pub forget_ms: u64,
    /// Every so many periods the probe goes to a member of another zone, if there is one in the own zone.
    pub distant_every: u64,
    /// Every so many periods a seed or dead member is looked for, so that halves of a cut cluster find each other.
    pub reach_every: u64,
    /// At least so many periods lie between two requests for a page of the roster while rosters differ.
    pub page_every: u64,
    /// Between two requests to seeds while no other member is known, in milliseconds.
    pub join_ms: u64,
    /// A process that was not run for longer than this was frozen, in milliseconds: what ran out meanwhile says nothing
    /// of others.
    pub frozen_ms: u64,
}

impl Default for SwimSettings {
    fn default() -> SwimSettings {
        SwimSettings {
            period_ms: 1_000,
            direct_ms: 300,
            repeat_ms: 200,
            relay_ms: 400,
            helpers: 3,
            suspicion_ms: 3_000,
            suspicion_ratio: 3,
            confirmations: 3,
            forget_ms: 60_000,
            distant_every: 4,
            reach_every: 4,
            page_every: 2,
            join_ms: 300,
            frozen_ms: 1_500,
        }
    }
}
