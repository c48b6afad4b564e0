//! Moments and durations, handed to every state machine by its driver.

use borsh::{BorshDeserialize, BorshSerialize};

/// A moment on this process's steady clock, in milliseconds since the process began.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct Millis(pub u64);

/// A moment of the day, in milliseconds since 1970. It may jump and differ between machines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct WallMillis(pub u64);

impl Millis {
    /// This moment and so many milliseconds.
    pub fn plus(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_add(milliseconds))
    }

    /// Milliseconds from `earlier` to this moment, 0 if it lies after.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
