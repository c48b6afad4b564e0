//! Snapshots on their way: cut into pieces by the sender, put together by the receiver.

use crate::limits::SNAPSHOT_PIECE_BYTES;
use lupinrack_cluster_api::wire::ChainMessage;
use std::sync::Arc;

/// A snapshot that is being sent to one disk.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    index: u64,
    bytes: Arc<Vec<u8>>,
    next_piece: usize,
}

impl OutgoingSnapshot {
    pub(crate) fn new(index: u64, bytes: Arc<Vec<u8>>) -> OutgoingSnapshot {
        OutgoingSnapshot { index, bytes, next_piece: 0 }
    }

    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// An empty snapshot has one empty piece.
    fn pieces(&self) -> usize {
        self.bytes.len().div_ceil(SNAPSHOT_PIECE_BYTES).max(1)
    }

    pub(crate) fn is_sent(&self) -> bool {
        self.next_piece >= self.pieces()
    }

    /// The next piece; none after the last.
    pub(crate) fn next_message(&mut self, view: u64) -> Option<ChainMessage> {
        if self.is_sent() {
            return None;
        }
        let start = self.next_piece * SNAPSHOT_PIECE_BYTES;
        let end = (start + SNAPSHOT_PIECE_BYTES).min(self.bytes.len());
        let message = ChainMessage::Snapshot {
            view,
            index: self.index,
            piece: self.next_piece as u32,
            pieces: self.pieces() as u32,
            bytes: self.bytes[start..end].to_vec(),
        };
        self.next_piece += 1;
        Some(message)
    }
}

/// A piece of a snapshot, as received.
#[derive(Debug)]
pub(crate) struct SnapshotPiece {
    pub(crate) index: u64,
    pub(crate) piece: u32,
    pub(crate) pieces: u32,
    pub(crate) bytes: Vec<u8>,
}

/// A snapshot of which some pieces have arrived.
#[derive(Debug)]
struct Partial {
    index: u64,
    pieces: u32,
    next_piece: u32,
    bytes: Vec<u8>,
}

/// Puts pieces together that arrive in order; a piece out of order ends the attempt.
#[derive(Debug, Default)]
pub(crate) struct IncomingSnapshot {
    partial: Option<Partial>,
}

impl IncomingSnapshot {
    /// Takes a piece; the whole snapshot's bytes with the last one.
    pub(crate) fn take(&mut self, piece: SnapshotPiece) -> Option<Vec<u8>> {
        if piece.piece == 0 {
            let start =
                Partial { index: piece.index, pieces: piece.pieces, next_piece: 0, bytes: Vec::new() };
            self.partial = Some(start);
        }
        let mut partial = self.partial.take()?;
        if !partial.is_continued_by(&piece) {
            return None;
        }
        partial.bytes.extend_from_slice(&piece.bytes);
        partial.next_piece += 1;
        if partial.next_piece == partial.pieces {
            return Some(partial.bytes);
        }
        self.partial = Some(partial);
        None
    }
}

impl Partial {
    fn is_continued_by(&self, piece: &SnapshotPiece) -> bool {
        self.index == piece.index && self.pieces == piece.pieces && self.next_piece == piece.piece
    }
}
