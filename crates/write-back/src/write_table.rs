//! What the records of a log say: all writes that are not resolved.

use crate::accepted_write::WriteId;
use crate::attempt_outcome::AttemptOutcome;
use crate::pending_write::{AttemptState, PendingWrite};
use crate::record::Record;
use std::collections::BTreeMap;

/// All writes that are not resolved, from the records of the log in their order.
#[derive(Clone, Debug, Default)]
pub struct WriteTable {
    writes: BTreeMap<WriteId, PendingWrite>,
    /// The highest number that was ever given, so that none is given twice.
    last: WriteId,
}

impl WriteTable {
    /// Applies a record, in the order of the log.
    pub fn apply(&mut self, sequence: u64, record: &Record) {
        match record {
            Record::Accepted(accepted) => {
                self.last = self.last.max(accepted.write);
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
                        at: *at,
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

    /// Records that every node that may have run a write was asked, and none has it: none of its attempts ran.
    pub fn record_absence(&mut self, write: WriteId) {
        if let Some(pending) = self.writes.get_mut(&write) {
            for attempt in &mut pending.attempts {
                attempt.outcome = Some(AttemptOutcome::NeverRan);
            }
        }
    }

    /// The writes that are not resolved, in the order in which they were accepted.
    pub fn pending(&self) -> impl Iterator<Item = &PendingWrite> {
        self.writes.values()
    }

    /// A write that is not resolved.
    pub fn get(&self, write: WriteId) -> Option<&PendingWrite> {
        self.writes.get(&write)
    }

    /// A number that was never given.
    pub fn next_id(&self) -> WriteId {
        WriteId(self.last.0 + 1)
    }

    /// The sequence number from which on the log is needed; none where nothing is pending.
    pub fn needed_from(&self) -> Option<u64> {
        self.writes.values().map(|pending| pending.sequence).min()
    }

    /// The first outcome of an attempt stands, except that a node which has the write is always believed.
    fn end_attempt(&mut self, write: WriteId, attempt: u16, outcome: AttemptOutcome) {
        let Some(pending) = self.writes.get_mut(&write) else {
            return;
        };
        let ended = pending
            .attempts
            .iter_mut()
            .find(|other| other.attempt == attempt);
        if let Some(ended) = ended {
            if ended.outcome.is_none() || outcome == AttemptOutcome::Stored {
                ended.outcome = Some(outcome);
            }
        }
    }
}
