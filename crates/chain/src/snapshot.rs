//! Snapshots on their way: cut into pieces by the sender, put together by the receiver.
//!
//! Each piece is answered by how many pieces have come without a gap. So the sender has a bounded number on their way,
//! goes on from there after a loss, and neither a lost nor a repeated piece costs the whole transfer.

use crate::limits::{JOINER_STALLED_MS, SNAPSHOT_CHUNK_BYTES};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::time::Millis;
use std::sync::Arc;

/// A snapshot as the driver handed it over; all disks that need one share its bytes.
#[derive(Clone, Debug)]
pub(crate) struct SharedSnapshot {
    identity: SnapshotIdentity,
    bytes: Arc<Vec<u8>>,
}

impl SharedSnapshot {
    pub(crate) fn new(index: u64, bytes: Vec<u8>) -> SharedSnapshot {
        // An empty snapshot has one empty piece.
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

    pub(crate) fn index(&self) -> u64 {
        self.identity.index
    }

    fn chunk(&self, number: u32) -> Vec<u8> {
        let start = number as usize * SNAPSHOT_CHUNK_BYTES;
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(self.bytes.len());
        self.bytes[start..end].to_vec()
    }
}

/// The checksum of a snapshot's bytes: FNV-1a over words of eight bytes, and over the rest. It guards against faults, not
/// against forgery.
pub fn checksum(bytes: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, word: u64| (hash ^ word).wrapping_mul(PRIME).rotate_left(23);
    let (words, rest) = bytes.as_chunks::<8>();
    let hash = words
        .iter()
        .fold(BASIS, |hash, word| mix(hash, u64::from_le_bytes(*word)));
    rest.iter()
        .fold(hash, |hash, byte| mix(hash, u64::from(*byte)))
}

/// A snapshot that is being sent to one disk.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    snapshot: SharedSnapshot,
    next_chunk: u32,
    /// Pieces that the receiver has, from the first one on.
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

    /// Bytes of the pieces that are on their way.
    pub(crate) fn on_their_way(&self) -> u64 {
        u64::from(self.next_chunk - self.received) * SNAPSHOT_CHUNK_BYTES as u64
    }

    /// Whether pieces are on their way.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.next_chunk > self.received
    }

    /// Goes on from what the receiver is known to have.
    pub(crate) fn rewind(&mut self) {
        self.next_chunk = self.received;
    }

    /// Takes the receiver's word; tells whether it has more than before. A receiver that has less has lost it.
    pub(crate) fn take_answer(&mut self, snapshot: SnapshotIdentity, chunks: u32) -> bool {
        if snapshot != self.snapshot.identity || chunks > snapshot.chunks {
            return false;
        }
        let before = std::mem::replace(&mut self.received, chunks);
        if chunks < before {
            self.rewind();
        }
        self.next_chunk = self.next_chunk.max(chunks);
        chunks > before
    }

    /// Whether the receiver has all of it.
    pub(crate) fn is_received(&self) -> bool {
        self.received == self.snapshot.identity.chunks
    }

    /// The next piece; none after the last, or with so many bytes on their way.
    pub(crate) fn next_message(&mut self, view: u64, window_bytes: u64) -> Option<ChainMessage> {
        if self.next_chunk >= self.snapshot.identity.chunks || self.on_their_way() >= window_bytes {
            return None;
        }
        let chunk = self.next_chunk;
        self.next_chunk += 1;
        let bytes = self.snapshot.chunk(chunk);
        Some(ChainMessage::Snapshot {
            view,
            snapshot: self.snapshot.identity,
            chunk,
            bytes,
        })
    }
}

/// A piece of a snapshot, as received.
#[derive(Debug)]
pub(crate) struct SnapshotChunk {
    pub(crate) snapshot: SnapshotIdentity,
    pub(crate) chunk: u32,
    pub(crate) bytes: Vec<u8>,
}

impl SnapshotChunk {
    /// Whether it is one that a sender cuts: all but the last have the same size.
    fn is_well_formed(&self) -> bool {
        let is_last = self.chunk.checked_add(1) == Some(self.snapshot.chunks);
        let size_fits = if is_last {
            self.bytes.len() <= SNAPSHOT_CHUNK_BYTES
        } else {
            self.bytes.len() == SNAPSHOT_CHUNK_BYTES
        };
        self.chunk < self.snapshot.chunks && size_fits
    }
}

/// What a piece came to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is no piece of a snapshot that could be taken.
    Nothing,
    /// So many pieces of its snapshot have come.
    Pieces(u32),
    /// It was the last one: the snapshot's bytes.
    Whole(Vec<u8>),
}

/// A snapshot of which some pieces have come.
#[derive(Debug)]
struct Partial {
    snapshot: SnapshotIdentity,
    chunks: u32,
    bytes: Vec<u8>,
    /// When its last piece came.
    advanced_at: Millis,
}

/// Puts pieces of one snapshot together.
#[derive(Debug, Default)]
pub(crate) struct IncomingSnapshot {
    partial: Option<Partial>,
}

impl IncomingSnapshot {
    /// Takes a piece.
    pub(crate) fn take(&mut self, chunk: SnapshotChunk, now: Millis) -> Taken {
        if !chunk.is_well_formed() {
            return Taken::Nothing;
        }
        if chunk.chunk == 0 && self.may_begin(chunk.snapshot, now) {
            let snapshot = chunk.snapshot;
            self.partial = Some(Partial {
                snapshot,
                chunks: 0,
                bytes: Vec::new(),
                advanced_at: now,
            });
        }
        let Some(partial) = self
            .partial
            .as_mut()
            .filter(|partial| partial.snapshot == chunk.snapshot)
        else {
            return Taken::Pieces(0);
        };
        if partial.chunks == chunk.chunk {
            partial.bytes.extend_from_slice(&chunk.bytes);
            partial.chunks += 1;
            partial.advanced_at = now;
        }
        if partial.chunks == partial.snapshot.chunks {
            return self.finish();
        }
        Taken::Pieces(partial.chunks)
    }

    /// Whether a snapshot may take the place of what has come: not one that is there already, nor a late piece of an
    /// older one while a newer one comes in.
    fn may_begin(&self, snapshot: SnapshotIdentity, now: Millis) -> bool {
        self.partial.as_ref().is_none_or(|partial| {
            let is_idle = now.since(partial.advanced_at) >= JOINER_STALLED_MS;
            partial.snapshot != snapshot && (snapshot.index >= partial.snapshot.index || is_idle)
        })
    }

    /// Hands out the snapshot if its bytes are those that the sender had; otherwise it has to come again.
    fn finish(&mut self) -> Taken {
        match self.partial.take() {
            Some(partial) if checksum(&partial.bytes) == partial.snapshot.checksum => {
                Taken::Whole(partial.bytes)
            }
            _ => Taken::Pieces(0),
        }
    }
}
