//! The sequential specification: the configuration as a register that handles one call at a time.

use crate::call::{Call, ChangeId, ConditionalChange};
use crate::response::Response;
use std::collections::BTreeSet;

/// The state of a single register after a sequence of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    version: u64,
    current_change: Option<ChangeId>,
    applied: BTreeSet<ChangeId>,
}

impl Register {
    /// The current version; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The change that set the current version.
    pub fn current_change(&self) -> Option<ChangeId> {
        self.current_change
    }

    /// Whether a change was applied, as the current one or earlier.
    pub fn has_applied(&self, id: ChangeId) -> bool {
        self.applied.contains(&id)
    }

    /// Whether a change would be applied in this state. A change that was applied already is not
    /// applied again: its retry is acknowledged without effect.
    pub fn accepts(&self, change: &ConditionalChange) -> bool {
        let fits_version = change.base_version == self.version && change.new_version > self.version;
        change.is_valid && fits_version && !self.has_applied(change.id)
    }

    /// Applies a change that the register [accepts](Register::accepts).
    pub fn apply(&mut self, change: &ConditionalChange) {
        self.version = change.new_version;
        self.current_change = Some(change.id);
        self.applied.insert(change.id);
    }

    /// Whether this response to a call is correct in this state and leaves the state unchanged.
    pub fn permits(&self, call: &Call, response: &Response) -> bool {
        match (call, response) {
            (_, Response::Indeterminate) => true,
            (Call::Read, Response::Observed { version, change }) => {
                *version == self.version && change.is_none_or(|id| self.current_change == Some(id))
            }
            (Call::Change(change), Response::Acknowledged) => self.has_applied(change.id),
            (Call::Change(change), Response::Conflict) => {
                !self.has_applied(change.id) && change.base_version != self.version
            }
            (Call::Change(change), Response::Invalid) => {
                let is_applicable = change.is_valid && change.new_version > self.version;
                !self.has_applied(change.id) && !is_applicable
            }
            (Call::Read, _) | (Call::Change(_), Response::Observed { .. }) => false,
        }
    }
}
