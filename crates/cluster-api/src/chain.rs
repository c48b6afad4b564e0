//! Messages of chain replication (van Renesse and Schneider, "Chain replication for supporting high
//! throughput and availability", OSDI 2004), and what a replica reports of itself.
//!
//! The crate `chain` owns the state machine that sends and receives these messages.

use crate::identity::DiskId;
use crate::operation::LogEntry;
use crate::view::View;
use borsh::{BorshDeserialize, BorshSerialize};

/// Identifies a snapshot. Chunks of different snapshots are never combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SnapshotIdentity {
    /// The index up to which the snapshot covers the log.
    pub index: u64,
    /// How many chunks it has.
    pub chunks: u32,
    /// A checksum over all its bytes.
    pub checksum: u64,
}

/// A message between replicas. Within a view, entries go from the head to the tail, and
/// acknowledgements from the tail to the head.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChainMessage {
    /// From a member to its successor: entries to append, and what the sender knows to be
    /// committed.
    Append {
        /// The number of the sender's view.
        view: u64,
        /// The index of the entry before the first one sent.
        previous: u64,
        /// The entries; empty in a heartbeat.
        entries: Vec<LogEntry>,
        /// Entries up to this index are committed.
        committed: u64,
        /// The newest barrier of the head. It passes down the chain and back like an entry, but
        /// needs no sync.
        barrier: u64,
    },
    /// From a member to its predecessor: the sender and all members behind it have synced
    /// everything up to `synced`.
    Acknowledge {
        /// The number of the sender's view.
        view: u64,
        /// The last index that all of them have synced.
        synced: u64,
        /// The last barrier that has reached the tail.
        barrier: u64,
    },
    /// From a member to its predecessor: the sender lacks the entries after `have`.
    Resend {
        /// The number of the sender's view.
        view: u64,
        /// The last index that the sender has.
        have: u64,
    },
    /// A chunk of a snapshot of the control state, from a member to its successor or to a disk that
    /// is to join the chain.
    Snapshot {
        /// The number of the sender's view.
        view: u64,
        /// The snapshot.
        snapshot: SnapshotIdentity,
        /// The number of the chunk, from 0.
        chunk: u32,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// Acknowledges chunks of a snapshot.
    SnapshotReceived {
        /// The number of the sender's view.
        view: u64,
        /// The snapshot.
        snapshot: SnapshotIdentity,
        /// How many chunks have arrived, counted from the first without a gap.
        chunks: u32,
    },
    /// From a disk that is to join the chain to the member that it catches up from: it needs
    /// everything after `have`.
    Join {
        /// The number of the newest view that the sender knows.
        view: u64,
        /// The disk that is to join.
        disk: DiskId,
        /// The last index that the disk has synced; none if it needs a snapshot.
        have: Option<u64>,
    },
    /// Answers a message of an older view.
    Outdated {
        /// The sender's view.
        view: View,
    },
}

/// What a core process reports of its replica, in the view of the heartbeat that this is part of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReplicaReport {
    /// The replica is a spare that could join the chain: as far as it knows, it has everything that
    /// is committed.
    pub caught_up: bool,
    /// The replica is known to have everything that was committed before this view, so it may
    /// become the head of the next view.
    pub complete: bool,
    /// The replica was the head of this view when it restarted. It cannot continue as the head, so
    /// a new view is needed.
    pub needs_view: bool,
}
