//! The ends that a server reports, and up to which of them all are recorded.

use crate::run_id::RunId;
use std::collections::BTreeMap;

/// An end that a server listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedEnd {
    run: RunId,
    /// Whether the replicated state has it, or never will.
    recorded: bool,
}

/// The ends of one incarnation of a server, in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedEnds {
    recorded_up_to: u64,
    ends: BTreeMap<u64, ReportedEnd>,
}

impl ReportedEnds {
    /// Adds an end under its number. Returns whether it is new.
    pub(crate) fn add(&mut self, number: u64, run: RunId) -> bool {
        if number <= self.recorded_up_to || self.ends.contains_key(&number) {
            return false;
        }
        let end = ReportedEnd {
            run,
            recorded: false,
        };
        self.ends.insert(number, end);
        true
    }

    /// The ends of this run are recorded.
    pub(crate) fn set_recorded(&mut self, run: RunId) {
        for end in self.ends.values_mut().filter(|end| end.run == run) {
            end.recorded = true;
        }
        self.advance();
    }

    /// The highest number up to which all ends are recorded; the server may forget these.
    pub(crate) fn recorded_up_to(&self) -> u64 {
        self.recorded_up_to
    }

    /// Whether there are ends that are not recorded up to their number.
    pub(crate) fn is_pending(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Servers list all ends that were not acknowledged, oldest first: so none is missing between
    /// those kept here.
    fn advance(&mut self) {
        while let Some(first) = self.ends.first_entry().filter(|first| first.get().recorded) {
            self.recorded_up_to = *first.key();
            first.remove();
        }
    }
}
