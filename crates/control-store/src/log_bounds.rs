//! Which indices the log covers, and the check that a batch fits the log.

use crate::batch::Batch;

/// The indices that snapshot and log cover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogBounds {
    /// The index up to which the snapshot covers the log; 0 if there is no snapshot.
    pub snapshot: u64,
    /// The index of the last entry, or the snapshot's if there are no entries after it.
    pub last: u64,
}

/// Why a batch cannot be applied to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InvalidBatch {
    /// entry {expected} should come next, but {found} does
    Gap {
        /// The index that would follow.
        expected: u64,
        /// The index that the batch appends.
        found: u64,
    },
    /// a snapshot of {given} would leave entries after {current} without those between
    OldSnapshot {
        /// The index of the snapshot in the batch.
        given: u64,
        /// The index of the snapshot that it would replace.
        current: u64,
    },
}

impl std::error::Error for InvalidBatch {}

impl LogBounds {
    /// The bounds after a batch.
    ///
    /// # Errors
    ///
    /// If the batch does not fit the log.
    pub fn after(self, batch: &Batch) -> Result<LogBounds, InvalidBatch> {
        let mut bounds = self;
        if let Some(index) = batch.truncate_after {
            bounds.last = bounds.last.min(index).max(bounds.snapshot);
        }
        if let Some((index, _)) = &batch.snapshot {
            bounds = bounds.with_snapshot(*index)?;
        }
        for entry in &batch.append {
            bounds = bounds.with_entry(entry.index)?;
        }
        Ok(bounds)
    }

    fn with_snapshot(self, index: u64) -> Result<LogBounds, InvalidBatch> {
        let has_entries = self.last > self.snapshot;
        if index < self.snapshot && has_entries {
            return Err(InvalidBatch::OldSnapshot {
                given: index,
                current: self.snapshot,
            });
        }
        let last = if has_entries {
            self.last.max(index)
        } else {
            index
        };
        Ok(LogBounds {
            snapshot: index,
            last,
        })
    }

    fn with_entry(self, index: u64) -> Result<LogBounds, InvalidBatch> {
        let expected = self.last + 1;
        if index != expected {
            return Err(InvalidBatch::Gap {
                expected,
                found: index,
            });
        }
        Ok(LogBounds {
            last: index,
            ..self
        })
    }
}
