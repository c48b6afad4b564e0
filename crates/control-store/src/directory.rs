//! The directory of a store's files, on a real disk or on a [simulated](crate::simulated) one.

use crate::disk_file::DiskFile;
use redb::StorageBackend;
use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// A flat directory of files.
pub trait Directory: Debug + Send + Sync + 'static {
    /// The length of a file in bytes; none if there is no such file.
    ///
    /// # Errors
    ///
    /// If the directory cannot be read.
    fn length(&self, name: &str) -> io::Result<Option<u64>>;

    /// Opens a file for reading and writing, and creates it if there is none.
    ///
    /// # Errors
    ///
    /// If the file can be neither opened nor created.
    fn open(&self, name: &str) -> io::Result<Box<dyn StorageBackend>>;

    /// Renames a file, replacing one of that name. Open handles stay valid.
    ///
    /// # Errors
    ///
    /// If there is no file `from`, or the directory cannot be written.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// If there is no such file, or the directory cannot be written.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes renames and removals durable.
    ///
    /// # Errors
    ///
    /// If the disk fails; it is then unknown whether the renames and removals are durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory on a real disk. It must exist.
#[derive(Clone, Debug)]
pub struct DiskDirectory(PathBuf);

impl DiskDirectory {
    /// The directory at this path.
    pub fn new(path: &Path) -> Self {
        Self(path.to_owned())
    }
}

impl Directory for DiskDirectory {
    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        match fs::metadata(self.0.join(name)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn StorageBackend>> {
        let path = self.0.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        Ok(Box::new(DiskFile(file)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
