//! A disk in memory that loses power and fails on demand, for tests.
//!
//! After a loss of power a file holds what its last sync covered; each later write is there, missing or torn, and in one
//! case of four all of them are missing. A new file lasts once it is synced, a rename or a removal once the folder is; before
//! that each name for itself may be as it was or as it is.

mod file_state;

use crate::directory::Medium;
use file_state::{Change, FileState, Random};
use redb::StorageBackend;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a disk was asked to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounters {
    /// Syncs of files.
    pub syncs: u64,
    /// Writes.
    pub writes: u64,
    /// Bytes written.
    pub written_bytes: u64,
    /// Bytes read.
    pub read_bytes: u64,
    /// Times that a file's length was set.
    pub resizes: u64,
}

/// A disk in memory; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<Disk>>);

type FileNumber = u64;

#[derive(Debug, Default)]
struct Disk {
    files: BTreeMap<FileNumber, FileState>,
    names: BTreeMap<String, FileNumber>,
    synced_names: BTreeMap<String, FileNumber>,
    next_file: FileNumber,
    /// Rises with each loss of power; files opened before are dead.
    incarnation: u64,
    /// After so many further changes the power is lost.
    changes_left: Option<u64>,
    failing: Option<Failing>,
    /// Bytes that all files together may have; none for any number.
    capacity: Option<usize>,
    counters: DiskCounters,
}

/// Changes that fail.
#[derive(Clone, Copy, Debug)]
struct Failing {
    kind: io::ErrorKind,
    /// Changes that succeed before.
    after: u64,
    /// Changes that fail then; none for all.
    count: Option<u64>,
}

impl SimulatedDisk {
    /// An empty disk.
    pub fn new() -> Self {
        SimulatedDisk::default()
    }

    /// What it was asked to do so far.
    pub fn counters(&self) -> DiskCounters {
        self.lock().counters
    }

    /// Loses power after so many further changes (writes, lengths, syncs, renames, removals).
    pub fn lose_power_after(&self, changes: u64) {
        self.lock().changes_left = Some(changes);
    }

    /// Whether the power is lost.
    pub fn is_without_power(&self) -> bool {
        self.lock().has_lost_power()
    }

    /// Loses power now, and returns it; `seed` decides what became of changes that were not synced.
    pub fn cycle_power(&self, seed: u64) {
        self.lock().cycle_power(&mut Random(seed));
    }

    /// Takes a loss of power for the death of the process alone: files opened before are dead, and everything that was
    /// written is read as before, synced or not.
    pub fn restart_process(&self) {
        let mut disk = self.lock();
        disk.incarnation += 1;
        disk.changes_left = None;
        disk.failing = None;
    }

    /// After so many further changes, lets some of them fail, or all.
    pub fn fail_after(&self, after: u64, count: Option<u64>, kind: io::ErrorKind) {
        self.lock().failing = Some(Failing { kind, after, count });
    }

    /// Lets no further change fail.
    pub fn heal(&self) {
        self.lock().failing = None;
    }

