//! One call of a history.

use crate::call::{Call, ConditionalChange};
use crate::response::Response;

/// The index of a call in its history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub usize);

/// A call with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The call.
    pub call: Call,
    /// When the client sent the call.
    pub invoked_at: u64,
    /// When the response arrived or the client gave up. Meaningless while the response is
    /// indeterminate.
    pub responded_at: u64,
    /// The response; indeterminate until one arrives.
    pub response: Response,
}

impl CallRecord {
    /// The change that this call may have applied, according to its response.
    pub(crate) fn possible_change(&self) -> Option<&ConditionalChange> {
        match (&self.call, self.response) {
            (Call::Change(change), Response::Acknowledged | Response::Indeterminate) => {
                Some(change)
            }
            _ => None,
        }
    }
}
