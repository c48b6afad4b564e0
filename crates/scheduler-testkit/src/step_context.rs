//! What a simulation hands to its server farm with each call.

use crate::oracle::Oracle;

/// Whether rules with time bounds are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeBounds {
    /// Nothing is wrong but cancelled and hopeless jobs and new servers: all rules are checked.
    Enforced,
    /// Something is, or was lately, out of order: what has to happen soon may happen late.
    Suspended,
}

/// What a simulation hands to its server farm with each call.
#[derive(Debug)]
pub struct StepContext<'a> {
    /// The moment.
    pub now: u64,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Whether rules with time bounds are checked.
    pub time_bounds: TimeBounds,
    /// Records what happens.
    pub oracle: &'a mut Oracle,
    /// The source of randomness.
    pub rng: &'a mut fastrand::Rng,
}
