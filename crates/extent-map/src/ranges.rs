//! The extents of one volume, as sorted key ranges that together cover all keys.
//!
//! Three parallel arrays (first keys, shards, epochs) in chunks of bounded length: a look-up is two binary searches over
//! integers, an update moves at most one chunk, and an extent takes 16 bytes. The last key of a range is the key before
//! the first key of the next. Neighbours with the same shard and epoch are stored as one range, so merged extents make
//! the table shorter.

/// Stored in place of a shard where no extent covers the keys.
const NO_SHARD: u32 = u32::MAX;

/// A range of keys that has been on one shard since one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub first: u64,
    /// The last key.
    pub last: u64,
    /// The shard; `None`: no extent covers these keys.
    pub shard: Option<u32>,
    /// The epoch of the change, or a later one at which it was known to be still valid.
    pub epoch: u64,
}

/// Key ranges in chunks of at most `MAX_CHUNK_RANGES`. `usize::MAX` makes it one flat table.
#[derive(Clone, Debug)]
pub struct Ranges<const MAX_CHUNK_RANGES: usize> {
    /// Epochs are stored as offsets from this one.
    base_epoch: u64,
    /// The first key of each chunk.
    chunk_firsts: Vec<u64>,
    chunks: Vec<Chunk>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Chunk {
    firsts: Vec<u64>,
    shards: Vec<u32>,
    epoch_offsets: Vec<u32>,
}

impl<const MAX_CHUNK_RANGES: usize> Ranges<MAX_CHUNK_RANGES> {
    /// Creates a table in which no extent covers any key, with every change up to `base_epoch` included. Earlier epochs
    /// are stored as `base_epoch`.
    pub fn new(base_epoch: u64) -> Self {
        let chunk = Chunk {
            firsts: vec![0],
            shards: vec![NO_SHARD],
            epoch_offsets: vec![0],
        };
        Ranges {
            base_epoch,
            chunk_firsts: vec![0],
            chunks: vec![chunk],
            len: 1,
        }
    }

    /// Number of key ranges, including those that no extent covers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no extent covers any key.
    pub fn is_empty(&self) -> bool {
        self.len == 1 && self.chunks[0].shards[0] == NO_SHARD
    }

    /// The epoch up to which every change is included.
    pub fn base_epoch(&self) -> u64 {
        self.base_epoch
    }

    /// Whether the offset of an epoch from the base epoch fits the table. Otherwise the volume has to be fetched again.
    pub fn can_store(&self, epoch: u64) -> bool {
        epoch.saturating_sub(self.base_epoch) < u64::from(u32::MAX)
    }

