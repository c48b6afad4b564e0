//! The entries that are in memory.

use crate::limits::{BATCH_BYTES, RETAINED_BYTES, RETAINED_ENTRIES};
use lupinrack_cluster_api::operation::LogEntry;
use std::collections::VecDeque;

/// An entry and the bytes of its encoded form.
#[derive(Debug)]
struct SizedEntry {
    entry: LogEntry,
    bytes: usize,
}

/// The end of the log, without gaps.
#[derive(Debug)]
pub(crate) struct Log {
    /// The index before the first entry in memory.
    floor: u64,
    entries: VecDeque<SizedEntry>,
    /// Bytes of all entries in memory.
    bytes: usize,
}

impl Log {
    /// A log whose first entry follows `floor`. Entries that do not continue it are left out.
    pub(crate) fn new(floor: u64, entries: Vec<LogEntry>) -> Log {
        let mut log = Log { floor, entries: VecDeque::with_capacity(entries.len()), bytes: 0 };
        for entry in entries {
            if entry.index == log.last() + 1 {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    pub(crate) fn last(&self) -> u64 {
        self.floor + self.entries.len() as u64
    }

    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        self.sized(index).map(|sized| &sized.entry)
    }

    fn sized(&self, index: u64) -> Option<&SizedEntry> {
        let offset = index.checked_sub(self.floor + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Adds the entry that follows the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        // The length of a value in memory is always countable; an entry of unknown size fills a batch by itself.
        let bytes = borsh::object_length(&entry).unwrap_or(BATCH_BYTES);
        self.bytes += bytes;
        self.entries.push_back(SizedEntry { entry, bytes });
    }

    /// Drops all entries above `index`.
    pub(crate) fn truncate_after(&mut self, index: u64) {
        while self.last() > index {
            let Some(dropped) = self.entries.pop_back() else { break };
            self.bytes -= dropped.bytes;
        }
    }

    /// Drops everything; the next entry follows `index`.
    pub(crate) fn reset(&mut self, index: u64) {
        *self = Log { floor: index, entries: VecDeque::new(), bytes: 0 };
    }

    /// Drops entries up to `index` that are not among the retained last ones.
    pub(crate) fn compact(&mut self, index: u64) {
        while self.floor < index && self.exceeds_retention() {
            let Some(dropped) = self.entries.pop_front() else { break };
            self.bytes -= dropped.bytes;
            self.floor += 1;
        }
    }

    fn exceeds_retention(&self) -> bool {
        self.entries.len() as u64 > RETAINED_ENTRIES || self.bytes > RETAINED_BYTES
    }

    /// Copies of the entries after `previous`, up to `limit`, as many as fit a message; at least one where there is one.
    pub(crate) fn batch(&self, previous: u64, limit: u64) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for index in previous + 1..=limit {
            let Some(sized) = self.sized(index) else { break };
            bytes += sized.bytes;
            if bytes > BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(sized.entry.clone());
        }
        batch
    }
}
