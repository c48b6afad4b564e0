//! The timers that the balancer set.

use lupinrack_policy::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The timers that have not expired. They cannot be cancelled: the balancer ignores tokens that it no longer waits for.
#[derive(Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Micros, u32)>>);

impl Timers {
    pub(crate) fn set(&mut self, at: Micros, token: u32) {
        self.0.push(Reverse((at, token)));
    }

    /// When the next timer expires.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest timer if it has expired, and returns its token.
    pub(crate) fn take_expired(&mut self, now: Micros) -> Option<u32> {
        if self.next_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, token))| token)
    }
}
