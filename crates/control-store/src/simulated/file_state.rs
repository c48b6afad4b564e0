//! A file of the simulated disk: its synced and unsynced changes, and its state after a loss of
//! power.

use super::random::Random;

/// Bytes of a sector, which reaches the disk completely or not at all when a write is torn.
const SECTOR_BYTES: usize = 512;

/// One of this many losses of power drops everything that was not synced.
const ALL_MISSING_ODDS: u64 = 4;

/// A change of a file.
#[derive(Clone, Debug)]
pub(super) enum FileChange {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

impl FileChange {
    /// The minimum length of the file after the change.
    pub(super) fn end(&self) -> usize {
        match self {
            FileChange::Write { offset, bytes } => offset + bytes.len(),
            FileChange::SetLength(length) => *length,
        }
    }

    fn apply(&self, file: &mut Vec<u8>) {
        match self {
            FileChange::SetLength(length) => file.resize(*length, 0),
            FileChange::Write { offset, bytes } => {
                let end = offset + bytes.len();
                if file.len() < end {
                    file.resize(end, 0);
                }
                file[*offset..end].copy_from_slice(bytes);
            }
        }
    }
}

/// A file.
#[derive(Debug, Default)]
pub(super) struct FileState {
    /// The name under which it was created.
    pub(super) created_as: String,
    /// The durable bytes.
    synced: Vec<u8>,
    /// The bytes that a read returns.
    bytes: Vec<u8>,
    /// The changes from `synced` to `bytes`.
    unsynced: Vec<FileChange>,
}

impl FileState {
    pub(super) fn created_as(name: &str) -> Self {
        Self {
            created_as: name.to_owned(),
            ..Self::default()
        }
    }

    pub(super) fn with_synced_contents(name: &str, bytes: Vec<u8>) -> Self {
        Self {
            synced: bytes.clone(),
            bytes,
            ..Self::created_as(name)
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn change(&mut self, change: FileChange) {
        change.apply(&mut self.bytes);
        self.unsynced.push(change);
    }

    pub(super) fn sync(&mut self) {
        for change in std::mem::take(&mut self.unsynced) {
            change.apply(&mut self.synced);
        }
    }

    /// After a failed sync, the operating system treats the pages as clean: they are read as
    /// before, and no later sync covers them.
    pub(super) fn fail_to_sync(&mut self) {
        self.unsynced.clear();
    }

    pub(super) fn lose_power(&mut self, random: &mut Random) {
        let unsynced = std::mem::take(&mut self.unsynced);
        let all_missing = random.below(ALL_MISSING_ODDS) == 0;
        self.bytes = self.synced.clone();
        for change in unsynced.into_iter().filter(|_| !all_missing) {
            self.apply_present_torn_or_missing(change, random);
        }
        self.synced = self.bytes.clone();
    }

    fn apply_present_torn_or_missing(&mut self, change: FileChange, random: &mut Random) {
        match (random.below(3), change) {
            (0, _) => {}
            (1, change) | (_, change @ FileChange::SetLength(_)) => change.apply(&mut self.bytes),
            (_, FileChange::Write { offset, bytes }) => {
                for (from, to) in torn_ranges(bytes.len(), random) {
                    let part = FileChange::Write {
                        offset: offset + from,
                        bytes: bytes[from..to].to_vec(),
                    };
                    part.apply(&mut self.bytes);
                }
            }
        }
    }
}

/// The ranges of a torn write that reached the disk: a prefix of any length, or some of its
/// sectors.
fn torn_ranges(length: usize, random: &mut Random) -> Vec<(usize, usize)> {
    if random.below(2) == 0 {
        return vec![(0, random.below(length as u64 + 1) as usize)];
    }
    let sectors = (0..length).step_by(SECTOR_BYTES);
    sectors
        .filter(|_| random.below(2) == 0)
        .map(|from| (from, length.min(from + SECTOR_BYTES)))
        .collect()
}
