//! The simulation's state that each call of the server farm needs.

use crate::oracle::Oracle;

/// Whether rules with time bounds are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeBounds {
    /// All rules are checked. The only faults are cancelled jobs, jobs that cannot succeed, and new servers.
    Enforced,
    /// A fault is active or ended recently, so actions may be later than their time bounds.
    Suspended,
}

/// The simulation's state that each call of the server farm needs.
#[derive(Debug)]
pub struct StepContext<'a> {
    /// The present time.
    pub now: u64,
    /// The wall clock time, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Whether rules with time bounds are checked.
    pub time_bounds: TimeBounds,
    /// Records and checks observations.
    pub oracle: &'a mut Oracle,
    /// The source of randomness.
    pub rng: &'a mut fastrand::Rng,
}
