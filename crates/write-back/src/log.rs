//! The log: records in segments, each named by the sequence of its first record.
//!
//! A segment is synced before the next is made, so only the last can end in a torn record. Recovery stops there and cuts
//! it off; anything unreadable in an earlier segment is damage, and the log does not open.

use crate::disk::{Disk, DiskError, SegmentId};
use crate::record::{decode, encode, Record, Unreadable};
use std::collections::VecDeque;

/// Why a log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// Damage in a segment that is not the last, or a segment that is missing between two.
    #[error("segment {segment:016x}, offset {offset}: {why}")]
    Damaged {
        /// The segment.
        segment: u64,
        /// The byte.
        offset: usize,
        /// What is wrong.
        why: Unreadable,
    },
}

/// Why a record was not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The disk.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// An earlier call failed: nothing more is written to this log.
    #[error("the log is closed after a failure")]
    Closed,
    /// It has no form, which is a defect.
    #[error("{0}")]
    Form(#[from] postcard::Error),
}

#[derive(Debug)]
struct Segment {
    id: SegmentId,
    bytes: u64,
}

/// A log at work.
#[derive(Debug)]
pub struct Log<D: Disk> {
    disk: D,
    segments: VecDeque<Segment>,
    /// The sequence of the next record.
    next: u64,
    /// All records below this one last.
    lasting: u64,
    /// A segment longer than this is followed by a new one.
    segment_bytes: u64,
    closed: bool,
}

/// What recovery found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The records, with their sequences.
    pub records: Vec<(u64, Record)>,
    /// Bytes of a torn end that were cut off.
    pub torn: u64,
}

/// Reads a log and changes nothing.
pub fn inspect(disk: &mut impl Disk) -> Result<Recovered, OpenError> {
    scan(disk).map(|(found, ..)| found)
}

/// Reads all segments: the records, the segments up to their last good byte, and the next sequence.
fn scan(disk: &mut impl Disk) -> Result<(Recovered, VecDeque<Segment>, u64), OpenError> {
    let ids = disk.list()?;
    let mut found = Recovered::default();
    let mut segments = VecDeque::new();
    let mut next = ids.first().map_or(1, |id| id.0);
    for (i, id) in ids.iter().enumerate() {
        let last = i + 1 == ids.len();
        if id.0 != next {
            return Err(OpenError::Damaged {
                segment: id.0,
                offset: 0,
                why: Unreadable::Sequence,
            });
        }
        let bytes = disk.read(*id)?;
        let mut at = 0;
        while at < bytes.len() {
            match decode(&bytes[at..], next) {
                Ok((record, length)) => {
                    found.records.push((next, record));
                    (at, next) = (at + length, next + 1);
                }
                Err(why) if !last => {
                    return Err(OpenError::Damaged {
                        segment: id.0,
                        offset: at,
                        why,
                    })
                }
                Err(_) => {
                    found.torn = (bytes.len() - at) as u64;
                    break;
                }
            }
        }
        segments.push_back(Segment {
            id: *id,
            bytes: at as u64,
        });
    }
    Ok((found, segments, next))
}

impl<D: Disk> Log<D> {
    /// Opens a log and tells what stands in it.
    pub fn open(mut disk: D, segment_bytes: u64) -> Result<(Log<D>, Recovered), OpenError> {
        let (found, segments, next) = scan(&mut disk)?;
        if let Some(last) = segments.back().filter(|_| found.torn > 0) {
            disk.truncate(last.id, last.bytes)?;
        }
        let log = Log {
            disk,
            segments,
            next,
            lasting: next,
            segment_bytes,
            closed: false,
        };
        Ok((log, found))
    }

    /// Writes a record behind the others; it lasts once a [`Log::sync`] after it went well. Tells its sequence.
    pub fn append(&mut self, record: &Record) -> Result<u64, WriteError> {
        if self.closed {
            return Err(WriteError::Closed);
        }
        let written = self.write(record);
        // Whatever failed: what stands at the end is not known any more.
        self.closed |= written.is_err();
        written
    }

    fn write(&mut self, record: &Record) -> Result<u64, WriteError> {
        let frame = encode(self.next, record)?;
        if self
            .segments
            .back()
            .is_none_or(|s| s.bytes >= self.segment_bytes)
        {
            self.sync_last()?;
            let id = SegmentId(self.next);
            self.disk.create(id)?;
            self.segments.push_back(Segment { id, bytes: 0 });
        }
        if let Some(segment) = self.segments.back_mut() {
            self.disk.append(segment.id, &frame)?;
            segment.bytes += frame.len() as u64;
        }
        self.next += 1;
        Ok(self.next - 1)
    }

    /// Makes all that was written last; tells the sequence below which all does. A sync that failed is not tried
    /// again: what it covered counts as not written, and the log is closed.
    pub fn sync(&mut self) -> Result<u64, WriteError> {
        if self.closed {
            return Err(WriteError::Closed);
        }
        let synced = self.sync_last();
        self.closed |= synced.is_err();
        synced.map(|()| self.lasting).map_err(WriteError::Disk)
    }

    fn sync_last(&mut self) -> Result<(), DiskError> {
        if let Some(last) = self.segments.back().filter(|_| self.lasting < self.next) {
            self.disk.sync(last.id)?;
        }
        self.lasting = self.next;
        Ok(())
    }

    /// Removes the segments in which no record at or after `needed` stands; the last one stays. Tells how many went.
    pub fn reclaim(&mut self, needed: u64) -> Result<usize, DiskError> {
        let mut gone = 0;
        while self
            .segments
            .get(1)
            .is_some_and(|second| second.id.0 <= needed)
        {
            if let Some(first) = self.segments.front() {
                self.disk.remove(first.id)?;
            }
            self.segments.pop_front();
            gone += 1;
        }
        Ok(gone)
    }

    /// Bytes in all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    /// Whether nothing more is written to it.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// The sequence of the next record.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The disk, when the log is done with.
    pub fn into_disk(self) -> D {
        self.disk
    }
}
