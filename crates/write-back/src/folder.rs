//! A real folder as a [`Disk`], with a lock that keeps a second program out.

use crate::disk::{Disk, DiskError, SegmentId};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A folder of segment files.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: HashMap<SegmentId, File>,
    /// Held for as long as the folder is in use; the system gives it back when the program ends, however it does.
    _lock: File,
}

/// Why a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// Another program uses it.
    #[error("{0} is in use by another program")]
    InUse(String),
    /// It cannot be made, read or written.
    #[error("{0}: {1}")]
    Io(String, io::Error),
}

impl Folder {
    /// Opens a folder, making it where it is not there.
    ///
    /// # Errors
    ///
    /// [`FolderError::InUse`] where another program has it open, and [`FolderError::Io`] otherwise.
    pub fn open(path: &Path) -> Result<Folder, FolderError> {
        let named = |e| FolderError::Io(path.display().to_string(), e);
        fs::create_dir_all(path).map_err(named)?;
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join("lock"));
        let lock = lock.map_err(named)?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder {
                path: path.to_path_buf(),
                open: HashMap::new(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(FolderError::InUse(path.display().to_string())),
            Err(TryLockError::Error(e)) => Err(named(e)),
        }
    }

    fn name(&self, segment: SegmentId) -> PathBuf {
        self.path.join(format!("{:016x}.log", segment.0))
    }

    fn file(&mut self, segment: SegmentId) -> io::Result<&mut File> {
        if !self.open.contains_key(&segment) {
            let file = OpenOptions::new().append(true).open(self.name(segment))?;
            self.open.insert(segment, file);
        }
        self.open
            .get_mut(&segment)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "`map_err` passes errors by value"
)]
fn disk_error(error: io::Error) -> DiskError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => DiskError::Full,
        _ => DiskError::Failed(error.to_string()),
    }
}

impl Disk for Folder {
    fn list(&mut self) -> Result<Vec<SegmentId>, DiskError> {
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(disk_error)? {
            let name = entry.map_err(disk_error)?.file_name();
            let number = name.to_str().and_then(|n| n.strip_suffix(".log"));
            found.extend(
                number
                    .and_then(|n| u64::from_str_radix(n, 16).ok())
                    .map(SegmentId),
            );
        }
        found.sort_unstable();
        Ok(found)
    }

    fn create(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        let file = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(self.name(segment))
            .map_err(disk_error)?;
        self.open.insert(segment, file);
        self.sync_names().map_err(disk_error)
    }

    fn append(&mut self, segment: SegmentId, bytes: &[u8]) -> Result<(), DiskError> {
        self.file(segment)
            .and_then(|file| file.write_all(bytes))
            .map_err(disk_error)
    }

    fn sync(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.file(segment)
            .and_then(|file| file.sync_data())
            .map_err(disk_error)
    }

    fn read(&mut self, segment: SegmentId) -> Result<Vec<u8>, DiskError> {
        fs::read(self.name(segment)).map_err(disk_error)
    }

    fn truncate(&mut self, segment: SegmentId, length: u64) -> Result<(), DiskError> {
        let file = OpenOptions::new()
            .write(true)
            .open(self.name(segment))
            .map_err(disk_error)?;
        file.set_len(length)
            .and_then(|()| file.sync_all())
            .map_err(disk_error)
    }

    fn remove(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.open.remove(&segment);
        fs::remove_file(self.name(segment))
            .and_then(|()| self.sync_names())
            .map_err(disk_error)
    }
}
