//! How the state is laid out in rows of one table.
//!
//! One table and not several, so that a commit writes few pages; the last row holds what changes with every commit, next
//! to the newest entries.

use crate::batch::{Batch, LogBounds};
use crate::error::{damaged, of_redb, StoreError};
use crate::store::{Recovered, DATA_FILE};
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::{LogEntry, Operation};
use redb::{Database, ReadableTable, Table, TableDefinition, WriteTransaction};
use std::ops::RangeInclusive;

/// A row's kind, and its number among those of its kind.
type Key = (u8, u64);

/// The table of all rows.
const TABLE: TableDefinition<Key, &[u8]> = TableDefinition::new("control");

const DISK: Key = (1, 0);
const VOTE: Key = (2, 0);
const VIEW: Key = (3, 0);
/// What the log is worth in that view.
const REPLICA_STATUS: Key = (8, 0);
const SNAPSHOT: Key = (4, 0);
/// The kind of the snapshot's pieces, by number from 0.
const CHUNK: u8 = 5;
/// The kind of the log's entries, by index.
const ENTRY: u8 = 6;
const TAIL: Key = (7, 0);

/// Bytes of a snapshot in one row: with the row's head they fill a page of 64 KiB.
const CHUNK_BYTES: usize = 65_536 - 512;

/// What the snapshot's first row says.
#[derive(Clone, Copy, Debug, Default, BorshSerialize, BorshDeserialize)]
struct SnapshotHead {
    index: u64,
    bytes: u64,
}

/// What changes with every commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Tail {
    /// How many commits there were.
    pub(crate) sequence: u64,
    /// Everything up to this index is committed.
    pub(crate) committed: u64,
}

fn failed(error: impl Into<redb::Error>) -> StoreError {
    of_redb(DATA_FILE, error)
}

fn all_of(kind: u8) -> RangeInclusive<Key> {
    (kind, 0)..=(kind, u64::MAX)
}

fn encode(value: &impl BorshSerialize) -> Result<Vec<u8>, StoreError> {
    Ok(borsh::to_vec(value)?)
}

fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, StoreError> {
    T::try_from_slice(bytes).map_err(|error| damaged(DATA_FILE, error))
}

/// Writes batches in their order, and the new tail.
pub(crate) fn write(
    transaction: &WriteTransaction,
    batches: &[&Batch],
    sequence: u64,
) -> Result<(), StoreError> {
    let mut rows = Rows(transaction.open_table(TABLE).map_err(failed)?);
    let mut tail: Tail = rows.get(TAIL)?.unwrap_or_default();
    tail.sequence = sequence;
    for batch in batches {
        rows.apply(batch)?;
        tail.committed = batch.committed.unwrap_or(tail.committed);
    }
    rows.put(TAIL, &encode(&tail)?)
}

/// The table in a transaction that writes.
struct Rows<'transaction>(Table<'transaction, Key, &'static [u8]>);

impl Rows<'_> {
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(disk) = batch.disk {
            self.put(DISK, &encode(&disk)?)?;
        }
        if let Some(vote) = &batch.vote {
            self.put(VOTE, vote)?;
        }
        if let Some(view) = &batch.view {
            self.put(VIEW, view)?;
        }
        if let Some(replica_status) = &batch.replica_status {
            self.put(REPLICA_STATUS, replica_status)?;
        }
        if let Some(index) = batch.truncate_after {
            self.remove((ENTRY, index.saturating_add(1))..=(ENTRY, u64::MAX))?;
        }
        if let Some((index, bytes)) = &batch.snapshot {
            self.replace_snapshot(*index, bytes)?;
        }
        for entry in &batch.append {
            self.put((ENTRY, entry.index), &encode(&entry.operation)?)?;
        }
        Ok(())
    }

    fn replace_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), StoreError> {
        self.remove((ENTRY, 0)..=(ENTRY, index))?;
        let chunks = bytes.len().div_ceil(CHUNK_BYTES) as u64;
        self.remove((CHUNK, chunks)..=(CHUNK, u64::MAX))?;
        for (number, chunk) in bytes.chunks(CHUNK_BYTES).enumerate() {
            self.put((CHUNK, number as u64), chunk)?;
        }
        let head = SnapshotHead {
            index,
            bytes: bytes.len() as u64,
        };
        self.put(SNAPSHOT, &encode(&head)?)
    }

    fn get<T: BorshDeserialize>(&self, key: Key) -> Result<Option<T>, StoreError> {
        let row = self.0.get(key).map_err(failed)?;
        row.map(|row| decode(row.value())).transpose()
    }

    fn put(&mut self, key: Key, bytes: &[u8]) -> Result<(), StoreError> {
        self.0.insert(key, bytes).map(drop).map_err(failed)
    }

    /// Removes rows one by one, which gives their pages back at once; `retain_in` keeps each version of a page until
    /// the commit, so that a long log would need many times its size.
    fn remove(&mut self, keys: RangeInclusive<Key>) -> Result<(), StoreError> {
        while let Some(key) = self.first(keys.clone())? {
            self.0.remove(key).map_err(failed)?;
        }
        Ok(())
    }

    fn first(&self, keys: RangeInclusive<Key>) -> Result<Option<Key>, StoreError> {
        let row = self
            .0
            .range(keys)
            .map_err(failed)?
            .next()
            .transpose()
            .map_err(failed)?;
        Ok(row.map(|(key, _)| key.value()))
    }
}

