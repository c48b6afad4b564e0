//! The map: the extents of the volumes held, bounded in extents and in volumes. Where it is full, the volumes that were
//! not asked for the longest leave.

use crate::ranges::{Piece, Ranges};
use crate::words::{Change, Cover};
use lupinrack_policy::{Micros, VolumeId};
use std::collections::HashMap;

/// Pieces in one chunk of a volume's table: small enough that an update moves 4 KiB, large enough that the upper search
/// stays short. `lupinrack extents bench` measures it against one flat table and a `BTreeMap`.
pub const CHUNK: usize = 256;
/// Part of the bound that is left when volumes leave, in eighths: so that not every new volume costs a search.
const LEAVE_EIGHTHS: usize = 7;

/// What is known of one volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Its extents, as far as they are known.
    pub ranges: Ranges<CHUNK>,
    /// Whether they are known in full. Where not, only what was told since the entry was made.
    pub whole: bool,
    /// They were known in full once, but changes may have been missed since.
    pub doubt: bool,
    /// Answers of an earlier epoch than this may lack changes that came while the volume was not held.
    pub since: u64,
    /// When it was last asked for.
    pub used: Micros,
}

/// All volumes held.
#[derive(Clone, Debug, Default)]
pub struct Map {
    volumes: HashMap<VolumeId, Volume>,
    extents: usize,
    most_extents: usize,
    most_volumes: usize,
}

impl Map {
    /// An empty map with its bounds.
    pub fn new(most_extents: usize, most_volumes: usize) -> Map {
        Map {
            most_extents,
            most_volumes: most_volumes.max(1),
            ..Map::default()
        }
    }

    /// Volumes held.
    pub fn volumes(&self) -> usize {
        self.volumes.len()
    }

    /// Extents held.
    pub fn extents(&self) -> usize {
        self.extents
    }

    /// A volume, where it is held.
    pub fn get(&self, volume: VolumeId) -> Option<&Volume> {
        self.volumes.get(&volume)
    }

    /// The same, and marks it as asked for now.
    pub fn ask(&mut self, now: Micros, volume: VolumeId) -> Option<&Volume> {
        let v = self.volumes.get_mut(&volume)?;
        v.used = now;
        Some(v)
    }

    /// All volumes held, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (VolumeId, &Volume)> {
        self.volumes.iter().map(|(id, v)| (*id, v))
    }

    /// Makes an entry that waits for its extents; changes from now on are kept in it.
    pub fn expect(&mut self, now: Micros, volume: VolumeId, since: u64) {
        self.volumes.entry(volume).or_insert_with(|| {
            self.extents += 1;
            Volume {
                ranges: Ranges::new(since),
                whole: false,
                doubt: false,
                since,
                used: now,
            }
        });
    }

    /// Takes a change in, where its volume is held. Tells whether anything moved.
    pub fn change(&mut self, c: &Change) -> bool {
        let Some(v) = self.volumes.get_mut(&c.volume) else {
            return false;
        };
        if !v.ranges.fits(c.epoch) {
            // Four thousand million changes after the base: known no more, and fetched on need.
            v.doubt = true;
            return false;
        }
        let before = v.ranges.len();
        let moved = v
            .ranges
            .set(c.first, c.last, c.shard, c.epoch, c.epoch.saturating_sub(1));
        self.extents = self.extents + v.ranges.len() - before;
        moved
    }

    /// Takes an answer on a volume in. What is known of later epochs than the answer's stays. None where the volume
    /// is not held (any more) or the answer may lack changes; else whether anything moved.
    pub fn cover(&mut self, cover: &Cover) -> Option<bool> {
        let epoch = cover.version.epoch;
        let v = self.volumes.get_mut(&cover.volume)?;
        let whole = cover.first == 0 && cover.last == u64::MAX;
        if (!v.whole || v.doubt) && (!whole || epoch < v.since) {
            return None;
        }
        let before = v.ranges.len();
        let mut moved = false;
        if whole && v.ranges.is_empty() {
            v.ranges = Ranges::new(epoch);
        }
        // Gaps first, as of the answer: what the extents leave open is covered by none.
        let mut next = Some(cover.first);
        for e in &cover.extents {
            if let Some(gap) = next.filter(|n| *n < e.first) {
                moved |= v.ranges.set(gap, e.first - 1, None, epoch, epoch);
            }
            moved |= v
                .ranges
                .set(e.first, e.last, e.shard, e.epoch.min(epoch), epoch);
            next = e.last.checked_add(1);
        }
        if let Some(gap) = next.filter(|n| *n <= cover.last) {
            moved |= v.ranges.set(gap, cover.last, None, epoch, epoch);
        }
        if whole {
            (v.whole, v.doubt) = (true, false);
        }
        self.extents = self.extents + v.ranges.len() - before;
        Some(moved)
    }

    /// Marks a volume as one that may have missed changes up to an epoch.
    pub fn doubt(&mut self, volume: VolumeId, since: u64) {
        if let Some(v) = self.volumes.get_mut(&volume) {
            (v.doubt, v.since) = (true, v.since.max(since));
        }
    }

    /// The same for all, but for those that were fetched as of that epoch or later.
    pub fn doubt_all(&mut self, since: u64) {
        for v in self
            .volumes
            .values_mut()
            .filter(|v| !v.whole || v.ranges.base() < since)
        {
            (v.doubt, v.since) = (true, v.since.max(since));
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.volumes.clear();
        self.extents = 0;
    }

    /// Has the volumes that were not asked for the longest leave, where the map is over a bound; `keep` stay. Tells
    /// how many left.
    pub fn shrink(&mut self, keep: impl Fn(VolumeId) -> bool) -> usize {
        if self.extents <= self.most_extents && self.volumes.len() <= self.most_volumes {
            return 0;
        }
        let mut old: Vec<(Micros, VolumeId)> = self
            .volumes
            .iter()
            .filter(|(id, _)| !keep(**id))
            .map(|(id, v)| (v.used, *id))
            .collect();
        old.sort_unstable();
        let (extents, volumes) = (
            self.most_extents / 8 * LEAVE_EIGHTHS,
            self.most_volumes.div_ceil(8) * LEAVE_EIGHTHS,
        );
        let mut left = 0;
        for (_, id) in old {
            if self.extents <= extents && self.volumes.len() <= volumes.min(self.most_volumes) {
                break;
            }
            if let Some(v) = self.volumes.remove(&id) {
                self.extents -= v.ranges.len();
                left += 1;
            }
        }
        left
    }

    /// The piece of a volume that covers a key, where the volume is held.
    pub fn piece(&self, volume: VolumeId, key: u64) -> Option<Piece> {
        self.volumes.get(&volume).map(|v| v.ranges.get(key))
    }

    /// Memory held by the tables, in bytes.
    pub fn bytes(&self) -> usize {
        self.volumes
            .values()
            .map(|v| v.ranges.bytes() + size_of::<(VolumeId, Volume)>())
            .sum()
    }
}
