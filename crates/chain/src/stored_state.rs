//! The stored state with which a replica starts.

use crate::replica_status::ReplicaStatus;
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_cluster_api::view::View;

/// The contents of a disk when its process starts. The default is an empty disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The last index that the snapshot covers; 0 without a snapshot.
    pub snapshot_index: u64,
    /// The entries after the snapshot, all synced.
    pub entries: Vec<LogEntry>,
    /// The newest agreed view that the disk has adopted; number 0 for none.
    pub view: View,
    /// The status that was stored last.
    pub replica_status: ReplicaStatus,
}
