//! A file as `redb` uses it.

use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A file on a real disk, with positioned reads and writes and `fdatasync`. It takes no lock: a disk has one process.
#[derive(Debug)]
pub(crate) struct DiskFile(pub(crate) File);

impl StorageBackend for DiskFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; len];
        self.0.read_exact_at(&mut bytes, offset)?;
        Ok(bytes)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write_all_at(data, offset)
    }
}

/// Whether a sync of a file has failed, as all who use the file share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncFailure(Arc<AtomicBool>);

impl SyncFailure {
    /// Whether one has failed.
    pub(crate) fn is_noted(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// What it may have lost was written again.
    pub(crate) fn mended(&self) {
        self.0.store(false, Ordering::SeqCst);
    }

    fn note(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A file whose growth is synced at once, since `redb` expects a file to be as long as its header says: the header must
/// not reach the disk before the length. It notes a sync that fails.
#[derive(Debug)]
pub(crate) struct GrowthSynced {
    file: Box<dyn StorageBackend>,
    failure: SyncFailure,
}

impl GrowthSynced {
    pub(crate) fn new(file: Box<dyn StorageBackend>, failure: SyncFailure) -> GrowthSynced {
        GrowthSynced { file, failure }
    }

    fn sync(&self) -> io::Result<()> {
        let result = self.file.sync_data(false);
        if result.is_err() {
            self.failure.note();
        }
        result
    }
}

impl StorageBackend for GrowthSynced {
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
