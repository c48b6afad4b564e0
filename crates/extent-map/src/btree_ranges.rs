//! The same table as [`crate::ranges::Ranges`] in a `BTreeMap`, keyed by first key: the reference for the tests and the
//! benchmark of the chunked table. Not used in service.

use crate::ranges::KeyRange;
use std::collections::BTreeMap;

/// The shard and epoch of each range, by its first key.
#[derive(Clone, Debug)]
pub struct BTreeRanges(BTreeMap<u64, (Option<u32>, u64)>);

impl BTreeRanges {
    /// Creates a table in which no extent covers any key.
    pub fn new(base_epoch: u64) -> Self {
        BTreeRanges(BTreeMap::from([(0, (None, base_epoch))]))
    }

    /// Number of key ranges, including those that no extent covers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no extent covers any key.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|value| value.0.is_none())
    }

    /// The range that contains a key.
    pub fn get(&self, key: u64) -> KeyRange {
        let (first, (shard, epoch)) = self
            .0
            .range(..=key)
            .next_back()
            .map_or((0, (None, 0)), |(first, value)| (*first, *value));
        let last = self
            .0
            .range(first..)
            .nth(1)
            .map_or(u64::MAX, |(next_first, _)| next_first - 1);
        KeyRange {
            first,
            last,
            shard,
            epoch,
        }
    }

    /// All ranges, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = KeyRange> + '_ {
        self.0.keys().map(|first| self.get(*first))
    }

    /// The same as [`crate::ranges::Ranges::set`].
    pub fn set(
        &mut self,
        first: u64,
        last: u64,
        shard: Option<u32>,
        epoch: u64,
        max_replaced_epoch: u64,
    ) -> bool {
        if first > last {
            return false;
        }
        for cut in [Some(first), last.checked_add(1)].into_iter().flatten() {
            let range = self.get(cut);
            self.0.entry(cut).or_insert((range.shard, range.epoch));
        }
        let mut moved = false;
        for (_, value) in self
            .0
            .range_mut(first..=last)
            .filter(|(_, value)| value.1 <= max_replaced_epoch)
        {
            moved |= value.0 != shard;
            *value = (shard, epoch);
        }
        let joinable: Vec<u64> = self
            .0
            .range(first..)
            .map(|(range_first, _)| *range_first)
            .take_while(|range_first| *range_first <= last.saturating_add(1))
            .collect();
        for range_first in joinable {
            let before = self
                .0
                .range(..range_first)
                .next_back()
                .map(|(_, value)| *value);
            if before.is_some() && before == self.0.get(&range_first).copied() {
                self.0.remove(&range_first);
            }
        }
        moved
    }
}
