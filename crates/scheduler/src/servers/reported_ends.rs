//! The ends that a server lists, and up to which of them all are recorded.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use std::collections::BTreeMap;

/// An end in a server's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListedEnd {
    task: TaskId,
    attempt: Attempt,
    recorded: bool,
}

/// The ends of one life of a server, in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct EndList {
    observed: u64,
    listed: BTreeMap<u64, ListedEnd>,
}

impl EndList {
    /// Notes an end; tells whether it is new.
    pub fn list(&mut self, number: u64, task: TaskId, attempt: Attempt) -> bool {
        if number <= self.observed || self.listed.contains_key(&number) {
            return false;
        }
        self.listed.insert(
            number,
            ListedEnd {
                task,
                attempt,
                recorded: false,
            },
        );
        true
    }

    /// Notes that the ends of this start are recorded.
    pub fn recorded(&mut self, task: TaskId, attempt: Attempt) {
        for end in self.listed.values_mut() {
            if end.task == task && end.attempt == attempt {
                end.recorded = true;
            }
        }
        self.advance();
    }

    /// The highest number up to which all ends are recorded.
    pub fn observed(&self) -> u64 {
        self.observed
    }

    /// Whether ends are listed that are not observed yet.
    pub fn is_pending(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Servers list all ends that are not observed, beginning with the oldest: none lies between those listed here.
    fn advance(&mut self) {
        while let Some(first) = self
            .listed
            .first_entry()
            .filter(|first| first.get().recorded)
        {
            self.observed = *first.key();
            first.remove();
        }
    }
}
