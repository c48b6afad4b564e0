//! The store itself: opening, committing, opening again after an error.

use crate::batch::{Batch, LogBounds};
use crate::directory::{Folder, Medium};
use crate::error::{damaged, of_redb, StoreError};
use crate::growth_synced_file::{GrowthSynced, SyncFailure};
use crate::row_writer as rows;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;
use redb::{Builder, Database, StorageBackend};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::Arc;

/// The file's name in its folder.
pub const DATA_FILE: &str = "data.redb";
/// The name under which a file is made, before it has a commit.
pub const NEW_FILE: &str = "data.redb.new";
/// How much longer than it is a file may be by a header that was torn within the number of its pages: that number has
/// less than three bytes and pages have 4 KiB, so the lower byte can be up to 255 pages off.
const TORN_LENGTH_BYTES: u64 = 256 * 4096;
/// Bytes that are rewritten at a time after an error.
const REWRITE_BYTES: u64 = 64 * 1024;

/// Settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Bytes of memory for pages.
    pub cache_bytes: usize,
    /// A file longer than this is compacted when it is opened.
    pub compact_above_bytes: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            cache_bytes: 2 * 1024 * 1024,
            compact_above_bytes: 32 * 1024 * 1024,
        }
    }
}

/// What was found on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The identity of the disk; none where it is empty.
    pub disk: Option<DiskId>,
    /// The vote; empty for none.
    pub vote: Vec<u8>,
    /// The newest agreed view; empty for none.
    pub view: Vec<u8>,
    /// What the log is worth in that view; empty for none.
    pub replica_status: Vec<u8>,
    /// The index that the snapshot covers; 0 for none.
    pub snapshot_index: u64,
    /// The snapshot; empty for none.
    pub snapshot: Vec<u8>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// The last index that was known to be committed, if that was written.
    pub committed: u64,
}

/// A commit of which it is not known whether it reached the disk.
#[derive(Clone, Copy, Debug)]
struct Unsettled {
    bounds: LogBounds,
}

/// The state of a core process on its disk.
#[derive(Debug)]
pub struct ControlStore {
    medium: Arc<dyn Medium>,
    settings: StoreSettings,
    /// None after an error, until it is opened again.
    database: Option<Database>,
    bounds: LogBounds,
    sequence: u64,
    unsettled: Option<Unsettled>,
    sync_failure: SyncFailure,
}

impl ControlStore {
    /// Opens the store in a folder, or makes one where there is none.
    pub fn open(
        folder: &Path,
        settings: StoreSettings,
    ) -> Result<(ControlStore, Recovered), StoreError> {
        ControlStore::open_on(Arc::new(Folder::new(folder)), settings)
    }

    /// Opens the store on this medium, or makes one where there is none.
    pub fn open_on(
        medium: Arc<dyn Medium>,
        settings: StoreSettings,
    ) -> Result<(ControlStore, Recovered), StoreError> {
        let sync_failure = SyncFailure::default();
        // Whether a sync of an earlier process failed is not known.
        rewrite(&*medium, &sync_failure)?;
        let database = guarded(|| open_or_make(&*medium, settings, &sync_failure))?;
        let (recovered, tail) = guarded(|| rows::read(&database))?;
        let store = ControlStore {
            medium,
            settings,
            database: Some(database),
            bounds: rows::bounds(&recovered),
            sequence: tail.sequence,
            unsettled: None,
            sync_failure,
        };
        Ok((store, recovered))
    }

    /// The identity of the disk; an empty disk is given the one that was drawn, which is on the disk when this returns. Only
    /// then may others hear it: they may count on the disk from then on.
    ///
    /// # Errors
    ///
    /// Where the disk does not take it.
    pub fn identify(
        &mut self,
        recovered: &mut Recovered,
        drawn: DiskId,
    ) -> Result<DiskId, StoreError> {
        if let Some(disk) = recovered.disk {
            return Ok(disk);
        }
        self.commit(&Batch {
            disk: Some(drawn),
            ..Batch::default()
        })?;
        recovered.disk = Some(drawn);
        Ok(drawn)
    }

    /// Which indices the log holds.
    pub fn bounds(&self) -> LogBounds {
        self.bounds
    }

