//! How urgent work is.

/// The urgency of a step; a smaller rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether it is so late that it has no value any longer.
    pub(crate) hopeless: bool,
    /// The priority of its queue; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Whether it cannot meet its latency target any longer.
    pub(crate) late: bool,
    /// When it has to start to meet its latency target, in milliseconds since 1970.
    pub(crate) latest_start_ms: u64,
}
