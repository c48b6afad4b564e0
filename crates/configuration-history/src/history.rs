//! The recorded history of all calls.

use crate::call::{Call, ChangeId};
use crate::call_record::{CallNumber, CallRecord};
use crate::linearization::{find_linearization, NotLinearizable};
use crate::response::Response;

/// Calls and their responses, as observed by the clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    calls: Vec<CallRecord>,
}

impl History {
    /// Records that a client sent a call. Its response is indeterminate until [`History::respond`].
    pub fn invoke(&mut self, call: Call, at: u64) -> CallNumber {
        let record = CallRecord {
            call,
            invoked_at: at,
            responded_at: at,
            response: Response::Indeterminate,
        };
        self.calls.push(record);
        CallNumber(self.calls.len() - 1)
    }

    /// Records the response to a call, or with [`Response::Indeterminate`] that its client gave up.
    /// Does nothing if the number is not in this history.
    pub fn respond(&mut self, number: CallNumber, response: Response, at: u64) {
        if let Some(record) = self.calls.get_mut(number.0) {
            record.responded_at = at;
            record.response = response;
        }
    }

    /// All calls, in the order in which [`History::invoke`] recorded them.
    pub fn calls(&self) -> &[CallRecord] {
        &self.calls
    }

    /// Searches for a linearization of the history, and returns the changes that it applies, in
    /// order.
    ///
    /// # Errors
    ///
    /// If no linearization exists.
    pub fn check(&self) -> Result<Vec<ChangeId>, NotLinearizable> {
        find_linearization(&self.calls)
    }
}