    /// Memory used, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let chunk_bytes = |chunk: &Chunk| {
            chunk.firsts.capacity() * 8
                + chunk.shards.capacity() * 4
                + chunk.epoch_offsets.capacity() * 4
                + size_of::<Chunk>()
        };
        self.chunk_firsts.capacity() * 8
            + self.chunks.iter().map(chunk_bytes).sum::<usize>()
            + size_of::<Self>()
    }

    /// The range that contains a key.
    pub fn get(&self, key: u64) -> KeyRange {
        let (chunk, index) = self.find(key);
        self.range_at(chunk, index)
    }

    /// All ranges, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = KeyRange> + '_ {
        (0..self.chunks.len()).flat_map(move |chunk| {
            (0..self.chunks[chunk].firsts.len()).map(move |index| self.range_at(chunk, index))
        })
    }

    /// Puts the keys from `first` to `last` on a shard as of `epoch`, except those whose known epoch is above
    /// `max_replaced_epoch`. Returns whether any key changed its shard.
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
        let new = (shard.unwrap_or(NO_SHARD), self.epoch_offset(epoch));
        let (first_chunk, first_index) = self.find(first);
        let (last_chunk, last_index) = self.find(last);
        let mut replacement: Vec<(u64, (u32, u32))> = Vec::new();
        // The range before the replaced ones is joined with the first of the replacement if both have the same value.
        let before = match (first_chunk, first_index) {
            (0, 0) => None,
            (chunk, 0) => Some((chunk - 1, self.chunks[chunk - 1].firsts.len() - 1)),
            (chunk, index) => Some((chunk, index - 1)),
        };
        let mut last_value = before.map(|(chunk, index)| self.value_at(chunk, index));
        let mut push = |first: u64, value: (u32, u32)| {
            if last_value != Some(value) {
                last_value = Some(value);
                replacement.push((first, value));
            }
        };
        let (mut at, mut moved, mut touched) = ((first_chunk, first_index), false, false);
        loop {
            let (range, value) = (self.range_at(at.0, at.1), self.value_at(at.0, at.1));
            if range.epoch <= max_replaced_epoch {
                touched |= value != new;
                moved |= value.0 != new.0;
                if range.first < first {
                    push(range.first, value);
                }
                push(range.first.max(first), new);
                if range.last > last {
                    push(last + 1, value);
                }
            } else {
                push(range.first, value);
            }
            if at == (last_chunk, last_index) {
                break;
            }
            at = if at.1 + 1 < self.chunks[at.0].firsts.len() {
                (at.0, at.1 + 1)
            } else {
                (at.0 + 1, 0)
            };
        }
        if touched {
            // The range after the replaced ones is joined with the last of the replacement if both have the same value.
            let mut end = (last_chunk, last_index + 1);
            if end.1 == self.chunks[last_chunk].firsts.len() && last_chunk + 1 < self.chunks.len() {
                end = (last_chunk + 1, 0);
            }
            if end.1 < self.chunks[end.0].firsts.len()
                && last_value == Some(self.value_at(end.0, end.1))
            {
                end.1 += 1;
            }
            self.splice((first_chunk, first_index), end, &replacement);
        }
        moved
    }

    fn epoch_offset(&self, epoch: u64) -> u32 {
        u32::try_from(epoch.saturating_sub(self.base_epoch)).unwrap_or(u32::MAX)
    }

    /// The shard and the epoch offset at a position.
    fn value_at(&self, chunk: usize, index: usize) -> (u32, u32) {
        (
            self.chunks[chunk].shards[index],
            self.chunks[chunk].epoch_offsets[index],
        )
    }

    fn range_at(&self, chunk_index: usize, index: usize) -> KeyRange {
        let chunk = &self.chunks[chunk_index];
        let next_first = chunk
            .firsts
            .get(index + 1)
            .or_else(|| self.chunk_firsts.get(chunk_index + 1));
        KeyRange {
            first: chunk.firsts[index],
            last: next_first.map_or(u64::MAX, |first| first - 1),
            shard: Some(chunk.shards[index]).filter(|shard| *shard != NO_SHARD),
            epoch: self.base_epoch + u64::from(chunk.epoch_offsets[index]),
        }
    }

    /// The position (chunk, index in it) of the range that contains a key. The first range starts at key 0, so there
    /// always is one.
    fn find(&self, key: u64) -> (usize, usize) {
        let chunk = self.chunk_firsts.partition_point(|first| *first <= key) - 1;
        (
            chunk,
            self.chunks[chunk]
                .firsts
                .partition_point(|first| *first <= key)
                - 1,
        )
    }

    /// Replaces the ranges from position `start` up to, but not including, `end`.
    fn splice(
        &mut self,
        start: (usize, usize),
        end: (usize, usize),
        replacement: &[(u64, (u32, u32))],
    ) {
        let ((first_chunk, start_index), (end_chunk, end_index)) = (start, end);
        let tail = if first_chunk == end_chunk {
            Chunk::default()
        } else {
            self.chunks[end_chunk].split_off(end_index)
        };
        let chunk = &mut self.chunks[first_chunk];
        let replaced_to = if first_chunk == end_chunk {
            end_index
        } else {
            chunk.firsts.len()
        };
        let removed = replaced_to - start_index
            + self.chunks[first_chunk + 1..=end_chunk.max(first_chunk)]
                .iter()
                .map(|chunk| chunk.firsts.len())
                .sum::<usize>();
        let chunk = &mut self.chunks[first_chunk];
        chunk
            .firsts
            .splice(start_index..replaced_to, replacement.iter().map(|r| r.0));
        chunk
            .shards
            .splice(start_index..replaced_to, replacement.iter().map(|r| r.1 .0));
        chunk
            .epoch_offsets
            .splice(start_index..replaced_to, replacement.iter().map(|r| r.1 .1));
        self.len = self.len + replacement.len() - removed;
        if first_chunk != end_chunk {
            let tail = Some(tail).filter(|tail| !tail.firsts.is_empty());
            self.chunk_firsts.splice(
                first_chunk + 1..=end_chunk,
                tail.iter().map(|tail| tail.firsts[0]),
            );
            self.chunks.splice(first_chunk + 1..=end_chunk, tail);
        }
        if self.chunks[first_chunk].firsts.is_empty() {
            self.chunks.remove(first_chunk);
            self.chunk_firsts.remove(first_chunk);
            return;
        }
        self.chunk_firsts[first_chunk] = self.chunks[first_chunk].firsts[0];
        while self.chunks[first_chunk].firsts.len() > MAX_CHUNK_RANGES {
            let chunk = &mut self.chunks[first_chunk];
            let len = chunk.firsts.len();
            let upper = chunk.split_off((len / 2).max(len.saturating_sub(MAX_CHUNK_RANGES)));
            // The lower half may never grow again, so its spare capacity is released.
            chunk.firsts.shrink_to_fit();
            chunk.shards.shrink_to_fit();
            chunk.epoch_offsets.shrink_to_fit();
            self.chunk_firsts.insert(first_chunk + 1, upper.firsts[0]);
            self.chunks.insert(first_chunk + 1, upper);
        }
    }
}

impl Chunk {
    fn split_off(&mut self, index: usize) -> Chunk {
        Chunk {
            firsts: self.firsts.split_off(index),
            shards: self.shards.split_off(index),
            epoch_offsets: self.epoch_offsets.split_off(index),
        }
    }
}
