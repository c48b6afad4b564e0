//! When the schedulers of the owned shards run their next round.

use lupinrack_cluster_api::time::Millis;

/// The shortest time between two rounds, in milliseconds.
const MIN_ROUND_INTERVAL_MS: u64 = 5;
/// The longest time between two rounds, in milliseconds.
const MAX_ROUND_INTERVAL_MS: u64 = 100;
/// Between two lines on the services in the log, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Rounds run when something asks for one, but not too often, and without being asked for now and then.
#[derive(Debug)]
pub(super) struct RoundSchedule {
    last_round_at: Millis,
    last_summary_at: Millis,
    is_requested: bool,
}

impl RoundSchedule {
    /// No round was run yet.
    pub(super) fn new() -> RoundSchedule {
        RoundSchedule {
            last_round_at: Millis(0),
            last_summary_at: Millis(0),
            is_requested: false,
        }
    }

    /// Asks for a round.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// In how many milliseconds a round that was asked for may run; none where nothing asks for one.
    pub(super) fn wait_ms(&self, now: Millis) -> Option<u64> {
        let waited_ms = now.since(self.last_round_at);
        self.is_requested
            .then(|| MIN_ROUND_INTERVAL_MS.saturating_sub(waited_ms))
    }

    /// Begins a round if one is due; returns whether it is.
    pub(super) fn begin_if_due(&mut self, now: Millis) -> bool {
        let waited_ms = now.since(self.last_round_at);
        let is_due = waited_ms >= MAX_ROUND_INTERVAL_MS
            || (self.is_requested && waited_ms >= MIN_ROUND_INTERVAL_MS);
        if is_due {
            self.last_round_at = now;
            self.is_requested = false;
        }
        is_due
    }

    /// Begins a summary of the services in the log if one is due; returns whether it is.
    pub(super) fn begin_summary_if_due(&mut self, now: Millis) -> bool {
        let is_due = now.since(self.last_summary_at) >= SUMMARY_INTERVAL_MS;
        if is_due {
            self.last_summary_at = now;
        }
        is_due
    }
}
