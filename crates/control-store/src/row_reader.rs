//! Reading of the rows as of the newest commit.

use crate::error::StoreError;
use crate::recovered::Recovered;
use crate::schema::{
    decode, keys_of, CommitHeader, Key, SnapshotHeader, CHUNK, COMMIT_HEADER, DISK, ENTRY,
    REPLICA_STATUS, SNAPSHOT, TABLE, VIEW, VOTE,
};
use borsh::BorshDeserialize;
use lupinrack_cluster_api::operation::LogEntry;
use redb::{Database, ReadOnlyTable};

/// The table within a read transaction.
pub(crate) struct RowReader {
    table: ReadOnlyTable<Key, &'static [u8]>,
}

impl RowReader {
    /// Begins a read transaction.
    pub(crate) fn new(database: &Database) -> Result<Self, StoreError> {
        let transaction = database.begin_read().map_err(StoreError::from_redb)?;
        let table = transaction
            .open_table(TABLE)
            .map_err(StoreError::from_redb)?;
        Ok(Self { table })
    }

    /// The header of the newest commit.
    pub(crate) fn commit_header(&self) -> Result<CommitHeader, StoreError> {
        Ok(self.value(COMMIT_HEADER)?.unwrap_or_default())
    }

    /// All other rows.
    pub(crate) fn recovered(&self) -> Result<Recovered, StoreError> {
        let snapshot: SnapshotHeader = self.value(SNAPSHOT)?.unwrap_or_default();
        Ok(Recovered {
            disk: self.value(DISK)?,
            vote: self.bytes(VOTE)?,
            view: self.bytes(VIEW)?,
            replica_status: self.bytes(REPLICA_STATUS)?,
            snapshot_index: snapshot.index,
            snapshot: self.snapshot(snapshot)?,
            entries: self.entries_after(snapshot.index)?,
            committed: self.commit_header()?.committed,
        })
    }

    fn value<T: BorshDeserialize>(&self, key: Key) -> Result<Option<T>, StoreError> {
        let row = self.table.get(key).map_err(StoreError::from_redb)?;
        row.map(|row| decode(row.value())).transpose()
    }

    fn bytes(&self, key: Key) -> Result<Vec<u8>, StoreError> {
        let row = self.table.get(key).map_err(StoreError::from_redb)?;
        Ok(row.map(|row| row.value().to_vec()).unwrap_or_default())
    }

    fn snapshot(&self, header: SnapshotHeader) -> Result<Vec<u8>, StoreError> {
        let mut bytes = Vec::new();
        for row in self
            .table
            .range(keys_of(CHUNK))
            .map_err(StoreError::from_redb)?
        {
            let (_, chunk) = row.map_err(StoreError::from_redb)?;
            bytes.extend_from_slice(chunk.value());
        }
        if bytes.len() as u64 != header.bytes {
            return Err(StoreError::damaged("the snapshot is incomplete"));
        }
        Ok(bytes)
    }

    fn entries_after(&self, snapshot_index: u64) -> Result<Vec<LogEntry>, StoreError> {
        let mut entries = Vec::new();
        for row in self
            .table
            .range(keys_of(ENTRY))
            .map_err(StoreError::from_redb)?
        {
            let (key, bytes) = row.map_err(StoreError::from_redb)?;
            let (_, index) = key.value();
            if index != snapshot_index + 1 + entries.len() as u64 {
                return Err(StoreError::damaged("the log has a gap"));
            }
            entries.push(LogEntry {
                index,
                operation: decode(bytes.value())?,
            });
        }
        Ok(entries)
    }
}
