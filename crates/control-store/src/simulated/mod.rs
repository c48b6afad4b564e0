//! A disk in memory that loses power and fails on demand, for tests and simulations.
//!
//! After a loss of power a file contains what its last sync covered; each later write is present,
//! missing or torn, and in one case of four all of them are missing. A new file is durable once it
//! is synced, a rename or a removal once the directory is synced. Before that, each name may have
//! its old or its new state, independently of the other names.

mod disk_state;
mod file_state;
mod injected_faults;
mod open_file;
mod random;

use crate::directory::Directory;
use disk_state::{DiskState, SharedDisk};
use open_file::OpenFile;
use random::Random;
use redb::StorageBackend;
use std::io;
use std::sync::MutexGuard;

pub use disk_state::DiskCounters;

/// A disk in memory; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(SharedDisk);

impl SimulatedDisk {
    /// An empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts of the operations on the disk so far.
    pub fn counters(&self) -> DiskCounters {
        self.lock().counters
    }

    /// Loses power after this many further changes (writes, lengths, syncs, renames, removals).
    pub fn lose_power_after(&self, changes: u64) {
        self.lock().faults.lose_power_after(changes);
    }

    /// Whether the power is off.
    pub fn is_without_power(&self) -> bool {
        self.lock().faults.is_power_off()
    }

    /// Turns the power off and on again; `seed` decides which unsynced changes are kept.
    pub fn cycle_power(&self, seed: u64) {
        self.lock().cycle_power(&mut Random::new(seed));
    }

    /// Treats a loss of power as a crash of the process only: files opened before are unusable, but
    /// everything that was written can still be read, synced or not.
    pub fn restart_process(&self) {
        self.lock().close_all_files();
    }

    /// After this many further changes, lets `count` changes fail with this kind of error, or all
    /// further changes if `count` is none.
    pub fn fail_after(&self, after: u64, count: Option<u64>, kind: io::ErrorKind) {
        self.lock().faults.fail_after(after, count, kind);
    }

    /// Removes the injected errors.
    pub fn heal(&self) {
        self.lock().faults.heal();
    }

    /// Limits the total length of all files to this many bytes; none for no limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.lock().capacity = bytes;
    }

    /// A file's contents; none if there is no such file.
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        self.lock().contents(name).map(<[u8]>::to_vec)
    }

    /// Creates a file with synced contents.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        self.lock().put(name, bytes);
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock()
    }
}

impl Directory for SimulatedDisk {
    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        Ok(self.lock().contents(name).map(|bytes| bytes.len() as u64))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn StorageBackend>> {
        Ok(Box::new(OpenFile::open(self.0.clone(), name)?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.lock().rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.lock().remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        self.lock().sync_names()
    }
}
