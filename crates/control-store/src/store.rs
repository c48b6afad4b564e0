//! The store itself: opening, committing, and opening again after an error.

use crate::batch::Batch;
use crate::data_file::DataFile;
use crate::directory::{Directory, DiskDirectory};
use crate::error::StoreError;
use crate::log_bounds::LogBounds;
use crate::panic_guard::catch_panic;
use crate::recovered::Recovered;
use crate::row_reader::RowReader;
use crate::row_writer;
use crate::settings::StoreSettings;
use lupinrack_cluster_api::identity::DiskId;
use redb::Database;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The durable state of a core process.
///
/// Invariant: `bounds` and `sequence` describe the newest commit that is known to be on the disk.
#[derive(Debug)]
pub struct ControlStore {
    file: DataFile,
    /// None after an error, until the store is opened again.
    database: Option<Database>,
    /// Which indices the log covers.
    bounds: LogBounds,
    /// The sequence number of the commit.
    sequence: u64,
    /// The bounds after a failed commit, if it is unknown whether that commit reached the disk.
    uncertain_commit: Option<LogBounds>,
    /// How long the slowest sync took while the store was opened.
    opening_sync: Duration,
}

/// Whether a failed commit is on the disk nevertheless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedCommit {
    /// It is on the disk, and must not be repeated.
    Durable,
    /// It is not on the disk, or no commit had failed.
    NotApplied,
}

impl ControlStore {
    /// Opens the store in a directory that exists, or creates one if there is none.
    ///
    /// # Errors
    ///
    /// If the disk fails or is full, or the data file is damaged. A damaged file is not changed.
    pub fn open(
        path: &Path,
        settings: StoreSettings,
    ) -> Result<(ControlStore, Recovered), StoreError> {
        ControlStore::open_in(Arc::new(DiskDirectory::new(path)), settings)
    }

    /// Like [`ControlStore::open`], in any kind of directory.
    ///
    /// # Errors
    ///
    /// As for [`ControlStore::open`].
    pub fn open_in(
        directory: Arc<dyn Directory>,
        settings: StoreSettings,
    ) -> Result<(ControlStore, Recovered), StoreError> {
        let file = DataFile::new(directory, settings);
        // Whether a sync failed in an earlier process is unknown.
        file.rewrite()?;
        let database = file.open_or_create()?;
        let (recovered, header) = catch_panic(|| {
            let rows = RowReader::new(&database)?;
            Ok((rows.recovered()?, rows.commit_header()?))
        })?;
        let store = ControlStore {
            opening_sync: file.slowest_sync(),
            file,
            database: Some(database),
            bounds: recovered.bounds(),
            sequence: header.sequence,
            uncertain_commit: None,
        };
        Ok((store, recovered))
    }

    /// Returns the identity of the disk. An empty disk gets the identity `drawn`, which is synced
    /// when this returns. Other processes must not receive the identity earlier, since they rely on
    /// the disk once they know it.
    ///
    /// # Errors
    ///
    /// If the identity cannot be written.
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

    /// How long the slowest sync took while the store was opened.
    pub fn opening_sync(&self) -> Duration {
        self.opening_sync
    }

    /// Which indices the log covers.
    pub fn bounds(&self) -> LogBounds {
        self.bounds
    }

    /// Applies a batch; it is synced when this returns without an error.
    ///
    /// # Errors
    ///
    /// As for [`ControlStore::commit_all`].
    pub fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.commit_all(&[batch])
    }

    /// Applies batches in their order, all of them or none, with one sync.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidBatch`] if one of them does not fit the log; then nothing was changed.
    /// After any other error it is unknown whether they were applied, and the store stays closed
    /// until [`ControlStore::reopen`].
    pub fn commit_all(&mut self, batches: &[&Batch]) -> Result<(), StoreError> {
        let database = self.database.as_ref().ok_or(StoreError::Closed)?;
        let bounds = batches
            .iter()
            .try_fold(self.bounds, |bounds, batch| bounds.after(batch))?;
        let sequence = self.sequence + 1;
        match catch_panic(|| row_writer::commit(database, batches, sequence)) {
            Ok(()) => {
                self.bounds = bounds;
                self.sequence = sequence;
                Ok(())
            }
            Err(error) => {
                self.uncertain_commit = Some(bounds);
                self.close();
                Err(error)
            }
        }
    }

    /// Opens the store again after an error, and finds out whether the failed commit is on the
    /// disk.
    ///
    /// # Errors
    ///
    /// If the disk still fails, or the data file holds neither the commit before the failed one nor
    /// the failed one.
    pub fn reopen(&mut self) -> Result<FailedCommit, StoreError> {
        self.close();
        self.file.rewrite_after_failed_sync()?;
        let database = self.file.open_or_create()?;
        let header = catch_panic(|| RowReader::new(&database)?.commit_header())?;
        let failed_commit = self.resolve_uncertain_commit(header.sequence)?;
        self.database = Some(database);
        Ok(failed_commit)
    }

    /// Compares the sequence number in the file with the one before the failed commit.
    fn resolve_uncertain_commit(&mut self, found: u64) -> Result<FailedCommit, StoreError> {
        if found == self.sequence {
            self.uncertain_commit = None;
            return Ok(FailedCommit::NotApplied);
        }
        let expected = self.sequence;
        match self.uncertain_commit.take_if(|_| found == expected + 1) {
            Some(bounds) => {
                self.bounds = bounds;
                self.sequence = found;
                Ok(FailedCommit::Durable)
            }
            None => Err(StoreError::damaged(&format!(
                "commit {found} in place of {expected}"
            ))),
        }
    }

    /// Closes the database. `redb` writes nothing more after an error.
    fn close(&mut self) {
        let database = self.database.take();
        // A panic during the close has the same cause as the error that was already returned.
        let _ = catch_panic(|| {
            drop(database);
            Ok(())
        });
    }
}
