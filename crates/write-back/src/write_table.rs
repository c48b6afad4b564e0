//! The pending writes according to the records of a log.

use crate::accepted_write::WriteId;
use crate::attempt_outcome::AttemptOutcome;
use crate::pending_write::{AttemptState, PendingWrite};
use crate::record::Record;
use std::collections::BTreeMap;

/// All pending writes, built from the records of the log.
#[derive(Clone, Debug, Default)]
pub struct WriteTable {
    writes: BTreeMap<WriteId, PendingWrite>,
    /// Highest number assigned so far, so that none is assigned twice.
    last_id: WriteId,
}

impl WriteTable {
    /// Applies a record. Records must be applied in the order of the log.
    pub fn apply(&mut self, sequence: u64, record: &Record) {
        match record {
            Record::Accepted(accepted) => {
                self.last_id = self.last_id.max(accepted.write);
                let pending = PendingWrite {
                    accepted: accepted.clone(),
                    sequence,
                    attempts: Vec::new(),
                };
                self.writes.insert(accepted.write, pending);
            }
            Record::Attempt {
                write,
                attempt,
                node,
                shard,
                at,
            } => {
                if let Some(pending) = self.writes.get_mut(write) {
                    pending.attempts.push(AttemptState {
                        attempt: *attempt,
                        node: node.clone(),
                        shard: *shard,
                        intended_at: *at,
                        outcome: None,
                    });
                }
            }
            Record::AttemptEnded {
                write,
                attempt,
                outcome,
            } => self.end_attempt(*write, *attempt, *outcome),
            Record::Resolved(write) => drop(self.writes.remove(write)),
            Record::Barrier { .. } | Record::Flush { .. } => {}
        }
    }

    /// Marks all attempts at a write as never run, after a lookup has shown that no node has it.
    pub fn record_absence(&mut self, write: WriteId) {
        if let Some(pending) = self.writes.get_mut(&write) {
            for attempt in &mut pending.attempts {
                attempt.outcome = Some(AttemptOutcome::NeverRan);
            }
        }
    }

    /// The pending writes in the order in which they were accepted.
    pub fn pending(&self) -> impl Iterator<Item = &PendingWrite> {
        self.writes.values()
    }

    /// A pending write by its number.
    pub fn get(&self, write: WriteId) -> Option<&PendingWrite> {
        self.writes.get(&write)
    }

    /// The next unused number.
    pub fn next_id(&self) -> WriteId {
        WriteId(self.last_id.0 + 1)
    }

    /// Sequence number from which on the log is needed. `None` if no write is pending.
    pub fn needed_from(&self) -> Option<u64> {
        self.writes.values().map(|pending| pending.sequence).min()
    }

    /// Sets the outcome of an attempt. The first outcome is kept, except that [`AttemptOutcome::Stored`] overrides any other.
    fn end_attempt(&mut self, write: WriteId, attempt: u16, outcome: AttemptOutcome) {
        let Some(pending) = self.writes.get_mut(&write) else {
            return;
        };
        let state = pending
            .attempts
            .iter_mut()
            .find(|other| other.attempt == attempt);
        if let Some(state) = state {
            if state.outcome.is_none() || outcome == AttemptOutcome::Stored {
                state.outcome = Some(outcome);
            }
        }
    }
}
