//! The settings of the dispatcher.

/// Settings of a [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// The largest number of tasks that run on one server at a time (`D` in the paper).
    pub depth: usize,
    /// The smallest share of one server that a backlogged stream keeps, relative to its weight
    /// (`φmin / φ`), above 0 and at most 1.
    ///
    /// When a stream uses `n` servers evenly, a ratio of `1 / n` or less clips no delay, and the
    /// shares over all servers are proportional to the weights. A larger ratio clips the delay and
    /// makes the shares more equal.
    pub minimum_weight_ratio: f64,
    /// The time without a queued task after which the state of a stream is dropped, in milliseconds.
    pub stream_idle_ms: u64,
    /// The number of later tasks that may be released before a task that does not fit. After that,
    /// no task behind it is released until it fits or is withdrawn.
    pub max_bypasses: u32,
    /// Whether the tasks in a server's queue are released in the order of their start tags, as in
    /// the paper, or in the order of arrival.
    pub orders_by_start_tag: bool,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            depth: 8,
            minimum_weight_ratio: 0.5,
            stream_idle_ms: 10_000,
            max_bypasses: 64,
            orders_by_start_tag: true,
        }
    }
}
