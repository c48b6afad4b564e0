//! Calls that clients of the configuration make.

/// Identifies a change. Two calls have the same identity if one is a retry of the other: the same
/// kind, the same base version and the same bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u64);

/// A conditional change of the configuration: it requires a certain current version (`If-Match`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConditionalChange {
    /// The identity of the change; retries share it.
    pub id: ChangeId,
    /// The version that must be current for the change to be applied; 0 for the first change.
    pub base_version: u64,
    /// The version that the change sets.
    pub new_version: u64,
    /// Whether the body is valid when applied to `base_version`, apart from `new_version`.
    pub is_valid: bool,
}

/// A call to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Changes the configuration.
    Change(ConditionalChange),
    /// Reads the configuration.
    Read,
}
