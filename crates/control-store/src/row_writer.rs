//! Writing of batches as rows.

use crate::batch::Batch;
use crate::error::StoreError;
use crate::schema::{
    decode, encode, CommitHeader, Key, SnapshotHeader, CHUNK, CHUNK_BYTES, COMMIT_HEADER, DISK,
    ENTRY, REPLICA_STATUS, SNAPSHOT, TABLE, VIEW, VOTE,
};
use lupinrack_cluster_api::operation::LogEntry;
use redb::{Database, ReadableTable, Table};
use std::ops::RangeInclusive;

/// Applies batches in their order, all of them or none, under the sequence number of the commit.
/// They are synced when this returns without an error.
pub(crate) fn commit(
    database: &Database,
    batches: &[&Batch],
    sequence: u64,
) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(StoreError::from_redb)?;
    {
        let table = transaction
            .open_table(TABLE)
            .map_err(StoreError::from_redb)?;
        RowWriter { table }.apply_all(batches, sequence)?;
    }
    transaction.commit().map_err(StoreError::from_redb)
}

/// The table within a write transaction.
struct RowWriter<'transaction> {
    table: Table<'transaction, Key, &'static [u8]>,
}

impl RowWriter<'_> {
    fn apply_all(&mut self, batches: &[&Batch], sequence: u64) -> Result<(), StoreError> {
        let mut header = self.commit_header()?;
        header.sequence = sequence;
        for batch in batches {
            self.apply(batch)?;
            header.committed = batch.committed.unwrap_or(header.committed);
        }
        self.put(COMMIT_HEADER, &encode(&header)?)
    }

    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(disk) = batch.disk {
            self.put(DISK, &encode(&disk)?)?;
        }
        self.put_if_given(VOTE, batch.vote.as_deref())?;
        self.put_if_given(VIEW, batch.view.as_deref())?;
        self.put_if_given(REPLICA_STATUS, batch.replica_status.as_deref())?;
        if let Some(index) = batch.truncate_after {
            self.remove((ENTRY, index.saturating_add(1))..=(ENTRY, u64::MAX))?;
        }
        if let Some((index, bytes)) = &batch.snapshot {
            self.replace_snapshot(*index, bytes)?;
        }
        batch.append.iter().try_for_each(|entry| self.append(entry))
    }

    fn replace_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), StoreError> {
        self.remove((ENTRY, 0)..=(ENTRY, index))?;
        let chunks = bytes.len().div_ceil(CHUNK_BYTES) as u64;
        self.remove((CHUNK, chunks)..=(CHUNK, u64::MAX))?;
        for (number, chunk) in bytes.chunks(CHUNK_BYTES).enumerate() {
            self.put((CHUNK, number as u64), chunk)?;
        }
        let header = SnapshotHeader {
            index,
            bytes: bytes.len() as u64,
        };
        self.put(SNAPSHOT, &encode(&header)?)
    }

    fn append(&mut self, entry: &LogEntry) -> Result<(), StoreError> {
        self.put((ENTRY, entry.index), &encode(&entry.operation)?)
    }

    /// The header of the commit before this one.
    fn commit_header(&self) -> Result<CommitHeader, StoreError> {
        let row = self
            .table
            .get(COMMIT_HEADER)
            .map_err(StoreError::from_redb)?;
        row.map_or(Ok(CommitHeader::default()), |row| decode(row.value()))
    }

    fn put_if_given(&mut self, key: Key, bytes: Option<&[u8]>) -> Result<(), StoreError> {
        bytes.map_or(Ok(()), |bytes| self.put(key, bytes))
    }

    fn put(&mut self, key: Key, bytes: &[u8]) -> Result<(), StoreError> {
        self.table
            .insert(key, bytes)
            .map(drop)
            .map_err(StoreError::from_redb)
    }

    /// Removes rows one by one, which frees their pages at once. `retain_in` would keep each
    /// version of a page until the commit, so that a long log would need many times its size.
    fn remove(&mut self, keys: RangeInclusive<Key>) -> Result<(), StoreError> {
        while let Some(key) = self.first_key(keys.clone())? {
            self.table.remove(key).map_err(StoreError::from_redb)?;
        }
        Ok(())
    }

    fn first_key(&self, keys: RangeInclusive<Key>) -> Result<Option<Key>, StoreError> {
        let first = self
            .table
            .range(keys)
            .map_err(StoreError::from_redb)?
            .next();
        let first = first.transpose().map_err(StoreError::from_redb)?;
        Ok(first.map(|(key, _)| key.value()))
    }
}
