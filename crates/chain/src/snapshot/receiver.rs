//! The snapshots that a replica receives and installs.

use super::incoming::{IncomingSnapshot, ReceiveOutcome, SnapshotChunk};
use lupinrack_cluster_api::chain::SnapshotIdentity;
use lupinrack_cluster_api::time::Millis;

/// The snapshot that is being received, and the one that is being written to the disk.
#[derive(Debug, Default)]
pub(crate) struct SnapshotReceiver {
    incoming: IncomingSnapshot,
    installing: Option<SnapshotIdentity>,
}

impl SnapshotReceiver {
    /// Forgets received chunks. A snapshot that is being written to the disk is not affected.
    pub(crate) fn forget_chunks(&mut self) {
        self.incoming = IncomingSnapshot::default();
    }

    /// Receives a chunk.
    pub(crate) fn receive(&mut self, chunk: &SnapshotChunk, now: Millis) -> ReceiveOutcome {
        self.incoming.receive(chunk, now)
    }

    /// Notes that a snapshot is being written to the disk.
    pub(crate) fn begin_install(&mut self, snapshot: SnapshotIdentity) {
        self.installing = Some(snapshot);
    }

    /// The snapshot that is being written to the disk.
    pub(crate) fn installing(&self) -> Option<SnapshotIdentity> {
        self.installing
    }

    /// Notes that the snapshot is on the disk.
    pub(crate) fn installed(&mut self) {
        self.installing = None;
    }
}
