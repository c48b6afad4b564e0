//! Detects stalls of this process: its machine was frozen, or it got no processor time.
//!
//! After a stall the process cannot tell a late message or write from one that it was late to see. So the duration of a
//! stall is not counted against other processes or the disk.

use lupinrack_cluster_api::time::Millis;

/// A longer gap between clock readings is a stall, in milliseconds. The process reads its clock at least every 25 ms.
const MAX_GAP_MS: u64 = 60;

/// The last time at which the process is known to have run.
#[derive(Debug)]
pub struct StallWatch {
    last_seen: Millis,
}

impl StallWatch {
    /// Starts the watch at this time.
    pub fn new(now: Millis) -> StallWatch {
        StallWatch { last_seen: now }
    }

    /// Records that the process runs now. Returns the duration of the stall before, in milliseconds, if there was one.
    pub fn advance(&mut self, now: Millis) -> Option<u64> {
        let gap_ms = now.since(self.last_seen);
        self.last_seen = self.last_seen.max(now);
        (gap_ms > MAX_GAP_MS).then_some(gap_ms)
    }
}
