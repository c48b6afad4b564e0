//! A snapshot that is being sent to one disk.

use super::shared::SharedSnapshot;
use crate::limits::SNAPSHOT_CHUNK_BYTES;
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};

/// A snapshot that is being sent to one disk. `received` is never above `next_chunk`.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    snapshot: SharedSnapshot,
    /// The chunk to send next.
    next_chunk: u32,
    /// How many chunks the receiver has, from the first one on.
    received: u32,
}

impl OutgoingSnapshot {
    pub(crate) fn new(snapshot: SharedSnapshot) -> OutgoingSnapshot {
        OutgoingSnapshot {
            snapshot,
            next_chunk: 0,
            received: 0,
        }
    }

    pub(crate) fn index(&self) -> u64 {
        self.snapshot.index()
    }

    /// Bytes of the chunks that are in flight.
    pub(crate) fn bytes_in_flight(&self) -> u64 {
        u64::from(self.next_chunk - self.received) * SNAPSHOT_CHUNK_BYTES as u64
    }

    /// Whether chunks are in flight.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.next_chunk > self.received
    }

    /// Continues with the first chunk that the receiver is not known to have.
    pub(crate) fn rewind(&mut self) {
        self.next_chunk = self.received;
    }

    /// Notes how many chunks the receiver reports. Returns whether it has more than before; if it has
    /// fewer, it has lost them.
    pub(crate) fn acknowledge(&mut self, snapshot: SnapshotIdentity, chunks: u32) -> bool {
        if snapshot != self.snapshot.identity() || chunks > snapshot.chunks {
            return false;
        }
        let before = std::mem::replace(&mut self.received, chunks);
        if chunks < before {
            self.rewind();
        }
        self.next_chunk = self.next_chunk.max(chunks);
        chunks > before
    }

    /// Whether the receiver has all chunks.
    pub(crate) fn is_received(&self) -> bool {
        self.received == self.snapshot.chunks()
    }

    /// The next chunk; none after the last one, or if the window is full.
    pub(crate) fn next_message(
        &mut self,
        view_number: u64,
        window_bytes: u64,
    ) -> Option<ChainMessage> {
        let is_sent = self.next_chunk >= self.snapshot.chunks();
        if is_sent || self.bytes_in_flight() >= window_bytes {
            return None;
        }
        let chunk = self.next_chunk;
        self.next_chunk += 1;
        Some(ChainMessage::Snapshot {
            view: view_number,
            snapshot: self.snapshot.identity(),
            chunk,
            bytes: self.snapshot.chunk(chunk),
        })
    }
}
