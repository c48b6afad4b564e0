//! How much may be in flight to one disk, and when it counts as lost.

use crate::limits::{JOINER_STALLED_MOST_MS, JOINER_STALLED_MS, SLOW_LINK_BYTES_PER_S};
use lupinrack_cluster_api::time::Millis;

/// The narrowest window, in bytes.
pub(crate) const WINDOW_BYTES_LEAST: u64 = 64 * 1024;
/// How many stalls in a row narrow the window and lengthen the wait; further ones change nothing.
const STALLS_MOST: u32 = 8;

/// The flow control of what is sent to one disk. Without progress the window narrows and the wait
/// before a repetition grows, so that repetitions do not pile up on a slow link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowControl {
    /// Stalls, less the times with progress since.
    stalls: u32,
    /// When there was progress last, or the wait for it began.
    progress_at: Millis,
}

impl FlowControl {
    pub(crate) fn new(now: Millis) -> FlowControl {
        FlowControl {
            stalls: 0,
            progress_at: now,
        }
    }

    /// How many bytes may be in flight, of at most `widest`.
    pub(crate) fn window_bytes(&self, widest: u64) -> u64 {
        (widest >> self.stalls).max(WINDOW_BYTES_LEAST)
    }

    /// Notes that the receiver has more than before.
    pub(crate) fn progressed(&mut self, now: Millis) {
        self.stalls = self.stalls.saturating_sub(1);
        self.progress_at = now;
    }

    /// Notes that something is sent now, and the wait for a response begins.
    pub(crate) fn begin_wait(&mut self, now: Millis) {
        self.progress_at = now;
    }

    /// Whether so many bytes in flight are to be taken for lost. If so, the stall is noted: the
    /// window narrows and the next wait is longer.
    pub(crate) fn detect_stall(&mut self, bytes_in_flight: u64, now: Millis) -> bool {
        let link_ms = bytes_in_flight * 1_000 / SLOW_LINK_BYTES_PER_S;
        let wait_ms = (JOINER_STALLED_MS + link_ms) << self.stalls;
        let stalled = now.since(self.progress_at) >= wait_ms.min(JOINER_STALLED_MOST_MS);
        if stalled {
            self.stalls = (self.stalls + 1).min(STALLS_MOST);
            self.progress_at = now;
        }
        stalled
    }
}
