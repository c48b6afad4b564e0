//! Flow control: how many bytes may be in flight to one disk, and when they count as lost.

use crate::limits::{JOINER_STALLED_MS, MAX_JOINER_STALLED_MS, SLOW_LINK_BYTES_PER_S};
use lupinrack_cluster_api::time::Millis;

/// The smallest window, in bytes.
pub(crate) const MIN_WINDOW_BYTES: u64 = 64 * 1024;
/// The largest count of stalls; each one halves the window and doubles the wait.
const MAX_STALLS: u32 = 8;

/// The flow control of one disk. Each stall halves the window and doubles the wait before the next
/// repetition, so that repetitions do not pile up on a slow link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowControl {
    /// Stalls, minus the times that the receiver made progress since.
    stalls: u32,
    /// When the receiver last made progress, or the wait for it began.
    progress_at: Millis,
}

impl FlowControl {
    pub(crate) fn new(now: Millis) -> FlowControl {
        FlowControl {
            stalls: 0,
            progress_at: now,
        }
    }

    /// How many bytes may be in flight; at most `widest`.
    pub(crate) fn window_bytes(&self, widest: u64) -> u64 {
        (widest >> self.stalls).max(MIN_WINDOW_BYTES)
    }

    /// Notes that the receiver has more than before.
    pub(crate) fn progressed(&mut self, now: Millis) {
        self.stalls = self.stalls.saturating_sub(1);
        self.progress_at = now;
    }

    /// Notes that a message is sent now, which starts the wait for a response.
    pub(crate) fn begin_wait(&mut self, now: Millis) {
        self.progress_at = now;
    }

    /// Whether these bytes in flight count as lost. If so, the stall is counted: the window shrinks
    /// and the next wait is longer.
    pub(crate) fn detect_stall(&mut self, bytes_in_flight: u64, now: Millis) -> bool {
        let link_ms = bytes_in_flight * 1_000 / SLOW_LINK_BYTES_PER_S;
        let wait_ms = (JOINER_STALLED_MS + link_ms) << self.stalls;
        let stalled = now.since(self.progress_at) >= wait_ms.min(MAX_JOINER_STALLED_MS);
        if stalled {
            self.stalls = (self.stalls + 1).min(MAX_STALLS);
            self.progress_at = now;
        }
        stalled
    }
}
