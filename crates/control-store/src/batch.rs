//! Changes that are applied together.

use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;

/// Changes that are applied together, in the order of the fields; `None` and an empty list change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Sets the identity of the disk.
    pub disk: Option<DiskId>,
    /// Sets the vote.
    pub vote: Option<Vec<u8>>,
    /// Sets the newest agreed view.
    pub view: Option<Vec<u8>>,
    /// Sets what the log is worth in that view.
    pub replica_status: Option<Vec<u8>>,
    /// Removes the entries after this index.
    pub truncate_after: Option<u64>,
    /// Replaces the snapshot, and removes the entries up to its index. Where a snapshot was received that replaces all
    /// entries, `truncate_after` has its index too.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Appends entries, the first of which follows the last one kept.
    pub append: Vec<LogEntry>,
    /// Sets how far everything is known to be committed.
    pub committed: Option<u64>,
}

/// Which indices the log holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogBounds {
    /// The index that the snapshot covers; 0 for none.
    pub snapshot: u64,
    /// The last entry, or the snapshot's index where there is none after it.
    pub last: u64,
}

/// Why a batch does not fit the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Misfit {
    /// entry {expected} should come next, but {found} does
    Gap {
        /// The index that would follow.
        expected: u64,
        /// The index that was given.
        found: u64,
    },
    /// a snapshot of {given} would leave entries after {kept} without those between
    OldSnapshot {
        /// The index of the snapshot that was given.
        given: u64,
        /// The index of the snapshot that is kept.
        kept: u64,
    },
}

impl std::error::Error for Misfit {}

impl LogBounds {
    /// The bounds after a batch.
    pub fn after(self, batch: &Batch) -> Result<LogBounds, Misfit> {
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

    fn with_snapshot(self, index: u64) -> Result<LogBounds, Misfit> {
        let holds_entries = self.last > self.snapshot;
        if index < self.snapshot && holds_entries {
            return Err(Misfit::OldSnapshot {
                given: index,
                kept: self.snapshot,
            });
        }
        let last = if holds_entries {
            self.last.max(index)
        } else {
            index
        };
        Ok(LogBounds {
            snapshot: index,
            last,
        })
    }

    fn with_entry(self, index: u64) -> Result<LogBounds, Misfit> {
        let expected = self.last + 1;
        if index != expected {
            return Err(Misfit::Gap {
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
