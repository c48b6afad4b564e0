//! What callers saw, as it is recorded.

use crate::call::{Answer, Call, ChangeId};
use crate::check::{find_order, Violation};

/// The number of a call within its history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub usize);

/// One call and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// What was asked.
    pub call: Call,
    /// When it was sent first.
    pub began: u64,
    /// When its answer was there, or its caller gave up; of no meaning for an unclear one.
    pub ended: u64,
    /// The answer; unclear while there is none.
    pub answer: Answer,
}

/// A history of calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    calls: Vec<CallRecord>,
}

impl History {
    /// A call is sent. It is unclear until it is answered.
    pub fn began(&mut self, call: Call, at: u64) -> CallNumber {
        self.calls.push(CallRecord {
            call,
            began: at,
            ended: at,
            answer: Answer::Unclear,
        });
        CallNumber(self.calls.len() - 1)
    }

    /// A call is answered, or given up with [`Answer::Unclear`].
    pub fn answered(&mut self, number: CallNumber, answer: Answer, at: u64) {
        if let Some(record) = self.calls.get_mut(number.0) {
            record.ended = at;
            record.answer = answer;
        }
    }

    /// All calls, in the order in which they began to be recorded.
    pub fn calls(&self) -> &[CallRecord] {
        &self.calls
    }

    /// Looks for an order of the calls in which a single register gives these answers, and returns the changes that it
    /// takes, in that order.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn check(&self) -> Result<Vec<ChangeId>, Violation> {
        find_order(&self.calls)
    }
}
