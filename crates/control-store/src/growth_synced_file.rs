//! A file whose growth is synced before it is used.

use redb::StorageBackend;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The outcomes of syncs of the data file; shared by a store and all its handles of the file.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncRecord(Arc<SyncOutcomes>);

#[derive(Debug, Default)]
struct SyncOutcomes {
    has_failed: AtomicBool,
    /// In microseconds.
    slowest: AtomicU64,
}

impl SyncRecord {
    /// Whether a sync has failed since the record was cleared.
    pub(crate) fn has_failure(&self) -> bool {
        self.0.has_failed.load(Ordering::SeqCst)
    }

    /// Forgets a failure, once everything that the failed sync may have lost was written again and
    /// synced.
    pub(crate) fn clear_failure(&self) {
        self.0.has_failed.store(false, Ordering::SeqCst);
    }

    /// How long the slowest sync took.
    pub(crate) fn slowest(&self) -> Duration {
        Duration::from_micros(self.0.slowest.load(Ordering::SeqCst))
    }

    /// Syncs a file and records the outcome.
    pub(crate) fn sync(&self, file: &dyn StorageBackend) -> io::Result<()> {
        let began = Instant::now();
        let result = file.sync_data(false);
        let elapsed = began.elapsed().as_micros() as u64;
        self.0.slowest.fetch_max(elapsed, Ordering::SeqCst);
        if result.is_err() {
            self.0.has_failed.store(true, Ordering::SeqCst);
        }
        result
    }
}

/// A file that is synced as soon as it grows, and that records the outcomes of its syncs.
///
/// `redb` expects a file to be as long as its header says, so the header must not reach the disk
/// before the length.
#[derive(Debug)]
pub(crate) struct GrowthSyncedFile {
    file: Box<dyn StorageBackend>,
    syncs: SyncRecord,
}

impl GrowthSyncedFile {
    pub(crate) fn new(file: Box<dyn StorageBackend>, syncs: SyncRecord) -> Self {
        Self { file, syncs }
    }

    fn sync(&self) -> io::Result<()> {
        self.syncs.sync(self.file.as_ref())
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
