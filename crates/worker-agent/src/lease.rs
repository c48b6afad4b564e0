//! The lease under which the server runs its tasks.

use lupinrack_cluster_api::time::Millis;

/// A response carries no lease with less than this many milliseconds left: the response could take as long to arrive.
pub const MIN_LEASE_MS: u64 = 100;

/// The time at which the owner's grant expires, on the agent's clock. The default is an expired lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lease {
    expires_at: Millis,
}

impl Lease {
    /// Sets the lease to the first grant of a session. It replaces the grants of earlier sessions: another owner relies on
    /// those only up to its own upper bound of their expiry.
    pub(crate) fn replace(&mut self, granted_from: Millis, duration_ms: u64) {
        self.expires_at = granted_from.plus(duration_ms);
    }

    /// Extends the lease by a later grant of the same session. It never shortens the lease.
    pub(crate) fn extend(&mut self, granted_from: Millis, duration_ms: u64) {
        self.expires_at = self.expires_at.max(granted_from.plus(duration_ms));
    }

    /// The lease, in milliseconds and at most `max_ms`, for the response to a heartbeat that arrived at `arrived_at`; `None`
    /// if less than [`MIN_LEASE_MS`] is left.
    ///
    /// The server counts the lease from the time at which it sent the heartbeat. It sent the heartbeat before it arrived
    /// here, so the server's lease expires no later than the owner's grant.
    pub(crate) fn remaining_ms(self, arrived_at: Millis, max_ms: u64) -> Option<u64> {
        let remaining = self.expires_at.since(arrived_at);
        (remaining >= MIN_LEASE_MS).then_some(remaining.min(max_ms))
    }
}
