//! Admission of new work at the head. An operation is refused before it is appended if it would exceed the size limit
//! of the state, or would keep a disk that the cluster needs from joining.
//!
//! Only job submissions and configuration changes are checked. Operations that report on accepted work, cancel it, or
//! belong to the cluster itself are always appended.

use super::joiner_throttle::JoinerThrottle;
use super::state_size::{reserved_bytes, StateSize};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::time::Millis;

/// The head's admission control for new work.
#[derive(Debug)]
pub struct Admission {
    size: StateSize,
    max_bytes: u64,
    joiner: JoinerThrottle,
    refused: u64,
}

impl Admission {
    /// Limits the state to `max_bytes`. A disk should join within `catch_up_ms` milliseconds.
    pub fn new(max_bytes: u64, catch_up_ms: u64) -> Admission {
        Admission {
            size: StateSize::default(),
            max_bytes,
            joiner: JoinerThrottle::new(catch_up_ms),
            refused: 0,
        }
    }

    /// The size of the state, for updates.
    pub fn size_mut(&mut self) -> &mut StateSize {
        &mut self.size
    }

    /// The size of the state in bytes, including all reserved bytes.
    pub fn state_bytes(&self) -> u64 {
        self.size.bytes()
    }

    /// How far behind a needed disk may be before new work is throttled, in milliseconds.
    pub fn tolerated_lag_ms(&self) -> u64 {
        self.joiner.tolerated_lag_ms()
    }

    /// Records whether a needed disk is further behind than [`Self::tolerated_lag_ms`].
    pub fn set_joiner_late(&mut self, is_late: bool, now: Millis) {
        self.joiner.set_late(is_late, now);
    }

    /// Decides whether a new operation is admitted. An admitted operation counts as appended.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TooLarge`] if it would never fit, and [`ErrorKind::Overloaded`] or [`ErrorKind::NotTaken`] if it
    /// may fit later.
    pub fn admit(&mut self, operation: &Operation, now: Millis) -> Result<(), ErrorKind> {
        let bytes = match operation {
            Operation::AcceptJob { .. }
            | Operation::AcceptJobAt { .. }
            | Operation::ChangeConfiguration(_) => reserved_bytes(operation),
            _ => return Ok(()),
        };
        let verdict = self.check(operation, bytes, now);
        if verdict.is_err() {
            self.count_refusal();
        }
        verdict
    }

    fn check(&mut self, operation: &Operation, bytes: u64, now: Millis) -> Result<(), ErrorKind> {
        if bytes > self.max_bytes {
            return Err(ErrorKind::TooLarge);
        }
        if self.size.bytes() + bytes > self.max_bytes {
            return Err(full_state_error(operation));
        }
        if !self.joiner.take(bytes, now) {
            return Err(ErrorKind::NotTaken);
        }
        Ok(())
    }

    fn count_refusal(&mut self) {
        self.refused += 1;
        if self.refused.is_power_of_two() {
            spdlog::warn!(
                "new work is refused, {} times so far: {} of {} bytes of state{}",
                self.refused,
                self.size.bytes(),
                self.max_bytes,
                if self.joiner.is_active() {
                    ", and a disk that is needed is joining"
                } else {
                    ""
                }
            );
        }
    }
}

/// The error while the state is full. An operator's change gets a server error, since the operator would not retry
/// after a client error.
fn full_state_error(operation: &Operation) -> ErrorKind {
    match operation {
        Operation::ChangeConfiguration(_) => ErrorKind::NotTaken,
        _ => ErrorKind::Overloaded,
    }
}
