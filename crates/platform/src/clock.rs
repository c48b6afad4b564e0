//! Maps Unix time to the monotonic clock, once, at start-up.

use lupinrack_policy::Micros;
use lupinrack_request_engine::Clock;
use std::time::{SystemTime, UNIX_EPOCH};

/// The offset from Unix time to the monotonic clock, fixed at the start: a step of the system's clock later on
/// must not make a node look newly started.
#[derive(Clone, Copy, Debug)]
pub struct Epoch {
    offset: Micros,
}

impl Epoch {
    /// Reads both clocks.
    pub fn fix(clock: &Clock) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros();
        Epoch {
            offset: clock.now() - Micros::try_from(unix).unwrap_or(0),
        }
    }

    /// What leads from a reading to Unix time.
    pub fn unix_offset(&self) -> Micros {
        -self.offset
    }

    /// The reading at a Unix time in milliseconds; 0 means long ago.
    pub fn reading(&self, unix_ms: i64) -> Option<Micros> {
        (unix_ms > 0).then(|| unix_ms.saturating_mul(1000).saturating_add(self.offset))
    }
}
