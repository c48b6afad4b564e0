//! The settings of the policy.

/// A voter may be replaced after the time to catch up divided by this.
const REPLACE_DIVISOR: u64 = 4;
/// A process counts as lost after this many times the longest gap between its heartbeats.
const GAPS_TOLERATED: f64 = 2.0;
/// The heartbeat intervals that an acknowledgement takes at most without faults: one until the
/// heartbeat is sent, one until the next heartbeat of the other process.
const ACKNOWLEDGEMENT_HEARTBEATS: u64 = 2;
/// A voter may be removed after the time to catch up divided by this.
const REMOVE_DIVISOR: u64 = 2;

/// The settings of a [`ViewPolicy`](super::ViewPolicy).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Milliseconds between two heartbeats of a process.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which any process counts as lost, whatever gaps were
    /// observed before.
    pub suspect_after_ms: u64,
    /// The same for a process whose heartbeats have arrived in time for a while. Between these two
    /// values the timeout follows the longest recent gap between two heartbeats of the process.
    pub min_suspect_after_ms: u64,
    /// How many disks may be lost at once without losing anything acknowledged.
    pub tolerated_losses: usize,
    /// Milliseconds from the start of a lost machine's replacement until the loss no longer counts
    /// (`bounds.catch-up-s`): by then the replacement votes in place of the lost machine.
    pub catch_up_ms: u64,
}

impl PolicySettings {
    /// Milliseconds without a heartbeat after which a process with this longest recent gap between
    /// heartbeats counts as lost.
    pub(super) fn suspect_after_gap_ms(&self, longest_gap_ms: f64) -> u64 {
        let tolerated_ms = (GAPS_TOLERATED * longest_gap_ms) as u64 + self.heartbeat_ms / 2;
        tolerated_ms.clamp(
            self.min_suspect_after_ms.min(self.suspect_after_ms),
            self.suspect_after_ms,
        )
    }

    /// Milliseconds without a newly acknowledged heartbeat after which a process counts as receiving
    /// nothing, although its own heartbeats arrive.
    pub(super) fn unacknowledged_after_ms(&self) -> u64 {
        self.suspect_after_ms + ACKNOWLEDGEMENT_HEARTBEATS * self.heartbeat_ms
    }

    /// The gap assumed for a process without observations, which gives it the longest timeout.
    pub(super) fn unknown_gap_ms(&self) -> f64 {
        self.suspect_after_ms as f64 / GAPS_TOLERATED
    }

    /// Milliseconds without a heartbeat after which another disk may replace a voter. It is a part
    /// of the time to catch up; the rest is left for agreeing on views and for the replica of the
    /// other disk to catch up.
    pub(super) fn replace_after_ms(&self) -> u64 {
        (self.catch_up_ms / REPLACE_DIVISOR).max(self.suspect_after_ms)
    }

    /// Milliseconds without a heartbeat after which a voter may be removed from an even number of
    /// voters without a replacement.
    pub(super) fn remove_after_ms(&self) -> u64 {
        (self.catch_up_ms / REMOVE_DIVISOR).max(self.suspect_after_ms)
    }
}