    /// Applies a batch; it is synced when this returns without an error.
    pub fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.commit_all(&[batch])
    }

    /// Applies batches in their order, all of them or none, by one sync.
    ///
    /// After any error but [`StoreError::Misfit`], which changes nothing, it is not known whether they were applied, and
    /// the store stays closed until [`ControlStore::reopen`].
    pub fn commit_all(&mut self, batches: &[&Batch]) -> Result<(), StoreError> {
        let database = self.database.as_ref().ok_or(StoreError::Closed)?;
        let bounds = batches
            .iter()
            .try_fold(self.bounds, |bounds, batch| bounds.after(batch))?;
        let sequence = self.sequence + 1;
        match guarded(|| write(database, batches, sequence)) {
            Ok(()) => {
                self.bounds = bounds;
                self.sequence = sequence;
                Ok(())
            }
            Err(error) => {
                self.unsettled = Some(Unsettled { bounds });
                self.close();
                Err(error)
            }
        }
    }

    /// Opens the store again after an error; tells whether the commit that failed holds nevertheless.
    pub fn reopen(&mut self) -> Result<bool, StoreError> {
        self.close();
        if self.sync_failure.is_noted() {
            rewrite(&*self.medium, &self.sync_failure)?;
        }
        let database = guarded(|| open_or_make(&*self.medium, self.settings, &self.sync_failure))?;
        let found = guarded(|| rows::read_tail(&database))?.sequence;
        let holds = self.settle(found)?;
        self.database = Some(database);
        Ok(holds)
    }

    /// Compares the number of commits that was found with what is known.
    fn settle(&mut self, found: u64) -> Result<bool, StoreError> {
        let unsettled = self.unsettled.filter(|_| found == self.sequence + 1);
        if unsettled.is_none() && found != self.sequence {
            return Err(damaged(
                DATA_FILE,
                format!("commit {found} in place of {}", self.sequence),
            ));
        }
        if let Some(Unsettled { bounds }) = unsettled {
            self.bounds = bounds;
            self.sequence = found;
        }
        self.unsettled = None;
        Ok(unsettled.is_some())
    }

    /// Closes the database. `redb` writes nothing more after an error.
    fn close(&mut self) {
        let database = self.database.take();
        let _ = guarded(|| {
            drop(database);
            Ok(())
        });
    }
}

/// Calls into `redb`, which panics where a file contradicts itself.
fn guarded<T>(call: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|panic| {
        let reason = panic.downcast_ref::<String>().map(String::as_str);
        let reason = reason
            .or(panic.downcast_ref::<&str>().copied())
            .unwrap_or("it contradicts itself");
        Err(damaged(DATA_FILE, reason))
    })
}

fn write(database: &Database, batches: &[&Batch], sequence: u64) -> Result<(), StoreError> {
    let transaction = database
        .begin_write()
        .map_err(|error| of_redb(DATA_FILE, error))?;
    rows::write(&transaction, batches, sequence)?;
    transaction
        .commit()
        .map_err(|error| of_redb(DATA_FILE, error))
}

fn open_or_make(
    medium: &dyn Medium,
    settings: StoreSettings,
    failure: &SyncFailure,
) -> Result<Database, StoreError> {
    match medium.length(DATA_FILE)? {
        Some(length) if length > 0 => open_existing(medium, settings, length, failure),
        _ => make(medium, settings, failure),
    }
}

fn open_existing(
    medium: &dyn Medium,
    settings: StoreSettings,
    length: u64,
    failure: &SyncFailure,
) -> Result<Database, StoreError> {
    // Whoever made the file may have died between its renaming and the sync of the folder.
    medium.sync()?;
    let mut database = open_or_lengthen(medium, settings, length, failure)?;
    if length > settings.compact_above_bytes {
        database
            .compact()
            .map_err(|error| of_redb(DATA_FILE, error))?;
    }
    Ok(database)
}

/// Opens the file. `redb` refuses one that is shorter than its header says, which a header torn while the file was about
/// to be shortened may do; a longer one it takes, and reckons its parts from its length.
fn open_or_lengthen(
    medium: &dyn Medium,
    settings: StoreSettings,
    length: u64,
    failure: &SyncFailure,
) -> Result<Database, StoreError> {
    let open = || guarded(|| open_database(medium.open(DATA_FILE)?, settings, failure));
    let result = open();
    if !matches!(result, Err(StoreError::Damaged { .. })) {
        return result;
    }
    let file = GrowthSynced::new(medium.open(DATA_FILE)?, failure.clone());
    file.set_len(length + TORN_LENGTH_BYTES)?;
    open().or_else(|_| {
        file.set_len(length)?;
        result
    })
}

/// Makes a database with one commit, and only then gives it its name.
fn make(
    medium: &dyn Medium,
    settings: StoreSettings,
    failure: &SyncFailure,
) -> Result<Database, StoreError> {
    if medium.length(NEW_FILE)?.is_some() {
        medium.remove(NEW_FILE)?;
    }
    let database = open_database(medium.open(NEW_FILE)?, settings, failure)?;
    write(&database, &[], 0)?;
    medium.rename(NEW_FILE, DATA_FILE)?;
    medium.sync()?;
    Ok(database)
}

fn open_database(
    file: Box<dyn StorageBackend>,
    settings: StoreSettings,
    failure: &SyncFailure,
) -> Result<Database, StoreError> {
    Builder::new()
        .set_cache_size(settings.cache_bytes)
        // The newer format keeps no allocator state outside of commits, so nothing but commits can be torn.
        .create_with_file_format_v3(true)
        .create_with_backend(GrowthSynced::new(file, failure.clone()))
        .map_err(|error| of_redb(DATA_FILE, error))
}

/// Writes the file's own bytes to it again. After a sync that failed, a system may take pages as clean that never
/// reached the disk; written again, the next sync covers them.
fn rewrite(medium: &dyn Medium, failure: &SyncFailure) -> Result<(), StoreError> {
    let Some(length) = medium.length(DATA_FILE)? else {
        return Ok(());
    };
    let file = medium.open(DATA_FILE)?;
    let mut offset = 0;
    while offset < length {
        let bytes = REWRITE_BYTES.min(length - offset);
        file.write(offset, &file.read(offset, bytes as usize)?)?;
        offset += bytes;
    }
    file.sync_data(false)?;
    failure.mended();
    Ok(())
}
