//! The extents of all cached volumes, limited in the numbers of extents and volumes. At a limit the least recently used
//! volumes are evicted.

use crate::protocol::{Change, FetchResponse};
use crate::ranges::{KeyRange, Ranges};
use lupinrack_policy::{Micros, VolumeId};
use std::collections::HashMap;

/// Key ranges in one chunk of a volume's table: an update moves at most 4 KiB, and the search for the chunk stays short.
/// `benches/ranges.rs` compares it with one flat table and a `BTreeMap`.
pub const MAX_CHUNK_RANGES: usize = 256;
/// An eviction goes down to this many eighths of the limits, so that not every new volume needs another one.
const EVICTION_TARGET_EIGHTHS: usize = 7;

/// What is known of one volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// The known extents.
    pub ranges: Ranges<MAX_CHUNK_RANGES>,
    /// Whether all extents are known. Otherwise `ranges` has only the changes received since the volume was added.
    pub complete: bool,
    /// Changes may have been missed since the volume was last fetched.
    pub may_be_stale: bool,
    /// A fetch of an earlier epoch may lack changes made while the volume was not cached, or changes that were missed.
    pub min_fetch_epoch: u64,
    /// When the volume was last located.
    pub last_used: Micros,
}

/// All cached volumes.
#[derive(Clone, Debug, Default)]
pub struct Map {
    volumes: HashMap<VolumeId, Volume>,
    extents: usize,
    max_extents: usize,
    max_volumes: usize,
}

impl Map {
    /// Creates an empty map with its limits.
    pub fn new(max_extents: usize, max_volumes: usize) -> Map {
        Map {
            max_extents,
            max_volumes: max_volumes.max(1),
            ..Map::default()
        }
    }

    /// Number of cached volumes.
    pub fn volumes(&self) -> usize {
        self.volumes.len()
    }

    /// Number of cached extents, including key ranges that no extent covers.
    pub fn extents(&self) -> usize {
        self.extents
    }

    /// A volume, if it is cached.
    pub fn get(&self, volume: VolumeId) -> Option<&Volume> {
        self.volumes.get(&volume)
    }

    /// A volume, if it is cached. Marks it as used now.
    pub fn touch(&mut self, now: Micros, volume: VolumeId) -> Option<&Volume> {
        let cached = self.volumes.get_mut(&volume)?;
        cached.last_used = now;
        Some(cached)
    }

