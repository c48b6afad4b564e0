//! Points in time. The driver of a state machine passes them in; state machines read no clock.

use borsh::{BorshDeserialize, BorshSerialize};

/// A time by the monotonic clock of one process, in milliseconds since that process started. Times
/// of different processes cannot be compared.
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

/// A time by a wall clock, in milliseconds since 1970. Such a clock may jump, and may differ
/// between machines.
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
    /// The time this many milliseconds after this one.
    #[must_use]
    pub fn plus(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_add(milliseconds))
    }

    /// The milliseconds from `earlier` to this time; 0 if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
