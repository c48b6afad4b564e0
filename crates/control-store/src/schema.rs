//! The layout of the data file: keys and contents of the rows.
//!
//! All rows are in one table rather than several, so that a commit writes few pages.
//! [`COMMIT_HEADER`] changes with every commit; its kind sorts directly after the log's entries, so
//! that it shares a page with the newest of them.

use crate::error::StoreError;
use borsh::{BorshDeserialize, BorshSerialize};
use redb::TableDefinition;
use std::ops::RangeInclusive;

/// The key of a row: its kind, and its number among the rows of that kind.
pub(crate) type Key = (u8, u64);

/// The table of all rows.
pub(crate) const TABLE: TableDefinition<Key, &[u8]> = TableDefinition::new("control");

/// The identity of the disk.
pub(crate) const DISK: Key = (1, 0);
/// The voter's state.
pub(crate) const VOTE: Key = (2, 0);
/// The newest agreed view.
pub(crate) const VIEW: Key = (3, 0);
/// A [`SnapshotHeader`].
pub(crate) const SNAPSHOT: Key = (4, 0);
/// The kind of the snapshot's chunks, numbered from 0.
pub(crate) const CHUNK: u8 = 5;
/// The kind of the log's entries, numbered by their index.
pub(crate) const ENTRY: u8 = 6;
/// A [`CommitHeader`].
pub(crate) const COMMIT_HEADER: Key = (7, 0);
/// The replica status in the newest agreed view.
pub(crate) const REPLICA_STATUS: Key = (8, 0);

/// Bytes of a snapshot in one row. Together with the row's own header they fill a page of 64 KiB.
pub(crate) const CHUNK_BYTES: usize = 65_536 - 512;

/// Which part of the log a snapshot covers, and its length.
#[derive(Clone, Copy, Debug, Default, BorshSerialize, BorshDeserialize)]
pub(crate) struct SnapshotHeader {
    /// The index up to which the snapshot covers the log.
    pub(crate) index: u64,
    /// The total length of its chunks.
    pub(crate) bytes: u64,
}

/// The row that every commit changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) struct CommitHeader {
    /// The number of commits before this one.
    pub(crate) sequence: u64,
    /// Log entries up to this index are known to be committed by the replication chain.
    pub(crate) committed: u64,
}

/// All keys of a kind.
pub(crate) fn keys_of(kind: u8) -> RangeInclusive<Key> {
    (kind, 0)..=(kind, u64::MAX)
}

/// The `borsh` form of a row's contents.
pub(crate) fn encode(value: &impl BorshSerialize) -> Result<Vec<u8>, StoreError> {
    Ok(borsh::to_vec(value)?)
}

/// Reads the `borsh` form of a row's contents.
pub(crate) fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, StoreError> {
    T::try_from_slice(bytes).map_err(|error| StoreError::damaged(&error))
}
