//! How much may be on its way to one disk, and when it counts as lost.

use crate::limits::{JOINER_STALLED_MOST_MS, JOINER_STALLED_MS, SLOW_LINK_BYTES_PER_S};
use lupinrack_cluster_api::time::Millis;

/// The narrowest window, in bytes.
pub(crate) const WINDOW_BYTES_LEAST: u64 = 64 * 1024;
/// Times without progress beyond which nothing narrows any further.
const STALLS_MOST: u32 = 8;

/// The pace of what is sent to one disk. Without progress the window narrows and the wait before a repetition grows, so that
/// repetitions do not pile up on a slow link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Times without progress, less the times with progress since.
    stalls: u32,
    advanced_at: Millis,
}

impl Flow {
    pub(crate) fn new(now: Millis) -> Flow {
        Flow {
            stalls: 0,
            advanced_at: now,
        }
    }

    /// Bytes that may be on their way, of at most `widest`.
    pub(crate) fn window(&self, widest: u64) -> u64 {
        (widest >> self.stalls).max(WINDOW_BYTES_LEAST)
    }

    /// The receiver has more than before.
    pub(crate) fn advanced(&mut self, now: Millis) {
        self.stalls = self.stalls.saturating_sub(1);
        self.advanced_at = now;
    }

    /// Something is sent now; the wait for an answer begins.
    pub(crate) fn begins(&mut self, now: Millis) {
        self.advanced_at = now;
    }

    /// Whether so many bytes on their way are to be taken for lost; the next wait is longer then.
    pub(crate) fn has_stalled(&mut self, on_their_way: u64, now: Millis) -> bool {
        let on_the_link = on_their_way * 1_000 / SLOW_LINK_BYTES_PER_S;
        let patience =
            ((JOINER_STALLED_MS + on_the_link) << self.stalls).min(JOINER_STALLED_MOST_MS);
        let stalled = now.since(self.advanced_at) >= patience;
        if stalled {
            self.stalls = (self.stalls + 1).min(STALLS_MOST);
            self.advanced_at = now;
        }
        stalled
    }
}
