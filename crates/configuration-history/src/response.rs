//! Responses to clients of the configuration.

use crate::call::ChangeId;

/// The response to a [`Call`](crate::Call).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The change was applied (200).
    Acknowledged,
    /// The change was rejected because another version is current (412).
    Conflict,
    /// The change was rejected as invalid (400).
    Invalid,
    /// The result of a read.
    Observed {
        /// The version of the configuration; 0 before the first change.
        version: u64,
        /// The change that set this version, if the reader recognizes it by its content.
        change: Option<ChangeId>,
    },
    /// No response, or one that leaves the outcome unknown (5xx). A change may have been applied,
    /// may be applied later, or may never be applied.
    Indeterminate,
}
