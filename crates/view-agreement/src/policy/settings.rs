//! The settings of the policy.

/// What the time to catch up is divided by for the timeout after which a voter may be replaced.
const REPLACE_DIVISOR: u64 = 4;
/// How many times as long as the longest gap between heartbeats a silence may be.
const GAPS_TOLERATED: f64 = 2.0;
/// How many heartbeat intervals an acknowledgement takes at the longest where all is well: one until
/// the heartbeat is sent, one until the other's next one.
const ACKNOWLEDGEMENT_HEARTBEATS: u64 = 2;
/// What it is divided by for the timeout after which a voter may be removed.
const REMOVE_DIVISOR: u64 = 2;

/// The settings of a [`ViewPolicy`](super::ViewPolicy).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Milliseconds between two heartbeats of a process.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which a process counts as lost, whatever was observed
    /// of it before.
    pub suspect_after_ms: u64,
    /// The same for a process whose heartbeats have come in time for a while. What lies between
    /// follows the longest gap that was lately observed between two of its heartbeats.
    pub min_suspect_after_ms: u64,
    /// How many disks may be lost at once without the loss of anything acknowledged.
    pub tolerated_losses: usize,
    /// Milliseconds from the start of a lost machine's successor until the loss no longer counts
    /// (`bounds.catch-up-s`): by then the successor votes in place of the lost machine.
    pub catch_up_ms: u64,
}

impl PolicySettings {
    /// Milliseconds without a heartbeat after which a process counts as lost that was lately seen to
    /// leave such a gap between two heartbeats.
    pub(super) fn suspect_after_gap_ms(&self, longest_gap_ms: f64) -> u64 {
        let tolerated_ms = (GAPS_TOLERATED * longest_gap_ms) as u64 + self.heartbeat_ms / 2;
        tolerated_ms.clamp(
            self.min_suspect_after_ms.min(self.suspect_after_ms),
            self.suspect_after_ms,
        )
    }

    /// Milliseconds for which another process may acknowledge no newer heartbeat before it counts as
    /// one that receives nothing, although its own heartbeats come.
    pub(super) fn unacknowledged_after_ms(&self) -> u64 {
        self.suspect_after_ms + ACKNOWLEDGEMENT_HEARTBEATS * self.heartbeat_ms
    }

    /// The gap that stands for a process of which nothing was observed: it is suspected as late as
    /// any.
    pub(super) fn unknown_gap_ms(&self) -> f64 {
        self.suspect_after_ms as f64 / GAPS_TOLERATED
    }

    /// Milliseconds without a heartbeat after which another disk may replace a voter. It is a part
    /// of the time to catch up; the rest of that is for the views and for the replica of the other
    /// disk.
    pub(super) fn replace_after_ms(&self) -> u64 {
        (self.catch_up_ms / REPLACE_DIVISOR).max(self.suspect_after_ms)
    }

    /// Milliseconds without a heartbeat after which a voter may be removed from an even number of
    /// voters without a replacement.
    pub(super) fn remove_after_ms(&self) -> u64 {
        (self.catch_up_ms / REMOVE_DIVISOR).max(self.suspect_after_ms)
    }
}
