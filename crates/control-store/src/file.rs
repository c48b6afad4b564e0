//! A file as `redb` uses it.

use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

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

/// A file whose growth is synced at once, since `redb` expects a file to be as long as its header says: the header must
/// not reach the disk before the length.
#[derive(Debug)]
pub(crate) struct GrowthSynced(pub(crate) Box<dyn StorageBackend>);

impl StorageBackend for GrowthSynced {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let grows = len > self.0.len()?;
        self.0.set_len(len)?;
        if grows {
            self.0.sync_data(false)?;
        }
        Ok(())
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}
