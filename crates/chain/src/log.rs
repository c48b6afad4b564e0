//! The entries of the log that are in memory.

use crate::limits::{ByteLimits, BATCH_BYTES, RETAINED_ENTRIES};
use lupinrack_cluster_api::operation::LogEntry;
use std::collections::VecDeque;

/// An entry, and the offset of its end.
#[derive(Debug)]
struct OffsetEntry {
    entry: LogEntry,
    /// The encoded bytes of all entries since the process began, this one included.
    end: u64,
}

/// The last entries of the log, without gaps.
#[derive(Debug)]
pub(crate) struct Log {
    /// The index before the first entry in memory.
    floor: u64,
    /// The offset of the end of the entry before the first one in memory.
    floor_end: u64,
    entries: VecDeque<OffsetEntry>,
}

/// The bytes of an entry's encoded form.
pub(crate) fn encoded_bytes(entry: &LogEntry) -> u64 {
    // Counting the length of a value in memory cannot fail; an entry of unknown size would fill a
    // batch alone.
    borsh::object_length(entry).map_or(BATCH_BYTES, |bytes| bytes as u64)
}

impl Log {
    /// A log whose first entry follows `floor`. Entries that do not continue it are ignored.
    pub(crate) fn new(floor: u64, entries: Vec<LogEntry>) -> Log {
        let mut log = Log {
            floor,
            floor_end: 0,
            entries: VecDeque::with_capacity(entries.len()),
        };
        for entry in entries {
            if entry.index == log.last() + 1 {
                log.push(entry);
            }
        }
        log
    }

    /// The index before the first entry in memory.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// The last index.
    pub(crate) fn last(&self) -> u64 {
        self.floor + self.entries.len() as u64
    }

    /// The entry at an index, if it is in memory.
    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        self.offset_entry(index).map(|entry| &entry.entry)
    }

    fn offset_entry(&self, index: u64) -> Option<&OffsetEntry> {
        let offset = index.checked_sub(self.floor + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The bytes of the entries after `previous`, up to `limit`, as far as they are in memory.
    pub(crate) fn bytes_between(&self, previous: u64, limit: u64) -> u64 {
        self.end_of(limit).saturating_sub(self.end_of(previous))
    }

    /// The offset of the end of an entry.
    fn end_of(&self, index: u64) -> u64 {
        let entry = self.offset_entry(index.min(self.last()));
        entry.map_or(self.floor_end, |entry| entry.end)
    }

    /// Adds the entry that follows the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        let end = self.end_of(self.last()) + encoded_bytes(&entry);
        self.entries.push_back(OffsetEntry { entry, end });
    }

    /// Drops all entries above `index`.
    pub(crate) fn truncate_after(&mut self, index: u64) {
        while self.last() > index && self.entries.pop_back().is_some() {}
    }

    /// Drops everything; the next entry follows `index`.
    pub(crate) fn reset(&mut self, index: u64) {
        *self = Log::new(index, Vec::new());
    }

    /// Drops entries up to `index`, except the last ones within the retention limits. Entries after
    /// `needed` are retained for a disk that joins, up to the larger limit `catch_up`.
    pub(crate) fn compact(&mut self, index: u64, needed: Option<u64>, limits: &ByteLimits) {
        while self.floor < index && self.exceeds_retention(needed, limits) {
            let Some(dropped) = self.entries.pop_front() else {
                break;
            };
            self.floor_end = dropped.end;
            self.floor += 1;
        }
    }

    fn exceeds_retention(&self, needed: Option<u64>, limits: &ByteLimits) -> bool {
        let bytes = self.bytes_between(self.floor, self.last());
        let is_needed = needed.is_some_and(|needed| self.floor >= needed);
        if is_needed {
            return bytes > limits.catch_up;
        }
        self.entries.len() as u64 > RETAINED_ENTRIES || bytes > limits.retained
    }

    /// Copies of the entries after `previous`, up to `limit`, as many as fit into a message; at least
    /// one if there is any.
    pub(crate) fn batch(&self, previous: u64, limit: u64) -> Vec<LogEntry> {
        let fits = |index: &u64| {
            *index == previous + 1 || self.bytes_between(previous, *index) <= BATCH_BYTES
        };
        let indices = (previous + 1..=limit).take_while(fits);
        indices
            .map_while(|index| self.get(index).cloned())
            .collect()
    }
}
