//! Effects that the driver carries out.

use crate::replica_status::ReplicaStatus;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;

/// An action that the driver of a [`Chain`](crate::Chain) has to carry out.
///
/// `Append`, `TruncateAfter`, `Install` and `StoreReplicaStatus` reach the disk in this order, and
/// their completions are reported in the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to the process of a disk. The message may be lost.
    Send(DiskId, ChainMessage),
    /// Write entries to the end of the log and sync, then call
    /// [`Chain::entries_written`](crate::Chain::entries_written) with the last index.
    Append(Vec<LogEntry>),
    /// Remove the entries above this index from the log and sync, then call
    /// [`Chain::log_truncated`](crate::Chain::log_truncated).
    TruncateAfter(u64),
    /// Replace snapshot and log by this snapshot, load it as the applied state, and sync; then call
    /// [`Chain::snapshot_installed`](crate::Chain::snapshot_installed).
    Install {
        /// The last index that the snapshot covers.
        index: u64,
        /// The snapshot.
        bytes: Vec<u8>,
    },
    /// Write the status to the disk and sync, then call
    /// [`Chain::replica_status_stored`](crate::Chain::replica_status_stored).
    StoreReplicaStatus(ReplicaStatus),
    /// Everything up to this index is committed: apply, in order, the entries not applied yet.
    Commit(u64),
    /// The barrier with this number, started by this head, was acknowledged by all members. Reads
    /// that arrived before it was started may be answered from the state that is applied now.
    Barrier(u64),
    /// Provide the applied state by [`Chain::provide_snapshot`](crate::Chain::provide_snapshot).
    NeedSnapshot,
}
