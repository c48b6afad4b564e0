//! The urgency of work.

/// The urgency of a step. Smaller ranks are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether it is so late that its result has no value any more. Expired steps are placed after
    /// all others.
    pub(crate) expired: bool,
    /// The priority of the job's queue; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Whether it can no longer meet its latency target.
    pub(crate) late: bool,
    /// The latest start that meets its latency target, in milliseconds since 1970.
    pub(crate) latest_start_ms: u64,
}