    /// All cached volumes, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (VolumeId, &Volume)> {
        self.volumes.iter().map(|(id, volume)| (*id, volume))
    }

    /// Adds a volume before its fetch is answered, so that changes received meanwhile are kept. Does nothing if the
    /// volume is cached.
    pub fn add_pending(&mut self, now: Micros, volume: VolumeId, min_fetch_epoch: u64) {
        self.volumes.entry(volume).or_insert_with(|| {
            self.extents += 1;
            Volume {
                ranges: Ranges::new(min_fetch_epoch),
                complete: false,
                may_be_stale: false,
                min_fetch_epoch,
                last_used: now,
            }
        });
    }

    /// Applies a change if its volume is cached. Returns whether any key changed its shard.
    pub fn apply_change(&mut self, change: &Change) -> bool {
        let Some(cached) = self.volumes.get_mut(&change.volume) else {
            return false;
        };
        if !cached.ranges.can_store(change.epoch) {
            // 2^32 changes after the base epoch, the table cannot store the epoch: the volume has to be fetched.
            cached.may_be_stale = true;
            return false;
        }
        let before = cached.ranges.len();
        let moved = cached.ranges.set(
            change.first,
            change.last,
            change.shard,
            change.epoch,
            change.epoch.saturating_sub(1),
        );
        self.extents = self.extents + cached.ranges.len() - before;
        moved
    }

    /// Applies the answer to a fetch, except where a later epoch is known. Returns whether any key changed its shard;
    /// `None` if the volume is not cached (any more), or the answer may lack changes.
    pub fn apply_fetch(&mut self, response: &FetchResponse) -> Option<bool> {
        let epoch = response.version.epoch;
        let cached = self.volumes.get_mut(&response.volume)?;
        let complete = response.first == 0 && response.last == u64::MAX;
        if (!cached.complete || cached.may_be_stale)
            && (!complete || epoch < cached.min_fetch_epoch)
        {
            return None;
        }
        let before = cached.ranges.len();
        let mut moved = false;
        if complete && cached.ranges.is_empty() {
            cached.ranges = Ranges::new(epoch);
        }
        // No extent covers the gaps between the extents, as of the epoch of the answer.
        let mut next = Some(response.first);
        for extent in &response.extents {
            if let Some(gap) = next.filter(|next| *next < extent.first) {
                moved |= cached.ranges.set(gap, extent.first - 1, None, epoch, epoch);
            }
            moved |= cached.ranges.set(
                extent.first,
                extent.last,
                extent.shard,
                extent.epoch.min(epoch),
                epoch,
            );
            next = extent.last.checked_add(1);
        }
        if let Some(gap) = next.filter(|next| *next <= response.last) {
            moved |= cached.ranges.set(gap, response.last, None, epoch, epoch);
        }
        if complete {
            (cached.complete, cached.may_be_stale) = (true, false);
        }
        self.extents = self.extents + cached.ranges.len() - before;
        Some(moved)
    }

    /// Marks a volume that may have missed changes up to an epoch.
    pub fn mark_stale(&mut self, volume: VolumeId, epoch: u64) {
        if let Some(cached) = self.volumes.get_mut(&volume) {
            (cached.may_be_stale, cached.min_fetch_epoch) =
                (true, cached.min_fetch_epoch.max(epoch));
        }
    }

    /// Marks all volumes that may have missed changes up to an epoch: all but those fetched as of that epoch or later.
    pub fn mark_all_stale(&mut self, epoch: u64) {
        for cached in self
            .volumes
            .values_mut()
            .filter(|cached| !cached.complete || cached.ranges.base_epoch() < epoch)
        {
            (cached.may_be_stale, cached.min_fetch_epoch) =
                (true, cached.min_fetch_epoch.max(epoch));
        }
    }

    /// Removes all volumes.
    pub fn clear(&mut self) {
        self.volumes.clear();
        self.extents = 0;
    }

    /// Evicts the least recently used volumes if the map is over a limit, except those to `keep`. Returns how many were
    /// evicted.
    pub fn evict(&mut self, keep: impl Fn(VolumeId) -> bool) -> usize {
        if self.extents <= self.max_extents && self.volumes.len() <= self.max_volumes {
            return 0;
        }
        let mut candidates: Vec<(Micros, VolumeId)> = self
            .volumes
            .iter()
            .filter(|(id, _)| !keep(**id))
            .map(|(id, cached)| (cached.last_used, *id))
            .collect();
        candidates.sort_unstable();
        let (target_extents, target_volumes) = (
            self.max_extents / 8 * EVICTION_TARGET_EIGHTHS,
            self.max_volumes.div_ceil(8) * EVICTION_TARGET_EIGHTHS,
        );
        let mut evicted = 0;
        for (_, id) in candidates {
            if self.extents <= target_extents
                && self.volumes.len() <= target_volumes.min(self.max_volumes)
            {
                break;
            }
            if let Some(cached) = self.volumes.remove(&id) {
                self.extents -= cached.ranges.len();
                evicted += 1;
            }
        }
        evicted
    }

    /// The key range that contains a key, if the volume is cached.
    pub fn range_of(&self, volume: VolumeId, key: u64) -> Option<KeyRange> {
        self.volumes
            .get(&volume)
            .map(|cached| cached.ranges.get(key))
    }

    /// Memory used by the tables, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.volumes
            .values()
            .map(|cached| cached.ranges.memory_bytes() + size_of::<(VolumeId, Volume)>())
            .sum()
    }
}
