//! A file of the simulated disk: what is synced, what is not, and what a loss of power leaves of that.

/// Bytes that reach a disk together or not at all, where a torn write is torn between sectors.
const SECTOR_BYTES: usize = 512;

#[derive(Clone, Debug)]
pub(super) enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

impl Change {
    /// Where the file ends at least after the change.
    pub(super) fn end(&self) -> usize {
        match self {
            Change::Write { offset, bytes } => offset + bytes.len(),
            Change::SetLength(length) => *length,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct FileState {
    pub(super) created_as: String,
    pub(super) synced: Vec<u8>,
    pub(super) bytes: Vec<u8>,
    pub(super) unsynced: Vec<Change>,
}

impl FileState {
    pub(super) fn sync(&mut self) {
        for change in std::mem::take(&mut self.unsynced) {
            apply(&mut self.synced, &change);
        }
    }

    /// After a sync that failed, a system takes the pages as clean: they are read as before, and no later sync covers
    /// them.
    pub(super) fn fail_to_sync(&mut self) {
        self.unsynced.clear();
    }

    pub(super) fn lose_power(&mut self, random: &mut Random) {
        let changes = std::mem::take(&mut self.unsynced);
        let all_missing = random.below(4) == 0;
        self.bytes = self.synced.clone();
        for change in changes.into_iter().filter(|_| !all_missing) {
            self.keep_some(change, random);
        }
        self.synced = self.bytes.clone();
    }

    /// Keeps a change whole, torn, or not at all.
    fn keep_some(&mut self, change: Change, random: &mut Random) {
        match (random.below(3), change) {
            (0, _) => {}
            (1, change) => apply(&mut self.bytes, &change),
            (_, Change::Write { offset, bytes }) => {
                for (from, to) in torn_parts(bytes.len(), random) {
                    let part = Change::Write {
                        offset: offset + from,
                        bytes: bytes[from..to].to_vec(),
                    };
                    apply(&mut self.bytes, &part);
                }
            }
            (_, change) => apply(&mut self.bytes, &change),
        }
    }

    pub(super) fn make(&mut self, change: Change) {
        apply(&mut self.bytes, &change);
        self.unsynced.push(change);
    }
}

fn apply(file: &mut Vec<u8>, change: &Change) {
    match change {
        Change::SetLength(length) => file.resize(*length, 0),
        Change::Write { offset, bytes } => {
            let end = offset + bytes.len();
            if file.len() < end {
                file.resize(end, 0);
            }
            file[*offset..end].copy_from_slice(bytes);
        }
    }
}

/// The parts of a torn write that reached the disk: a beginning that ends at any byte, or some of its sectors.
fn torn_parts(length: usize, random: &mut Random) -> Vec<(usize, usize)> {
    if random.below(2) == 0 {
        return vec![(0, random.below(length as u64 + 1) as usize)];
    }
    let sectors = (0..length).step_by(SECTOR_BYTES);
    sectors
        .filter(|_| random.below(2) == 0)
        .map(|from| (from, length.min(from + SECTOR_BYTES)))
        .collect()
}

/// A generator of pseudo-random numbers (splitmix64).
pub(super) struct Random(pub(super) u64);

impl Random {
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % bound
    }
}
