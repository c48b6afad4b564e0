//! The monotonic clock, in whole microseconds.

use lupinrack_policy::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// The reading at the start. Well above zero: the balancer fills its buckets from the time 0 onward, and a volume that turns up in
/// the first second must find its reservation full, as it does on the simulator's clock.
const START_READING_US: Micros = 1_000_000_000;
/// Readings further ahead than a day lead to the instant a day ahead, so that no reading overflows the platform's instants.
const AHEAD_MOST_US: Micros = 86_400_000_000;

/// A monotonic clock that began with the program. All readings are on one clock.
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

    /// The instant of a reading. Readings before the start lead to the start, those far ahead to the instant a day from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let ahead_most = self.now() - START_READING_US + AHEAD_MOST_US;
        let ahead = (at - START_READING_US).clamp(0, ahead_most);
        self.origin + Duration::from_micros(ahead as u64)
    }
}
