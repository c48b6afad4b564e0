//! The state of a simulated disk: its files and their names.

use super::file_state::{FileChange, FileState};
use super::injected_faults::InjectedFaults;
use super::random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts of the operations on a disk.
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
    /// How often a file's length was set.
    pub resizes: u64,
}

/// The state of a disk that handles share.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedDisk(Arc<Mutex<DiskState>>);

impl SharedDisk {
    pub(super) fn lock(&self) -> MutexGuard<'_, DiskState> {
        // A test that failed elsewhere may have poisoned the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The number of a file, which keeps it when it is renamed.
pub(super) type FileNumber = u64;

#[derive(Debug, Default)]
pub(super) struct DiskState {
    files: BTreeMap<FileNumber, FileState>,
    names: BTreeMap<String, FileNumber>,
    /// The durable names.
    synced_names: BTreeMap<String, FileNumber>,
    last_file: FileNumber,
    /// Increases with each loss of power and each restart; files opened before are unusable.
    pub(super) generation: u64,
    pub(super) faults: InjectedFaults,
    /// The maximum total length of all files, in bytes; none for no limit.
    pub(super) capacity: Option<usize>,
    pub(super) counters: DiskCounters,
}

impl DiskState {
    pub(super) fn contents(&self, name: &str) -> Option<&[u8]> {
        let number = self.names.get(name)?;
        self.files.get(number).map(FileState::bytes)
    }

    /// Creates a file with synced contents, whatever faults are injected.
    pub(super) fn put(&mut self, name: &str, bytes: Vec<u8>) {
        let number = self.add(name, FileState::with_synced_contents(name, bytes));
        self.synced_names.insert(name.to_owned(), number);
    }

    /// The file of this name, created if there is none.
    pub(super) fn find_or_create(&mut self, name: &str) -> io::Result<FileNumber> {
        if let Some(number) = self.names.get(name) {
            return Ok(*number);
        }
        self.faults.check_change()?;
        Ok(self.add(name, FileState::created_as(name)))
    }

    fn add(&mut self, name: &str, file: FileState) -> FileNumber {
        self.last_file += 1;
        self.names.insert(name.to_owned(), self.last_file);
        self.files.insert(self.last_file, file);
        self.last_file
    }

    pub(super) fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.faults.check_change()?;
        let number = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), number);
        Ok(())
    }

    pub(super) fn remove(&mut self, name: &str) -> io::Result<()> {
        self.faults.check_change()?;
        self.names
            .remove(name)
            .map(drop)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    pub(super) fn sync_names(&mut self) -> io::Result<()> {
        self.faults.check_change()?;
        self.synced_names = self.names.clone();
        Ok(())
    }

    /// A file that was opened in this generation.
    pub(super) fn file(
        &mut self,
        number: FileNumber,
        generation: u64,
    ) -> io::Result<&mut FileState> {
        if generation != self.generation {
            return Err(io::Error::other("opened before a loss of power"));
        }
        self.files
            .get_mut(&number)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    pub(super) fn change_file(
        &mut self,
        number: FileNumber,
        generation: u64,
        change: FileChange,
    ) -> io::Result<()> {
        self.faults.check_change()?;
        let length = self.file(number, generation)?.bytes().len();
        if change.end() > length {
            self.check_capacity(number, change.end())?;
        }
        self.file(number, generation)?.change(change);
        Ok(())
    }

    pub(super) fn sync_file(&mut self, number: FileNumber, generation: u64) -> io::Result<()> {
        self.counters.syncs += 1;
        if let Err(error) = self.faults.check_change() {
            if !self.faults.is_power_off() {
                self.file(number, generation)?.fail_to_sync();
            }
            return Err(error);
        }
        let file = self.file(number, generation)?;
        file.sync();
        let name = file.created_as.clone();
        // The sync makes the name of a new file durable, unless it has been renamed since.
        if self.names.get(&name) == Some(&number) {
            self.synced_names.insert(name, number);
        }
        Ok(())
    }

    /// Checks that there is enough space for a file of this length.
    fn check_capacity(&self, number: FileNumber, length: usize) -> io::Result<()> {
        let others = self.files.iter().filter(|(other, _)| **other != number);
        let others: usize = others.map(|(_, file)| file.bytes().len()).sum();
        match self.capacity {
            Some(capacity) if others + length > capacity => Err(io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }

    /// Makes the files that are open unusable, and ends all faults.
    pub(super) fn close_all_files(&mut self) {
        self.generation += 1;
        self.faults = InjectedFaults::default();
    }

    pub(super) fn cycle_power(&mut self, random: &mut Random) {
        self.close_all_files();
        self.lose_names(random);
        let named: Vec<FileNumber> = self.names.values().copied().collect();
        self.files.retain(|number, _| named.contains(number));
        for file in self.files.values_mut() {
            file.lose_power(random);
        }
    }

    /// Resets each name to its state at the last sync of the directory, or keeps its current state.
    fn lose_names(&mut self, random: &mut Random) {
        let names = self.names.keys().chain(self.synced_names.keys());
        let names: BTreeSet<String> = names.cloned().collect();
        for name in names {
            if random.below(2) == 0 {
                match self.synced_names.get(&name) {
                    Some(number) => self.names.insert(name, *number),
                    None => self.names.remove(&name),
                };
            }
        }
        self.synced_names = self.names.clone();
    }
}
