//! Notices when this process itself stood still: frozen with its machine, or without processor time.
//!
//! What others or the disk did meanwhile cannot be told from what this process was late to see, so time in which it stood
//! still counts against nobody.

use lupinrack_cluster_api::time::Millis;

/// The process looks at its clock every 25 ms at the least; a longer gap than this is a stall, in milliseconds.
const LONGEST_GAP_MS: u64 = 60;

/// The moments at which the process was seen to run.
#[derive(Debug)]
pub struct StallWatch {
    last_seen: Millis,
}

impl StallWatch {
    /// A process that begins now.
    pub fn new(now: Millis) -> StallWatch {
        StallWatch { last_seen: now }
    }

    /// The process runs now; returns for how long, in milliseconds, it stood still before, if it did.
    pub fn advance(&mut self, now: Millis) -> Option<u64> {
        let gap_ms = now.since(self.last_seen);
        self.last_seen = self.last_seen.max(now);
        (gap_ms > LONGEST_GAP_MS).then_some(gap_ms)
    }
}
