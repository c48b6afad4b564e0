//! Messages of chain replication (van Renesse and Schneider, "Chain replication for supporting high throughput and
//! availability", OSDI 2004), and what a replica says of itself.
//!
//! The crate `chain` holds the state machine that sends and receives these messages.

use crate::identity::DiskId;
use crate::operation::LogEntry;
use crate::view::View;
use borsh::{BorshDeserialize, BorshSerialize};

/// Which snapshot a piece belongs to. Pieces of two snapshots are never put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SnapshotIdentity {
    /// The index that the state covers.
    pub index: u64,
    /// How many pieces there are.
    pub chunks: u32,
    /// A checksum over all its bytes.
    pub checksum: u64,
}

/// Messages of the replication chain.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChainMessage {
    /// From a member to its successor: entries, and how far everything is committed as far as the sender knows.
    Append {
        /// The sender's view.
        view: u64,
        /// The index before the first entry.
        previous: u64,
        /// The entries; none for a check that the successor is there.
        entries: Vec<LogEntry>,
        /// Everything up to this index is committed.
        committed: u64,
        /// Rises with each barrier of the head; acknowledged like an entry, without a sync.
        barrier: u64,
    },
    /// From a member to its predecessor: everything up to `synced` is on the disks of the sender and of all behind it.
    Acknowledge {
        /// The sender's view.
        view: u64,
        /// The last index that is on all those disks.
        synced: u64,
        /// The last barrier that the tail has seen.
        barrier: u64,
    },
    /// From a member to its predecessor: entries after `have` are needed.
    Resend {
        /// The sender's view.
        view: u64,
        /// The last index that the sender has.
        have: u64,
    },
    /// From a member to its successor, or to a disk that is to join: the whole state, in pieces.
    Snapshot {
        /// The sender's view.
        view: u64,
        /// Which snapshot this is a piece of.
        snapshot: SnapshotIdentity,
        /// Which piece this is, from 0.
        chunk: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The answer to a piece of a snapshot: how many of its pieces, from the first one on, have come.
    SnapshotReceived {
        /// The sender's view.
        view: u64,
        /// The snapshot.
        snapshot: SnapshotIdentity,
        /// How many pieces have come without a gap.
        chunks: u32,
    },
    /// From a disk that is to join the chain to the tail: it has everything up to `have` and wants what follows.
    Join {
        /// The view that the sender knows.
        view: u64,
        /// The disk.
        disk: DiskId,
        /// The last index that it has synced; none where it needs a snapshot.
        have: Option<u64>,
    },
    /// The receiver's view is older than the sender's.
    Outdated {
        /// The newer view.
        view: View,
    },
}

/// What a core process says of its replica, in the view of the heartbeat that it comes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReplicaReport {
    /// A spare that has everything that is committed, as far as it knows, and could join the chain.
    pub caught_up: bool,
    /// A disk that is known to have everything that was committed before this view: it may be the head of the next one.
    pub complete: bool,
    /// The head was restarted within this view and cannot go on in it.
    pub needs_view: bool,
}
