//! What the driver is asked to do.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;

/// What a disk's log is worth; kept on the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReplicaStatus {
    /// As a member of the newest view that the disk has adopted, it has everything that was committed before that view.
    /// An empty disk that has adopted no view yet has this standing: there is nothing that it could lack.
    #[default]
    Complete,
    /// It is a spare, or was one and has not received everything yet.
    Joining,
}

/// An order to the driver. `Append`, `TruncateAfter`, `Install` and `StoreReplicaStatus` reach the disk in their order, and
/// their completions are reported in that order too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to the process of a disk; it may be lost.
    Send(DiskId, ChainMessage),
    /// Write entries to the end of the log and sync; then [`crate::Chain::written`] with the last index.
    Append(Vec<LogEntry>),
    /// Drop the entries above this index from the log and sync; then [`crate::Chain::truncated`].
    TruncateAfter(u64),
    /// Replace snapshot and log by this snapshot, load it as the applied state, and sync; then
    /// [`crate::Chain::installed`].
    Install {
        /// The last index that the snapshot covers.
        index: u64,
        /// The snapshot.
        bytes: Vec<u8>,
    },
    /// Keep the standing on the disk and sync; then [`crate::Chain::replica_status_stored`].
    StoreReplicaStatus(ReplicaStatus),
    /// Everything up to this index is committed: apply, in order, what was not applied yet.
    Commit(u64),
    /// The barrier of this number, started by this head, has passed the whole chain. Reads that came before it was
    /// started may be answered from the state that is applied now.
    Barrier(u64),
    /// Hand over the applied state by [`crate::Chain::provide_snapshot`].
    NeedSnapshot,
}
