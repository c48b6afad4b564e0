//! How long the owner lets the server hold what runs.

use lupinrack_cluster_api::time::Millis;

/// A hold with less than this left is not passed on: the answer could take as long to arrive.
pub const LEASE_LEAST_MS: u64 = 100;

/// The end of what the owner granted, on the agent's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hold {
    until: Millis,
}

impl Hold {
    /// Takes the first grant of a session. It replaces what earlier sessions granted, since another owner does not count
    /// on that beyond a bound of its own.
    pub fn replace(&mut self, from: Millis, lease_ms: u64) {
        self.until = from.plus(lease_ms);
    }

    /// Takes a later grant of the same session.
    pub fn extend(&mut self, from: Millis, lease_ms: u64) {
        self.until = self.until.max(from.plus(lease_ms));
    }

    /// Takes the grant back.
    pub fn clear(&mut self) {
        self.until = Millis::default();
    }

    /// What to answer a heartbeat that arrived at `arrival`, at most `most_ms`; none where too little is left. The
    /// server counts from the sending, which lies before the arrival, and so ends its hold no later than was granted.
    pub fn for_answer(&self, arrival: Millis, most_ms: u64) -> Option<u64> {
        let left = self.until.since(arrival);
        (left >= LEASE_LEAST_MS).then_some(left.min(most_ms))
    }
}
