//! Calls of the configuration's users, and what they are answered.

/// The identity of an order. Calls have the same one if they are the same order sent again: the same kind, the same
/// version to build on and the same bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u64);

/// An order to change the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Which order.
    pub id: ChangeId,
    /// The version that it builds on; 0 for the first.
    pub builds_on: u64,
    /// The version that it sets.
    pub sets: u64,
    /// Whether its body is sound where it applies, its version aside.
    pub is_valid: bool,
}

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Changes the configuration.
    Change(Change),
    /// Reads the configuration.
    Read,
}

/// What a caller was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change is taken (200).
    Acknowledged,
    /// The change is refused, since another version is current (412).
    Conflict,
    /// The change is refused as invalid (400).
    Invalid,
    /// The configuration that was read.
    Observed {
        /// Its version; 0 for none yet.
        version: u64,
        /// The order that set it, where the reader recognizes it by its content.
        change: Option<ChangeId>,
    },
    /// No clear answer: none at all, or one that says that nothing is known (5xx). A change may have been taken, or be
    /// taken later, or never.
    Unclear,
}
