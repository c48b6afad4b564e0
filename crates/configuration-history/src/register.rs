//! The configuration as one register, which answers one call after the other.

use crate::call::{Answer, Call, Change, ChangeId};
use std::collections::BTreeSet;

/// What a single register has taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    version: u64,
    newest: Option<ChangeId>,
    taken: BTreeSet<ChangeId>,
}

impl Register {
    /// The version in force; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The order that set the version in force.
    pub fn newest(&self) -> Option<ChangeId> {
        self.newest
    }

    /// Whether an order was taken.
    pub fn has_taken(&self, id: ChangeId) -> bool {
        self.taken.contains(&id)
    }

    /// Whether an order that was not taken yet would be taken now.
    pub fn would_take(&self, change: &Change) -> bool {
        let builds_on_newest = change.builds_on == self.version && change.sets > self.version;
        change.is_valid && builds_on_newest && !self.has_taken(change.id)
    }

    /// Takes an order for which [`Register::would_take`] holds.
    pub fn take(&mut self, change: &Change) {
        self.version = change.sets;
        self.newest = Some(change.id);
        self.taken.insert(change.id);
    }

    /// Whether a call may be answered so in this state, without any effect.
    pub fn may_answer(&self, call: &Call, answer: &Answer) -> bool {
        match (call, answer) {
            (_, Answer::Unclear) => true,
            (Call::Read, Answer::Observed { version, change }) => {
                *version == self.version && change.is_none_or(|id| self.newest == Some(id))
            }
            (Call::Change(change), Answer::Acknowledged) => self.has_taken(change.id),
            (Call::Change(change), Answer::Conflict) => {
                !self.has_taken(change.id) && change.builds_on != self.version
            }
            (Call::Change(change), Answer::Invalid) => {
                let is_sound = change.is_valid && change.sets > self.version;
                !self.has_taken(change.id) && !is_sound
            }
            (Call::Read, _) | (Call::Change(_), Answer::Observed { .. }) => false,
        }
    }
}
