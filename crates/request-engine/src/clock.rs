//! The monotonic clock in whole microseconds.

use lupinrack_policy::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// Reading at the start. Well above zero: the module fills its buckets from the time 0 onward, and a volume that
/// turns up in the first second must find its reserve full, as it does on the simulator's clock.
const BASE: Micros = 1_000_000_000;

/// A monotonic clock that began with the program.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// The reading now.
    pub fn now(&self) -> Micros {
        self.reading(Instant::now())
    }

    /// The reading at an instant.
    pub fn reading(&self, at: Instant) -> Micros {
        BASE + Micros::try_from(at.saturating_duration_since(self.origin).as_micros())
            .unwrap_or(Micros::MAX / 2)
    }

    /// The instant of a reading; readings before the start are the start.
    pub fn instant(&self, at: Micros) -> Instant {
        // Bounded to a day ahead, so that no reading overflows the platform's instants.
        let ahead = (at - BASE).clamp(0, self.now() - BASE + 86_400_000_000);
        self.origin + Duration::from_micros(ahead as u64)
    }
}
