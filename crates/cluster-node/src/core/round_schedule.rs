//! Timing of the rounds in which the schedulers of the owned shards run.

use lupinrack_cluster_api::time::Millis;
use std::time::Duration;

/// The shortest time between two rounds, in milliseconds.
const MIN_ROUND_INTERVAL_MS: u64 = 5;
/// Rounds take at most one part in this many of the time, up to the limit below. After a long round the next one waits,
/// so that messages are handled and synced writes are acknowledged in between.
const ROUND_TIME_DIVISOR: u64 = 4;
/// Limit on the interval that follows from this part, in milliseconds.
const MAX_PACED_INTERVAL_MS: u64 = 40;
/// Longer rounds take at most one part in this many of the time, up to the limit below: a process that does nothing else
/// is lost to the others.
const LONG_ROUND_TIME_DIVISOR: u64 = 2;
/// Limit on the interval that follows from that part, in milliseconds. The process may have stood still in a round.
const MAX_LONG_INTERVAL_MS: u64 = 500;
/// The longest time between two rounds, in milliseconds.
const MAX_ROUND_INTERVAL_MS: u64 = 100;
/// Interval between two summaries of the services in the log, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Rounds run on request, at least 5 ms apart, and every 100 ms without a request. The interval after an expensive
/// round is longer, in proportion to its duration.
#[derive(Debug, Default)]
pub struct RoundSchedule {
    last_round_at: Millis,
    last_summary_at: Millis,
    is_requested: bool,
    /// Duration of the last round and of the other work before its effects were carried out.
    last_duration: Duration,
    /// Whether the duration of the last round is still unknown.
    is_unmeasured: bool,
}

impl RoundSchedule {
    /// Reports how long the latest events took to finish. If they included a round, this is its duration.
    pub fn events_finished_in(&mut self, duration: Duration) {
        if self.is_unmeasured {
            self.is_unmeasured = false;
            self.last_duration = duration;
        }
    }

    /// The shortest time from the last round to the next one, in milliseconds.
    fn interval_ms(&self) -> u64 {
        let took_us = u64::try_from(self.last_duration.as_micros()).unwrap_or(u64::MAX);
        let part_ms = |divisor| took_us.saturating_mul(divisor) / 1_000;
        part_ms(ROUND_TIME_DIVISOR)
            .clamp(MIN_ROUND_INTERVAL_MS, MAX_PACED_INTERVAL_MS)
            .max(part_ms(LONG_ROUND_TIME_DIVISOR).min(MAX_LONG_INTERVAL_MS))
    }

    /// Requests a round.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Milliseconds until the requested round may run; none if no round is requested.
    pub fn wait_ms(&self, now: Millis) -> Option<u64> {
        let waited_ms = now.since(self.last_round_at);
        self.is_requested
            .then(|| self.interval_ms().saturating_sub(waited_ms))
    }

    /// Begins a round if one is due. Returns whether it was.
    pub fn begin_if_due(&mut self, now: Millis) -> bool {
        let waited_ms = now.since(self.last_round_at);
        let interval_ms = self.interval_ms();
        let is_due =
            waited_ms >= interval_ms && (self.is_requested || waited_ms >= MAX_ROUND_INTERVAL_MS);
        if is_due {
            self.last_round_at = now;
            self.is_requested = false;
            self.is_unmeasured = true;
        }
        is_due
    }

    /// Begins a summary of the services in the log if one is due. Returns whether it was.
    pub fn begin_summary_if_due(&mut self, now: Millis) -> bool {
        let is_due = now.since(self.last_summary_at) >= SUMMARY_INTERVAL_MS;
        if is_due {
            self.last_summary_at = now;
        }
        is_due
    }
}
