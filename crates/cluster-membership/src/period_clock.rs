//! The protocol periods of this process.

use lupinrack_cluster_api::time::Millis;

/// Counts protocol periods, and notices when the process was not run for a while.
#[derive(Clone, Debug)]
pub(crate) struct PeriodClock {
    periods: u64,
    next_at: Millis,
    last_tick_at: Millis,
}

impl PeriodClock {
    /// The first period begins at `first_at`.
    pub(crate) fn new(first_at: Millis, now: Millis) -> PeriodClock {
        PeriodClock {
            periods: 0,
            next_at: first_at,
            last_tick_at: now,
        }
    }

    /// When the next period begins, which ends the current one.
    pub(crate) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Whether this is one of the periods whose number is a multiple of `every`; each one is where that is 0.
    pub(crate) fn is_multiple_of(&self, every: u64) -> bool {
        self.periods.is_multiple_of(every.max(1))
    }

    /// Notes that the process runs; the milliseconds since it did last.
    pub(crate) fn tick(&mut self, now: Millis) -> u64 {
        let pause_ms = now.since(self.last_tick_at);
        self.last_tick_at = self.last_tick_at.max(now);
        pause_ms
    }

    /// Lets a period begin, of this length in milliseconds.
    pub(crate) fn begin(&mut self, period_ms: u64, now: Millis) {
        self.periods += 1;
        self.next_at = now.plus(period_ms);
    }

    /// Ends the current period.
    pub(crate) fn end_now(&mut self, now: Millis) {
        self.next_at = now;
    }
}
