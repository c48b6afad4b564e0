//! The settings of the policy.

/// What the time to catch up is divided by for the timeout after which a voter may be replaced.
const REPLACE_DIVISOR: u64 = 4;
/// What it is divided by for the timeout after which a voter may be removed.
const REMOVE_DIVISOR: u64 = 2;

/// The settings of a [`ViewPolicy`](super::ViewPolicy).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Milliseconds between two heartbeats of a process.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which a process counts as lost.
    pub suspect_after_ms: u64,
    /// How many disks may be lost at once without the loss of anything acknowledged.
    pub tolerated_losses: usize,
    /// Milliseconds from the start of a lost machine's successor until the loss no longer counts
    /// (`bounds.catch-up-s`): by then the successor votes in place of the lost machine.
    pub catch_up_ms: u64,
}

impl PolicySettings {
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
