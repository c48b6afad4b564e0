//! The graceful shutdown of a core process. It lasts until other processes have replaced this one, but not beyond the
//! grace period.

use lupinrack_cluster_api::time::Millis;

/// Minimum duration of a shutdown, in milliseconds, so that callers of this process learn of the next view.
const MIN_SHUTDOWN_MS: u64 = 500;
/// Part of the grace period for which a process waits for others to replace it, in percent.
const GRACE_PERCENT: u64 = 75;

/// The state of the shutdown.
#[derive(Debug)]
pub(super) struct Shutdown {
    /// Time between the signal to terminate and the kill, in milliseconds.
    grace_ms: u64,
    began_at: Option<Millis>,
}

impl Shutdown {
    /// The state before the shutdown has begun.
    pub(super) fn new(grace_ms: u64) -> Shutdown {
        Shutdown {
            grace_ms,
            began_at: None,
        }
    }

    /// Begins the shutdown. Returns false if it had begun before.
    pub(super) fn begin(&mut self, now: Millis) -> bool {
        let is_new = self.began_at.is_none();
        self.began_at.get_or_insert(now);
        is_new
    }

    /// Whether the process is draining.
    pub(super) fn is_draining(&self) -> bool {
        self.began_at.is_some()
    }

    /// Whether the process may exit: it is no longer needed and the minimum duration is over, or the grace period is.
    pub(super) fn is_complete(&self, is_needed: bool, now: Millis) -> bool {
        let Some(waited_ms) = self.began_at.map(|began_at| now.since(began_at)) else {
            return false;
        };
        let grace_is_over = waited_ms >= self.grace_ms * GRACE_PERCENT / 100;
        grace_is_over || (!is_needed && waited_ms >= MIN_SHUTDOWN_MS)
    }
}
