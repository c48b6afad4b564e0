//! A simulated disk: what was not synced may be lost, torn or left in any order by a crash; calls fail when told to.

// Each test file uses some of it.
#![allow(dead_code)]

use lupinrack_write_back::{Disk, DiskError, SegmentId};
use std::collections::BTreeMap;

/// The pieces in which a real disk writes.
const SECTOR: usize = 512;

/// A disk in memory.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    files: BTreeMap<SegmentId, SimFile>,
    /// Calls of `sync` from now until one fails; none: all go well.
    pub fail_sync_in: Option<u32>,
    /// Bytes that still fit; none: no end.
    pub free_bytes: Option<usize>,
    /// Syncs made.
    pub syncs: u64,
}

#[derive(Clone, Debug, Default)]
struct SimFile {
    bytes: Vec<u8>,
    /// So many of them last.
    lasting: usize,
}

impl SimDisk {
    /// One whose sync fails after this many that go well.
    pub fn failing_after(syncs: u32) -> SimDisk {
        SimDisk {
            fail_sync_in: Some(syncs),
            ..SimDisk::default()
        }
    }

    /// One with free_bytes for this many bytes.
    pub fn with_capacity(bytes: usize) -> SimDisk {
        SimDisk {
            free_bytes: Some(bytes),
            ..SimDisk::default()
        }
    }

    /// What a crash leaves. Each sector that was not synced is there, or is zeros, or holds noise; a file ends anywhere
    /// between what lasts and what was written.
    pub fn crash(&mut self, dice: &mut fastrand::Rng) {
        for file in self.files.values_mut() {
            let end = dice.usize(file.lasting..=file.bytes.len());
            file.bytes.truncate(end);
            let mut at = file.lasting;
            while at < end {
                let next = ((at / SECTOR + 1) * SECTOR).min(end);
                match dice.u32(0..4) {
                    0 => file.bytes[at..next].fill(0),
                    1 => file.bytes[at..next]
                        .iter_mut()
                        .for_each(|b| *b = dice.u8(..)),
                    _ => {}
                }
                at = next;
            }
            file.lasting = end;
        }
        (self.fail_sync_in, self.free_bytes) = (None, None);
    }

    /// Alters one byte of a segment, as a failing medium does.
    pub fn damage(&mut self, segment: SegmentId, at: usize) {
        if let Some(byte) = self
            .files
            .get_mut(&segment)
            .and_then(|f| f.bytes.get_mut(at))
        {
            *byte ^= 0x55;
        }
    }

    /// How long a segment is.
    pub fn length(&self, segment: SegmentId) -> usize {
        self.files.get(&segment).map_or(0, |f| f.bytes.len())
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
        let fits = self
            .free_bytes
            .map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        self.free_bytes = self.free_bytes.map(|free_bytes| free_bytes - fits);
        self.file(segment)?.bytes.extend(&bytes[..fits]);
        if fits < bytes.len() {
            Err(DiskError::Full)
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.syncs += 1;
        if let Some(left) = &mut self.fail_sync_in {
            if *left == 0 {
                return Err(DiskError::Failed("a sync that failed".into()));
            }
            *left -= 1;
        }
        let file = self.file(segment)?;
        file.lasting = file.bytes.len();
        Ok(())
    }

    fn read(&mut self, segment: SegmentId) -> Result<Vec<u8>, DiskError> {
        Ok(self.file(segment)?.bytes.clone())
    }

    fn truncate(&mut self, segment: SegmentId, length: u64) -> Result<(), DiskError> {
        let file = self.file(segment)?;
        file.bytes.truncate(length as usize);
        file.lasting = file.bytes.len();
        Ok(())
    }

    fn remove(&mut self, segment: SegmentId) -> Result<(), DiskError> {
        self.files.remove(&segment);
        Ok(())
    }
}
