//! The graceful shutdown of a core process: it goes on until others have its places, but not beyond its grace.

use lupinrack_cluster_api::time::Millis;

/// How long a process that shuts down goes on at least, so that those who call it learn of the next view, in
/// milliseconds.
const MIN_SHUTDOWN_MS: u64 = 500;
/// How much of its grace a process waits for others to take its places, in hundredths.
const GRACE_PERCENT: u64 = 75;

/// The state of the shutdown.
#[derive(Debug)]
pub(super) struct Shutdown {
    /// How long the process has between the signal to end and being killed, in milliseconds.
    grace_ms: u64,
    began_at: Option<Millis>,
}

impl Shutdown {
    /// Not begun.
    pub(super) fn new(grace_ms: u64) -> Shutdown {
        Shutdown {
            grace_ms,
            began_at: None,
        }
    }

    /// Begins the shutdown; returns whether it had not begun before.
    pub(super) fn begin(&mut self, now: Millis) -> bool {
        let is_new = self.began_at.is_none();
        self.began_at.get_or_insert(now);
        is_new
    }

    /// Whether the process is draining.
    pub(super) fn is_draining(&self) -> bool {
        self.began_at.is_some()
    }

    /// Whether the process may end now, where it is no longer needed or not.
    pub(super) fn is_complete(&self, is_needed: bool, now: Millis) -> bool {
        let Some(waited_ms) = self.began_at.map(|began_at| now.since(began_at)) else {
            return false;
        };
        let grace_is_over = waited_ms >= self.grace_ms * GRACE_PERCENT / 100;
        grace_is_over || (!is_needed && waited_ms >= MIN_SHUTDOWN_MS)
    }
}
