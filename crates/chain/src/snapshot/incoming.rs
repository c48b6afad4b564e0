//! A snapshot that is being received.

use super::checksum::checksum;
use crate::limits::{JOINER_STALLED_MS, SNAPSHOT_CHUNK_BYTES};
use lupinrack_cluster_api::chain::SnapshotIdentity;
use lupinrack_cluster_api::time::Millis;

/// A chunk of a snapshot, as received.
#[derive(Debug)]
pub(crate) struct SnapshotChunk {
    pub(crate) snapshot: SnapshotIdentity,
    /// Its number, from 0.
    pub(crate) chunk: u32,
    pub(crate) bytes: Vec<u8>,
}

impl SnapshotChunk {
    /// Whether the chunk has the size that a sender gives it: all but the last are equally large.
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

/// The result of receiving a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    /// The chunk is malformed, and is not answered.
    Malformed,
    /// How many chunks of the snapshot were received without a gap.
    Partial(u32),
    /// The chunk was the last one; the bytes of the snapshot.
    Complete(Vec<u8>),
}

/// A snapshot of which some chunks were received.
#[derive(Debug)]
struct PartialSnapshot {
    snapshot: SnapshotIdentity,
    /// How many chunks were received, from the first one on.
    chunks: u32,
    bytes: Vec<u8>,
    /// When its last chunk was received.
    progress_at: Millis,
}

/// Reassembles the chunks of one snapshot.
#[derive(Debug, Default)]
pub(crate) struct IncomingSnapshot {
    partial: Option<PartialSnapshot>,
}

impl IncomingSnapshot {
    /// Receives a chunk.
    pub(crate) fn receive(&mut self, chunk: &SnapshotChunk, now: Millis) -> ReceiveOutcome {
        let snapshot = chunk.snapshot;
        if !chunk.is_well_formed() {
            return ReceiveOutcome::Malformed;
        }
        if chunk.chunk == 0 && self.may_begin(snapshot, now) {
            self.partial = Some(PartialSnapshot {
                snapshot,
                chunks: 0,
                bytes: Vec::new(),
                progress_at: now,
            });
        }
        let partial = self
            .partial
            .as_mut()
            .filter(|partial| partial.snapshot == snapshot);
        let Some(partial) = partial else {
            return ReceiveOutcome::Partial(0);
        };
        if partial.chunks == chunk.chunk {
            partial.bytes.extend_from_slice(&chunk.bytes);
            partial.chunks += 1;
            partial.progress_at = now;
        }
        if partial.chunks == snapshot.chunks {
            return self.finish();
        }
        ReceiveOutcome::Partial(partial.chunks)
    }

    /// Whether a snapshot may replace the one in progress: not if it is the same, nor if a late chunk
    /// belongs to an older one while a newer one makes progress.
    fn may_begin(&self, snapshot: SnapshotIdentity, now: Millis) -> bool {
        self.partial.as_ref().is_none_or(|partial| {
            let has_stalled = now.since(partial.progress_at) >= JOINER_STALLED_MS;
            let is_older = snapshot.index < partial.snapshot.index;
            partial.snapshot != snapshot && (!is_older || has_stalled)
        })
    }

    /// Returns the snapshot if its checksum matches; otherwise it has to be sent again.
    fn finish(&mut self) -> ReceiveOutcome {
        match self.partial.take() {
            Some(partial) if checksum(&partial.bytes) == partial.snapshot.checksum => {
                ReceiveOutcome::Complete(partial.bytes)
            }
            _ => ReceiveOutcome::Partial(0),
        }
    }
}
