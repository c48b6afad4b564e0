//! How long writes to this disk take, and which of them are slow.
//!
//! A write is slow if it takes far longer than writes to this disk usually do. A fixed limit alone would call all disks
//! of a cluster unhealthy where a sync takes about that long, now one and now another, and each time the chain would
//! change.

/// A write that takes less is never slow, in milliseconds.
const MIN_SLOW_MS: u64 = 150;
/// A write is slow if it takes this many times the usual latency.
const SLOW_FACTOR: u64 = 3;
/// How many writes the usual latency is the median of.
const OBSERVED_WRITES: usize = 9;
/// The slowest recent latency fades to one part in this many with each further write.
const FADING_DIVISOR: u64 = 2;

/// The latencies of the last writes, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct WriteLatency {
    last: [u64; OBSERVED_WRITES],
    next: usize,
    slowest_ms: u64,
}

impl WriteLatency {
    /// Starts with the assumption that the last writes took this long.
    pub fn starting_at(latency_ms: u64) -> WriteLatency {
        WriteLatency {
            last: [latency_ms; OBSERVED_WRITES],
            next: 0,
            slowest_ms: latency_ms,
        }
    }

    /// Records the latency of a write.
    pub fn observed(&mut self, latency_ms: u64) {
        self.last[self.next] = latency_ms;
        self.next = (self.next + 1) % OBSERVED_WRITES;
        self.slowest_ms = latency_ms.max(self.slowest_ms / FADING_DIVISOR);
    }

    /// The slowest recent latency, in milliseconds.
    pub fn slowest_ms(&self) -> u64 {
        self.slowest_ms
    }

    /// The latency from which on a write is slow, in milliseconds.
    pub fn slow_ms(&self) -> u64 {
        (SLOW_FACTOR * self.usual_ms()).max(MIN_SLOW_MS)
    }

    fn usual_ms(&self) -> u64 {
        let mut sorted = self.last;
        sorted.sort_unstable();
        sorted[OBSERVED_WRITES / 2]
    }
}
