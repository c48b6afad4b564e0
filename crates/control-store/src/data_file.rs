//! Opening, creating and rewriting of the data file.

use crate::directory::Directory;
use crate::error::StoreError;
use crate::file_names::{DATA_FILE, NEW_FILE};
use crate::growth_synced_file::{GrowthSyncedFile, SyncRecord};
use crate::panic_guard::catch_panic;
use crate::row_writer;
use crate::settings::StoreSettings;
use redb::{Builder, Database, StorageBackend};
use std::sync::Arc;
use std::time::Duration;

/// The sequence number of the commit with which a file is created.
const FIRST_SEQUENCE: u64 = 0;

/// The maximum difference between the file length in a torn header and the real length. The header
/// holds the number of pages in fewer than three bytes, so an outdated lower byte is wrong by up to
/// 255 pages of 4 KiB.
const TORN_LENGTH_BYTES: u64 = 256 * 4096;

/// Bytes that [`DataFile::rewrite`] copies at a time.
const REWRITE_BYTES: u64 = 64 * 1024;

/// The data file in its directory.
#[derive(Debug)]
pub(crate) struct DataFile {
    directory: Arc<dyn Directory>,
    settings: StoreSettings,
    syncs: SyncRecord,
}

impl DataFile {
    pub(crate) fn new(directory: Arc<dyn Directory>, settings: StoreSettings) -> Self {
        Self {
            directory,
            settings,
            syncs: SyncRecord::default(),
        }
    }

    /// Opens the file, or creates it if there is none.
    pub(crate) fn open_or_create(&self) -> Result<Database, StoreError> {
        catch_panic(|| match self.directory.length(DATA_FILE)? {
            Some(length) if length > 0 => self.open_existing(length),
            _ => self.create(),
        })
    }

    /// Writes the file's own bytes to it again, and syncs it. After a failed sync the operating
    /// system may treat pages as clean that never reached the disk; rewritten pages are covered by
    /// the next sync.
    pub(crate) fn rewrite(&self) -> Result<(), StoreError> {
        let Some(length) = self.directory.length(DATA_FILE)? else {
            return Ok(());
        };
        let file = self.directory.open(DATA_FILE)?;
        let mut offset = 0;
        while offset < length {
            let bytes = REWRITE_BYTES.min(length - offset);
            file.write(offset, &file.read(offset, bytes as usize)?)?;
            offset += bytes;
        }
        self.syncs.sync(file.as_ref())?;
        self.syncs.clear_failure();
        Ok(())
    }

    /// How long the slowest sync of the file took.
    pub(crate) fn slowest_sync(&self) -> Duration {
        self.syncs.slowest()
    }

    /// Rewrites the file if a sync of it has failed since it was opened or rewritten.
    pub(crate) fn rewrite_after_failed_sync(&self) -> Result<(), StoreError> {
        if self.syncs.has_failure() {
            self.rewrite()?;
        }
        Ok(())
    }

    /// Creates a database under a temporary name, and renames it after its first commit.
    fn create(&self) -> Result<Database, StoreError> {
        if self.directory.length(NEW_FILE)?.is_some() {
            self.directory.remove(NEW_FILE)?;
        }
        let database = self.open_database(self.directory.open(NEW_FILE)?)?;
        row_writer::commit(&database, &[], FIRST_SEQUENCE)?;
        self.directory.rename(NEW_FILE, DATA_FILE)?;
        self.directory.sync()?;
        Ok(database)
    }

    fn open_existing(&self, length: u64) -> Result<Database, StoreError> {
        // The process that created the file may have died after renaming it and before syncing the
        // directory.
        self.directory.sync()?;
        let mut database = self.open_or_lengthen(length)?;
        if length > self.settings.compact_above_bytes {
            database.compact().map_err(StoreError::from_redb)?;
        }
        Ok(database)
    }

    /// Opens the file. `redb` rejects a file that is shorter than its header says. A header that
    /// was torn while the file was about to be shortened can cause that. `redb` accepts a longer
    /// file, and computes its layout from the length.
    fn open_or_lengthen(&self, length: u64) -> Result<Database, StoreError> {
        let open = || catch_panic(|| self.open_database(self.directory.open(DATA_FILE)?));
        let result = open();
        if !matches!(result, Err(StoreError::Damaged { .. })) {
            return result;
        }
        let file = self.growth_synced(self.directory.open(DATA_FILE)?);
        file.set_len(length + TORN_LENGTH_BYTES)?;
        open().or_else(|_| {
            file.set_len(length)?;
            result
        })
    }

    fn open_database(&self, file: Box<dyn StorageBackend>) -> Result<Database, StoreError> {
        Builder::new()
            .set_cache_size(self.settings.cache_bytes)
            // The newer format keeps no allocator state outside of commits, so nothing but commits
            // can be torn.
            .create_with_file_format_v3(true)
            .create_with_backend(self.growth_synced(file))
            .map_err(StoreError::from_redb)
    }

    fn growth_synced(&self, file: Box<dyn StorageBackend>) -> GrowthSyncedFile {
        GrowthSyncedFile::new(file, self.syncs.clone())
    }
}
