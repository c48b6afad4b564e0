//! A file on a real disk, as `redb` uses it.

use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// A file that is read and written at offsets and synced with `fdatasync`. It takes no lock: one
/// process uses a disk.
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
