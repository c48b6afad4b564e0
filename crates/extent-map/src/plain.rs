//! The plain form of [`crate::ranges::Ranges`], a `BTreeMap` by first key: what the chunked table is measured against,
//! and what its tests compare it with. It is not used in service.

use crate::ranges::Piece;
use std::collections::BTreeMap;

/// First keys with shard and epoch.
#[derive(Clone, Debug)]
pub struct Plain(BTreeMap<u64, (Option<u32>, u64)>);

impl Plain {
    /// A table in which no extent covers anything.
    pub fn new(base: u64) -> Self {
        Plain(BTreeMap::from([(0, (None, base))]))
    }

    /// How many pieces there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no extent covers anything.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|v| v.0.is_none())
    }

    /// The piece that covers a key.
    pub fn get(&self, key: u64) -> Piece {
        let (first, (shard, epoch)) = self
            .0
            .range(..=key)
            .next_back()
            .map_or((0, (None, 0)), |(f, v)| (*f, *v));
        let last = self
            .0
            .range(first..)
            .nth(1)
            .map_or(u64::MAX, |(f, _)| f - 1);
        Piece {
            first,
            last,
            shard,
            epoch,
        }
    }

    /// All pieces, in order.
    pub fn iter(&self) -> impl Iterator<Item = Piece> + '_ {
        self.0.keys().map(|first| self.get(*first))
    }

    /// As [`crate::ranges::Ranges::set`].
    pub fn set(
        &mut self,
        first: u64,
        last: u64,
        shard: Option<u32>,
        epoch: u64,
        limit: u64,
    ) -> bool {
        if first > last {
            return false;
        }
        for at in [Some(first), last.checked_add(1)].into_iter().flatten() {
            let piece = self.get(at);
            self.0.entry(at).or_insert((piece.shard, piece.epoch));
        }
        let mut moved = false;
        for (_, value) in self.0.range_mut(first..=last).filter(|(_, v)| v.1 <= limit) {
            moved |= value.0 != shard;
            *value = (shard, epoch);
        }
        let around: Vec<u64> = self
            .0
            .range(first..)
            .map(|(f, _)| *f)
            .take_while(|f| *f <= last.saturating_add(1))
            .collect();
        for at in around {
            let before = self.0.range(..at).next_back().map(|(_, v)| *v);
            if before.is_some() && before == self.0.get(&at).copied() {
                self.0.remove(&at);
            }
        }
        moved
    }
}
