//! A [`Disk`] in a directory of the file system, with a lock file against use by a second process.

use crate::disk::{Disk, DiskError, SegmentId};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A directory of segment files.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open_segments: HashMap<SegmentId, File>,
    /// Lock on the directory. The operating system releases it when the process ends, also after a crash.
    _lock: File,
}

/// Why a directory cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// Another process has it open.
    #[error("{0} is in use by another program")]
    InUse(String),
    /// It cannot be created, read or written.
    #[error("{0}: {1}")]
    Io(String, io::Error),
}

impl Folder {
    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// [`FolderError::InUse`] if another process has it open, and [`FolderError::Io`] otherwise.
    pub fn open(path: &Path) -> Result<Folder, FolderError> {
        let io_error = |error| FolderError::Io(path.display().to_string(), error);
        fs::create_dir_all(path).map_err(io_error)?;
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join("lock"));
        let lock = lock.map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder {
                path: path.to_path_buf(),
                open_segments: HashMap::new(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(FolderError::InUse(path.display().to_string())),
            Err(TryLockError::Error(error)) => Err(io_error(error)),
        }
    }

    fn segment_path(&self, segment: SegmentId) -> PathBuf {
        self.path.join(format!("{:016x}.log", segment.0))
    }

    fn open_file(&mut self, segment: SegmentId) -> io::Result<&mut File> {
        if !self.open_segments.contains_key(&segment) {
            let file = OpenOptions::new()
                .append(true)
                .open(self.segment_path(segment))?;
            self.open_segments.insert(segment, file);
        }
        self.open_segments
            .get_mut(&segment)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_directory(&self) -> io::Result<()> {
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
        let mut segments = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(disk_error)? {
            let name = entry.map_err(disk_error)?.file_name();
            let number = name.to_str().and_then(|name| name.strip_suffix(".log"));
            segments.extend(
                number
                    .and_then(|digits| u64::from_str_radix(digits, 16).ok())
                    .map(SegmentId),
            );
        }
        segments.sort_unstable();
        Ok(segments)
    }

    fn create(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        let file = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(self.segment_path(segment))
            .map_err(disk_error)?;
        self.open_segments.insert(segment, file);
        self.sync_directory().map_err(disk_error)
    }

    fn append(&mut self, segment: SegmentId, bytes: &[u8]) -> Result<(), DiskError> {
        self.open_file(segment)
            .and_then(|file| file.write_all(bytes))
            .map_err(disk_error)
    }

    fn sync(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.open_file(segment)
            .and_then(|file| file.sync_data())
            .map_err(disk_error)
    }

    fn read(&mut self, segment: SegmentId) -> Result<Vec<u8>, DiskError> {
        fs::read(self.segment_path(segment)).map_err(disk_error)
    }

    fn truncate(&mut self, segment: SegmentId, length: u64) -> Result<(), DiskError> {
        let file = OpenOptions::new()
            .write(true)
            .open(self.segment_path(segment))
            .map_err(disk_error)?;
        file.set_len(length)
            .and_then(|()| file.sync_all())
            .map_err(disk_error)
    }

    fn remove(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.open_segments.remove(&segment);
        fs::remove_file(self.segment_path(segment))
            .and_then(|()| self.sync_directory())
            .map_err(disk_error)
    }
}
