//! The monotonic clock, in whole microseconds.

use lupinrack_policy::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// The reading at the start. Well above zero, because the balancer fills its token buckets from time 0 on: a volume whose first request
/// arrives in the first second must find its reservation full, as it does on the simulator's clock.
const START_READING_US: Micros = 1_000_000_000;
/// The furthest that [`Clock::instant`] looks ahead, one day: later readings would overflow the platform's instants.
const MAX_AHEAD_US: Micros = 86_400_000_000;

/// A monotonic clock that starts with the program. All readings in a process come from the same one.
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
        let since_start = at.saturating_duration_since(self.origin).as_micros();
        START_READING_US + Micros::try_from(since_start).unwrap_or(Micros::MAX / 2)
    }

    /// The instant of a reading, clamped to between the start of the clock and one day from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let max_since_start = self.now() - START_READING_US + MAX_AHEAD_US;
        let since_start = (at - START_READING_US).clamp(0, max_since_start);
        self.origin + Duration::from_micros(since_start as u64)
    }
}
