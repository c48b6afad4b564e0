//! The ends that a server has reported, and which of them are recorded.

use crate::run_id::RunId;
use std::collections::BTreeMap;

/// An end that a server listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedEnd {
    run: RunId,
    /// Whether the replicated state has the end, or never will.
    recorded: bool,
}

/// The ends reported by one incarnation of a server, ordered by number.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedEnds {
    recorded_up_to: u64,
    ends: BTreeMap<u64, ReportedEnd>,
}

impl ReportedEnds {
    /// Adds an end with its number. Returns whether it is new.
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

    /// Marks the ends of this run as recorded.
    pub(crate) fn set_recorded(&mut self, run: RunId) {
        for end in self.ends.values_mut().filter(|end| end.run == run) {
            end.recorded = true;
        }
        self.advance();
    }

    /// The highest number up to which all ends are recorded. The server may forget these ends.
    pub(crate) fn recorded_up_to(&self) -> u64 {
        self.recorded_up_to
    }

    /// Whether there are ends with numbers above [`Self::recorded_up_to`].
    pub(crate) fn is_pending(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Drops the recorded ends at the front. Servers list all unacknowledged ends, oldest first, so
    /// no number is missing among those in the map.
    fn advance(&mut self) {
        while let Some(first) = self.ends.first_entry().filter(|first| first.get().recorded) {
            self.recorded_up_to = *first.key();
            first.remove();
        }
    }
}
