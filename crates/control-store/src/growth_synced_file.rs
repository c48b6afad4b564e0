//! A file whose growth is synced before it is used.

use redb::StorageBackend;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Whether a sync of the data file has failed; shared by a store and all its handles of the file.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncFailureFlag(Arc<AtomicBool>);

impl SyncFailureFlag {
    /// Whether a sync has failed since the flag was cleared.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Clears the flag, once everything that the failed sync may have lost was written again and
    /// synced.
    pub(crate) fn clear(&self) {
        self.0.store(false, Ordering::SeqCst);
    }

    fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A file that is synced as soon as it grows, and that records failed syncs.
///
/// `redb` expects a file to be as long as its header says, so the header must not reach the disk
/// before the length.
#[derive(Debug)]
pub(crate) struct GrowthSyncedFile {
    file: Box<dyn StorageBackend>,
    sync_failure: SyncFailureFlag,
}

impl GrowthSyncedFile {
    pub(crate) fn new(file: Box<dyn StorageBackend>, sync_failure: SyncFailureFlag) -> Self {
        Self { file, sync_failure }
    }

    fn sync(&self) -> io::Result<()> {
        let result = self.file.sync_data(false);
        if result.is_err() {
            self.sync_failure.set();
        }
        result
    }
}

impl StorageBackend for GrowthSyncedFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.file.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let grows = len > self.file.len()?;
        self.file.set_len(len)?;
        if grows {
            self.sync()?;
        }
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        self.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write(offset, data)
    }
}
