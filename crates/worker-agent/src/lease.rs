//! The lease under which the server runs what it was given.

use lupinrack_cluster_api::time::Millis;

/// A lease with less than this many milliseconds left is not passed on: the response could take as long to arrive.
pub const MIN_LEASE_MS: u64 = 100;

/// The end of what the owner granted, on the agent's clock. The default is a lease that has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lease {
    expires_at: Millis,
}

impl Lease {
    /// Sets the lease to the first grant of a session. It replaces what earlier sessions granted, since another owner does not rely on
    /// that beyond a bound of its own.
    pub(crate) fn replace(&mut self, granted_from: Millis, duration_ms: u64) {
        self.expires_at = granted_from.plus(duration_ms);
    }

    /// Extends the lease by a later grant of the same session, which never shortens it.
    pub(crate) fn extend(&mut self, granted_from: Millis, duration_ms: u64) {
        self.expires_at = self.expires_at.max(granted_from.plus(duration_ms));
    }

    /// The lease, in milliseconds, that the response to a heartbeat may carry if the heartbeat arrived at `arrived_at`, at
    /// most `max_ms`; none where less than [`MIN_LEASE_MS`] is left.
    ///
    /// The server counts from the moment at which it sent the heartbeat. That lies before the arrival, so its lease ends no
    /// later than the owner's grant.
    pub(crate) fn remaining_ms(self, arrived_at: Millis, max_ms: u64) -> Option<u64> {
        let remaining = self.expires_at.since(arrived_at);
        (remaining >= MIN_LEASE_MS).then_some(remaining.min(max_ms))
    }
}
