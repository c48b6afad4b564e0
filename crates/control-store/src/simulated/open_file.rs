//! A handle of an open file on a simulated disk.

use super::disk_state::{FileNumber, SharedDisk};
use super::file_state::FileChange;
use redb::StorageBackend;
use std::io;

/// An open file. It becomes unusable when the disk loses power.
#[derive(Debug)]
pub(super) struct OpenFile {
    disk: SharedDisk,
    number: FileNumber,
    /// The disk's generation in which it was opened.
    generation: u64,
}

impl OpenFile {
    /// Opens the file of this name, or creates it.
    pub(super) fn open(disk: SharedDisk, name: &str) -> io::Result<Self> {
        let (number, generation) = {
            let mut state = disk.lock();
            (state.find_or_create(name)?, state.generation)
        };
        Ok(Self {
            disk,
            number,
            generation,
        })
    }
}

impl StorageBackend for OpenFile {
    fn len(&self) -> io::Result<u64> {
        let mut disk = self.disk.lock();
        Ok(disk.file(self.number, self.generation)?.bytes().len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut disk = self.disk.lock();
        disk.counters.read_bytes += len as u64;
        let from = offset as usize;
        let bytes = disk
            .file(self.number, self.generation)?
            .bytes()
            .get(from..from + len);
        bytes
            .map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.disk.lock();
        disk.counters.resizes += 1;
        disk.change_file(
            self.number,
            self.generation,
            FileChange::SetLength(len as usize),
        )
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        self.disk.lock().sync_file(self.number, self.generation)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.lock();
        disk.counters.writes += 1;
        disk.counters.written_bytes += data.len() as u64;
        let change = FileChange::Write {
            offset: offset as usize,
            bytes: data.to_vec(),
        };
        disk.change_file(self.number, self.generation, change)
    }
}
