//! Where files live: a folder on a disk, or a simulated disk.

use crate::growth_synced_file::DiskFile;
use redb::StorageBackend;
use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// A flat folder of files.
pub trait Medium: Debug + Send + Sync + 'static {
    /// The length of a file; none where there is no such file.
    fn length(&self, name: &str) -> io::Result<Option<u64>>;
    /// Opens a file for reading and writing, and creates it where there is none.
    fn open(&self, name: &str) -> io::Result<Box<dyn StorageBackend>>;
    /// Renames a file, over one that has the name. Open files stay open.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes renames and removals last.
    fn sync(&self) -> io::Result<()>;
}

/// A folder on a real disk, which has to exist.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// The folder at this path.
    pub fn new(path: &Path) -> Self {
        Folder(path.to_owned())
    }
}

impl Medium for Folder {
    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        match fs::metadata(self.0.join(name)) {
            Ok(facts) => Ok(Some(facts.len())),
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
