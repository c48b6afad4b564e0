//! When work that has waited for too long may use servers in spite of faults there.

/// How long a server must have been without a fault, in milliseconds, while less than half of all
/// capacity is in use.
pub(crate) const FREE_SERVICE_QUIET_MS: u64 = 1_000;
/// The same while more of the capacity is in use, so that it may be load that keeps the work waiting.
pub(crate) const BUSY_SERVICE_QUIET_MS: u64 = 4_000;
/// The same for work whose job fails with its next failure.
pub(crate) const LAST_ATTEMPT_QUIET_MS: u64 = 6_000;

/// When work may use servers in spite of faults there. What fails again counts as a new fault, so a
/// server that still fails its runs gets little of this work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryLimit {
    /// Not yet: it has not waited for long.
    Never,
    /// On servers that have been without a fault for this long, in milliseconds.
    AfterQuiet { ms: u64 },
}

impl RetryLimit {
    /// Whether the work may use a server whose newest fault is this old; `None` if it has none.
    pub(crate) fn allows(self, since_fault_ms: Option<u64>) -> bool {
        match self {
            RetryLimit::Never => false,
            RetryLimit::AfterQuiet { ms } => since_fault_ms.is_none_or(|since_ms| since_ms >= ms),
        }
    }
}
