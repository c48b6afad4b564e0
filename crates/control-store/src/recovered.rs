//! What a store finds on its disk.

use crate::log_bounds::LogBounds;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;

/// The state that was on the disk when the store was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The identity of the disk; none if the disk is empty.
    pub disk: Option<DiskId>,
    /// The voter's state; empty if there is none.
    pub vote: Vec<u8>,
    /// The newest agreed view; empty if there is none.
    pub view: Vec<u8>,
    /// The replica status in that view; empty if there is none.
    pub replica_status: Vec<u8>,
    /// The index up to which the snapshot covers the log; 0 if there is no snapshot.
    pub snapshot_index: u64,
    /// The snapshot; empty if there is none.
    pub snapshot: Vec<u8>,
    /// The log entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// The highest index that was recorded as committed; later entries may be committed too.
    pub committed: u64,
}

impl Recovered {
    /// Which indices the recovered log covers.
    pub(crate) fn bounds(&self) -> LogBounds {
        let last = self
            .entries
            .last()
            .map_or(self.snapshot_index, |entry| entry.index);
        LogBounds {
            snapshot: self.snapshot_index,
            last,
        }
    }
}
