//! The protocol periods of this process.

use lupinrack_cluster_api::time::Millis;

/// Counts protocol periods, and measures the time between ticks to detect that the process was suspended.
#[derive(Clone, Debug)]
pub(crate) struct PeriodClock {
    periods: u64,
    next_at: Millis,
    last_tick_at: Millis,
}

impl PeriodClock {
    /// A clock whose first period starts at `first_at`.
    pub(crate) fn new(first_at: Millis, now: Millis) -> PeriodClock {
        PeriodClock {
            periods: 0,
            next_at: first_at,
            last_tick_at: now,
        }
    }

    /// When the current period ends and the next one starts.
    pub(crate) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Whether the number of the current period is a multiple of `every`; 0 counts as 1.
    pub(crate) fn is_multiple_of(&self, every: u64) -> bool {
        self.periods.is_multiple_of(every.max(1))
    }

    /// Records a tick, and returns the milliseconds since the previous one.
    pub(crate) fn tick(&mut self, now: Millis) -> u64 {
        let elapsed_ms = now.since(self.last_tick_at);
        self.last_tick_at = self.last_tick_at.max(now);
        elapsed_ms
    }

    /// Starts a period of this length in milliseconds.
    pub(crate) fn begin(&mut self, period_ms: u64, now: Millis) {
        self.periods += 1;
        self.next_at = now.plus(period_ms);
    }

    /// Ends the current period.
    pub(crate) fn end_now(&mut self, now: Millis) {
        self.next_at = now;
    }
}
