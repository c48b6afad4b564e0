//! Converts Unix time to the monotonic clock.

use lupinrack_policy::Micros;
use lupinrack_request_engine::Clock;
use std::time::{SystemTime, UNIX_EPOCH};

/// The offset from Unix time to the monotonic clock. It is measured once, at the start, so that a later step of the system
/// clock does not make a node look newly started.
#[derive(Clone, Copy, Debug)]
pub struct UnixClockOffset {
    offset: Micros,
}

impl UnixClockOffset {
    /// Measures the offset by reading both clocks.
    pub fn measure(clock: &Clock) -> Self {
        let unix_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros();
        UnixClockOffset {
            offset: clock.now() - Micros::try_from(unix_us).unwrap_or(0),
        }
    }

    /// The offset from the monotonic clock to Unix time.
    pub fn unix_offset(&self) -> Micros {
        -self.offset
    }

    /// The monotonic time at a Unix time in milliseconds, or `None` for 0, which means long ago.
    pub fn monotonic_at(&self, unix_ms: i64) -> Option<Micros> {
        (unix_ms > 0).then(|| unix_ms.saturating_mul(1000).saturating_add(self.offset))
    }
}