    /// From now on there is room for so many bytes in all files together; none for any number.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.lock().capacity = bytes;
    }

    /// A file's bytes; none where there is no such file.
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let disk = self.lock();
        let number = disk.names.get(name)?;
        disk.files.get(number).map(|file| file.bytes.clone())
    }

    /// Puts a file there, synced.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut disk = self.lock();
        let number = disk.create(name);
        disk.synced_names.insert(name.to_owned(), number);
        let file = disk.files.entry(number).or_default();
        file.synced = bytes.clone();
        file.bytes = bytes;
    }

    fn lock(&self) -> MutexGuard<'_, Disk> {
        // A test that failed elsewhere may have poisoned it.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk {
    fn create(&mut self, name: &str) -> FileNumber {
        self.next_file += 1;
        self.names.insert(name.to_owned(), self.next_file);
        let file = FileState {
            created_as: name.to_owned(),
            ..FileState::default()
        };
        self.files.insert(self.next_file, file);
        self.next_file
    }

    fn has_lost_power(&self) -> bool {
        self.changes_left == Some(0)
    }

    /// Checks that a change may be made.
    fn change(&mut self) -> io::Result<()> {
        match &mut self.changes_left {
            Some(0) => return Err(io::Error::other("no power")),
            Some(left) => *left -= 1,
            None => {}
        }
        if self.has_lost_power() {
            return Err(io::Error::other("no power"));
        }
        self.failing.as_mut().map_or(Ok(()), Failing::change)
    }

    fn cycle_power(&mut self, random: &mut Random) {
        self.incarnation += 1;
        self.changes_left = None;
        self.failing = None;
        self.lose_names(random);
        let kept: Vec<FileNumber> = self.names.values().copied().collect();
        self.files.retain(|number, _| kept.contains(number));
        for file in self.files.values_mut() {
            file.lose_power(random);
        }
    }

    /// Each name is as it was when the folder was synced, or as it is.
    fn lose_names(&mut self, random: &mut Random) {
        let changed: BTreeSet<String> = self
            .names
            .keys()
            .chain(self.synced_names.keys())
            .cloned()
            .collect();
        for name in changed {
            if random.below(2) == 0 {
                match self.synced_names.get(&name) {
                    Some(number) => self.names.insert(name, *number),
                    None => self.names.remove(&name),
                };
            }
        }
        self.synced_names = self.names.clone();
    }

    /// Checks that there is room for a file of this length.
    fn make_room(&self, number: FileNumber, length: usize) -> io::Result<()> {
        let others: usize = self
            .files
            .iter()
            .filter(|(other, _)| **other != number)
            .map(|(_, file)| file.bytes.len())
            .sum();
        match self.capacity {
            Some(capacity) if others + length > capacity => Err(io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }

    /// The file of a handle opened in this life.
    fn file(&mut self, handle: &Handle) -> io::Result<&mut FileState> {
        if handle.incarnation != self.incarnation {
            return Err(io::Error::other("opened before a loss of power"));
        }
        self.files
            .get_mut(&handle.number)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Failing {
    fn change(&mut self) -> io::Result<()> {
        if self.after > 0 {
            self.after -= 1;
            return Ok(());
        }
        match &mut self.count {
            Some(0) => return Ok(()),
            Some(left) => *left -= 1,
            None => {}
        }
        Err(self.kind.into())
    }
}

impl Medium for SimulatedDisk {
    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        Ok(self.contents(name).map(|bytes| bytes.len() as u64))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn StorageBackend>> {
        let mut disk = self.lock();
        let number = match disk.names.get(name) {
            Some(number) => *number,
            None => {
                disk.change()?;
                disk.create(name)
            }
        };
        Ok(Box::new(Handle {
            disk: self.clone(),
            incarnation: disk.incarnation,
            number,
        }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.lock();
        disk.change()?;
        let number = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), number);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut disk = self.lock();
        disk.change()?;
        disk.names
            .remove(name)
            .map(drop)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = self.lock();
        disk.change()?;
        disk.synced_names = disk.names.clone();
        Ok(())
    }
}

/// An open file.
#[derive(Debug)]
struct Handle {
    disk: SimulatedDisk,
    incarnation: u64,
    number: FileNumber,
}

impl Handle {
    fn make(&self, change: Change) -> io::Result<()> {
        let mut disk = self.disk.lock();
        disk.change()?;
        let length = disk.file(self)?.bytes.len();
        let longer = change.end().max(length);
        if longer > length {
            disk.make_room(self.number, longer)?;
        }
        disk.file(self)?.make(change);
        Ok(())
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk.lock().file(self)?.bytes.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut disk = self.disk.lock();
        disk.counters.read_bytes += len as u64;
        let from = offset as usize;
        let bytes = disk.file(self)?.bytes.get(from..from + len);
        bytes
            .map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.disk.lock().counters.resizes += 1;
        self.make(Change::SetLength(len as usize))
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut disk = self.disk.lock();
        disk.counters.syncs += 1;
        if let Err(error) = disk.change() {
            if !disk.has_lost_power() {
                disk.file(self)?.fail_to_sync();
            }
            return Err(error);
        }
        let file = disk.file(self)?;
        file.sync();
        let name = file.created_as.clone();
        // Its name lasts, unless it was renamed since.
        if disk.names.get(&name) == Some(&self.number) {
            disk.synced_names.insert(name, self.number);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.lock();
        disk.counters.writes += 1;
        disk.counters.written_bytes += data.len() as u64;
        drop(disk);
        self.make(Change::Write {
            offset: offset as usize,
            bytes: data.to_vec(),
        })
    }
}