/// Reads everything.
pub(crate) fn read(database: &Database) -> Result<(Recovered, Tail), StoreError> {
    let rows = Reader::new(database)?;
    let tail: Tail = rows.get(TAIL)?.unwrap_or_default();
    let head: SnapshotHead = rows.get(SNAPSHOT)?.unwrap_or_default();
    let recovered = Recovered {
        disk: rows.get::<DiskId>(DISK)?,
        vote: rows.bytes(VOTE)?,
        view: rows.bytes(VIEW)?,
        replica_status: rows.bytes(REPLICA_STATUS)?,
        snapshot_index: head.index,
        snapshot: rows.snapshot(head)?,
        entries: rows.entries(head.index)?,
        committed: tail.committed,
    };
    Ok((recovered, tail))
}

/// Reads what every commit changes.
pub(crate) fn read_tail(database: &Database) -> Result<Tail, StoreError> {
    Ok(Reader::new(database)?.get(TAIL)?.unwrap_or_default())
}

/// The bounds of a log that was read.
pub(crate) fn bounds(recovered: &Recovered) -> LogBounds {
    let snapshot = recovered.snapshot_index;
    LogBounds {
        snapshot,
        last: recovered
            .entries
            .last()
            .map_or(snapshot, |entry| entry.index),
    }
}

/// The table as of the newest commit.
struct Reader(redb::ReadOnlyTable<Key, &'static [u8]>);

impl Reader {
    fn new(database: &Database) -> Result<Self, StoreError> {
        let transaction = database.begin_read().map_err(failed)?;
        Ok(Reader(transaction.open_table(TABLE).map_err(failed)?))
    }

    fn get<T: BorshDeserialize>(&self, key: Key) -> Result<Option<T>, StoreError> {
        let row = self.0.get(key).map_err(failed)?;
        row.map(|row| decode(row.value())).transpose()
    }

    fn bytes(&self, key: Key) -> Result<Vec<u8>, StoreError> {
        let row = self.0.get(key).map_err(failed)?;
        Ok(row.map(|row| row.value().to_vec()).unwrap_or_default())
    }

    fn snapshot(&self, head: SnapshotHead) -> Result<Vec<u8>, StoreError> {
        let mut bytes = Vec::new();
        for row in self.0.range(all_of(CHUNK)).map_err(failed)? {
            let (_, chunk) = row.map_err(failed)?;
            bytes.extend_from_slice(chunk.value());
        }
        if bytes.len() as u64 != head.bytes {
            return Err(damaged(DATA_FILE, "the snapshot is not whole"));
        }
        Ok(bytes)
    }

    fn entries(&self, after: u64) -> Result<Vec<LogEntry>, StoreError> {
        let mut entries = Vec::new();
        for row in self.0.range(all_of(ENTRY)).map_err(failed)? {
            let (key, bytes) = row.map_err(failed)?;
            let (_, index) = key.value();
            if index != after + 1 + entries.len() as u64 {
                return Err(damaged(DATA_FILE, "the log has a gap"));
            }
            let operation: Operation = decode(bytes.value())?;
            entries.push(LogEntry { index, operation });
        }
        Ok(entries)
    }
}
