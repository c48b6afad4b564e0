//! Barriers of one view: numbers that pass from the head to the tail and are acknowledged back.
//!
//! A completed barrier proves that every entry that the head had when it started the barrier has
//! reached all members. The first barrier of a view, the *recovery barrier*, makes every member's
//! status durable; later barriers serve reads.

use crate::effect::Effect;
use crate::outbox::Outbox;

/// The barrier by which a head has every member make its status durable.
pub(crate) const RECOVERY_BARRIER: u64 = 1;

/// The barriers of the current view.
#[derive(Debug, Default)]
pub(crate) struct Barriers {
    /// The newest barrier that was received or started; 0 for none.
    newest: u64,
    /// The last barrier of this head that every member has acknowledged.
    completed: u64,
}

impl Barriers {
    pub(crate) fn newest(&self) -> u64 {
        self.newest
    }

    /// Notes a barrier received from the head.
    pub(crate) fn receive(&mut self, barrier: u64) {
        self.newest = self.newest.max(barrier);
    }

    /// Whether the recovery barrier was received or started.
    pub(crate) fn has_recovery_barrier(&self) -> bool {
        self.newest >= RECOVERY_BARRIER
    }

    /// Starts the recovery barrier.
    pub(crate) fn start_recovery(&mut self) {
        self.newest = RECOVERY_BARRIER;
    }

    /// Starts the next barrier.
    pub(crate) fn start_next(&mut self) -> u64 {
        self.newest += 1;
        self.newest
    }

    /// Reports the barriers up to `completed` that every member has acknowledged since the last
    /// call, the recovery barrier excepted.
    pub(crate) fn report_completed(&mut self, completed: u64, outbox: &mut Outbox) {
        let first = (self.completed + 1).max(RECOVERY_BARRIER + 1);
        for barrier in first..=completed {
            outbox.push(Effect::Barrier(barrier));
        }
        self.completed = completed;
    }
}
