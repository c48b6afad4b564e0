//! A snapshot of the applied state.

use super::checksum::checksum;
use crate::limits::SNAPSHOT_CHUNK_BYTES;
use lupinrack_cluster_api::chain::SnapshotIdentity;
use std::sync::Arc;

/// A snapshot as the driver provided it; its bytes are shared by the transfers to all disks.
#[derive(Clone, Debug)]
pub(crate) struct SharedSnapshot {
    identity: SnapshotIdentity,
    bytes: Arc<Vec<u8>>,
}

impl SharedSnapshot {
    /// A snapshot that covers everything up to `index`.
    pub(crate) fn new(index: u64, bytes: Vec<u8>) -> SharedSnapshot {
        // An empty snapshot has one empty chunk.
        let chunks = bytes.len().div_ceil(SNAPSHOT_CHUNK_BYTES).max(1) as u32;
        let identity = SnapshotIdentity {
            index,
            chunks,
            checksum: checksum(&bytes),
        };
        SharedSnapshot {
            identity,
            bytes: Arc::new(bytes),
        }
    }

    pub(crate) fn identity(&self) -> SnapshotIdentity {
        self.identity
    }

    pub(crate) fn index(&self) -> u64 {
        self.identity.index
    }

    /// How many chunks the snapshot is split into.
    pub(crate) fn chunks(&self) -> u32 {
        self.identity.chunks
    }

    /// The bytes of a chunk; numbers begin at 0.
    pub(crate) fn chunk(&self, number: u32) -> Vec<u8> {
        let start = number as usize * SNAPSHOT_CHUNK_BYTES;
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(self.bytes.len());
        self.bytes[start..end].to_vec()
    }
}
