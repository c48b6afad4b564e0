//! Responses that clients of the configuration get.

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
    /// The configuration that was read.
    Observed {
        /// Its version; 0 before the first change.
        version: u64,
        /// The change that set it, where the reader recognizes the change by its content.
        change: Option<ChangeId>,
    },
    /// No response, or one that leaves the outcome open (5xx). A change may have been applied, may
    /// be applied later, or may never be.
    Indeterminate,
}
