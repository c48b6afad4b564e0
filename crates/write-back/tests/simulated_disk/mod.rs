//! A simulated disk. A crash may lose, tear or reorder unsynced writes; syncs and appends fail as configured.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use lupinrack_write_back::{Disk, DiskError, SegmentId};
use std::collections::BTreeMap;

/// Unit in which a real disk writes.
const SECTOR_BYTES: usize = 512;

/// A disk in memory.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    files: BTreeMap<SegmentId, SimFile>,
    /// Number of successful syncs before the next one fails. `None`: no sync fails.
    pub fail_sync_in: Option<u32>,
    /// Free space in bytes. `None`: unlimited.
    pub free_bytes: Option<usize>,
    /// Number of syncs so far.
    pub syncs: u64,
}

#[derive(Clone, Debug, Default)]
struct SimFile {
    bytes: Vec<u8>,
    /// Length of the synced prefix.
    synced_bytes: usize,
}

impl SimDisk {
    /// A disk whose syncs fail after this many successful ones.
    pub fn failing_after(syncs: u32) -> SimDisk {
        SimDisk {
            fail_sync_in: Some(syncs),
            ..SimDisk::default()
        }
    }

    /// A disk with space for this many bytes.
    pub fn with_capacity(bytes: usize) -> SimDisk {
        SimDisk {
            free_bytes: Some(bytes),
            ..SimDisk::default()
        }
    }

    /// Simulates a crash. Each unsynced sector is kept, zeroed or filled with noise, and each file is truncated anywhere between
    /// its synced and its written length.
    pub fn crash(&mut self, random: &mut fastrand::Rng) {
        for file in self.files.values_mut() {
            let end = random.usize(file.synced_bytes..=file.bytes.len());
            file.bytes.truncate(end);
            let mut offset = file.synced_bytes;
            while offset < end {
                let next = ((offset / SECTOR_BYTES + 1) * SECTOR_BYTES).min(end);
                match random.u32(0..4) {
                    0 => file.bytes[offset..next].fill(0),
                    1 => file.bytes[offset..next]
                        .iter_mut()
                        .for_each(|byte| *byte = random.u8(..)),
                    _ => {}
                }
                offset = next;
            }
            file.synced_bytes = end;
        }
        (self.fail_sync_in, self.free_bytes) = (None, None);
    }

    /// Corrupts one byte of a segment, as a failing medium does.
    pub fn corrupt(&mut self, segment: SegmentId, offset: usize) {
        if let Some(byte) = self
            .files
            .get_mut(&segment)
            .and_then(|file| file.bytes.get_mut(offset))
        {
            *byte ^= 0x55;
        }
    }

    /// Length of a segment in bytes.
    pub fn length(&self, segment: SegmentId) -> usize {
        self.files.get(&segment).map_or(0, |file| file.bytes.len())
    }

    fn file(&mut self, segment: SegmentId) -> Result<&mut SimFile, DiskError> {
        self.files
            .get_mut(&segment)
            .ok_or_else(|| DiskError::Failed("no such segment".into()))
    }
}

impl Disk for SimDisk {
    fn list(&mut self) -> Result<Vec<SegmentId>, DiskError> {
        Ok(self.files.keys().copied().collect())
    }

    fn create(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.files.insert(segment, SimFile::default());
        Ok(())
    }

    fn append(&mut self, segment: SegmentId, bytes: &[u8]) -> Result<(), DiskError> {
        let appended_bytes = self
            .free_bytes
            .map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        self.free_bytes = self
            .free_bytes
            .map(|free_bytes| free_bytes - appended_bytes);
        self.file(segment)?.bytes.extend(&bytes[..appended_bytes]);
        if appended_bytes < bytes.len() {
            Err(DiskError::Full)
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.syncs += 1;
        if let Some(remaining) = &mut self.fail_sync_in {
            if *remaining == 0 {
                return Err(DiskError::Failed("injected sync failure".into()));
            }
            *remaining -= 1;
        }
        let file = self.file(segment)?;
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn read(&mut self, segment: SegmentId) -> Result<Vec<u8>, DiskError> {
        Ok(self.file(segment)?.bytes.clone())
    }

    fn truncate(&mut self, segment: SegmentId, length: u64) -> Result<(), DiskError> {
        let file = self.file(segment)?;
        file.bytes.truncate(length as usize);
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn remove(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.files.remove(&segment);
        Ok(())
    }
}
