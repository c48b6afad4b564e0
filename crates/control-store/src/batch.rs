//! Changes that are applied atomically.

use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;

/// Changes that are applied together, in the order of the fields. `None` and an empty list change
/// nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Sets the identity of the disk.
    pub disk: Option<DiskId>,
    /// Sets the voter's state.
    pub vote: Option<Vec<u8>>,
    /// Sets the newest agreed view.
    pub view: Option<Vec<u8>>,
    /// Sets the replica status in that view.
    pub replica_status: Option<Vec<u8>>,
    /// Removes the log entries after this index.
    pub truncate_after: Option<u64>,
    /// Replaces the snapshot by one that covers the log up to an index, and removes the entries up
    /// to that index. For a snapshot received from another replica, which replaces all entries,
    /// `truncate_after` is set to its index too.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Appends log entries, the first of which must directly follow the last one in the log.
    pub append: Vec<LogEntry>,
    /// Sets the highest index that is known to be committed.
    pub committed: Option<u64>,
}
