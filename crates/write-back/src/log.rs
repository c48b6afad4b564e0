//! The write-ahead log: records in segments, each named after the sequence number of its first record.
//!
//! A segment is synced before the next one is created, so only the last segment can end in a torn record. Recovery truncates
//! it there. An unreadable record in an earlier segment is corruption, and the log does not open.

use crate::disk::{Disk, DiskError, SegmentId};
use crate::frame::{decode, encode, FrameError};
use crate::record::Record;
use std::collections::VecDeque;

/// Why a log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk failed.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// A segment before the last one is corrupt, or a segment is missing between two others.
    #[error("segment {segment:016x}, offset {offset}: {reason}")]
    Corrupt {
        /// The segment.
        segment: u64,
        /// Offset of the unreadable record, in bytes.
        offset: usize,
        /// Why the record is unreadable.
        reason: FrameError,
    },
}

/// Why a record was not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The disk failed.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// An earlier operation failed, so nothing more is written to this log.
    #[error("the log is closed after a failure")]
    Closed,
    /// The record cannot be encoded, which is a bug.
    #[error("{0}")]
    Encode(#[from] postcard::Error),
}

#[derive(Debug)]
struct Segment {
    id: SegmentId,
    bytes: u64,
}

/// An open log.
#[derive(Debug)]
pub struct Log<D: Disk> {
    disk: D,
    segments: VecDeque<Segment>,
    /// Sequence number of the next record.
    next_sequence: u64,
    /// All records below this sequence number are durable.
    durable_below: u64,
    /// Once a segment has this many bytes, the next record starts a new one.
    segment_bytes: u64,
    closed: bool,
}

/// Result of recovery.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The records, with their sequence numbers.
    pub records: Vec<(u64, Record)>,
    /// Bytes of a torn record at the end, which recovery truncates.
    pub torn_bytes: u64,
}

/// Reads a log without changing it.
///
/// # Errors
///
/// If the disk fails, or a segment before the last one is corrupt.
pub fn inspect(disk: &mut impl Disk) -> Result<Recovered, OpenError> {
    scan(disk).map(|scan| scan.recovered)
}

/// Result of reading all segments.
struct Scan {
    recovered: Recovered,
    /// The segments, each with the length of its readable part.
    segments: VecDeque<Segment>,
    /// Sequence number of the next record.
    next_sequence: u64,
}

/// Reads all segments. Only the last one may end in a torn record.
fn scan(disk: &mut impl Disk) -> Result<Scan, OpenError> {
    let ids = disk.list()?;
    let mut scan = Scan {
        recovered: Recovered::default(),
        segments: VecDeque::new(),
        next_sequence: ids.first().map_or(1, |id| id.0),
    };
    for (index, id) in ids.iter().enumerate() {
        if id.0 != scan.next_sequence {
            return Err(OpenError::Corrupt {
                segment: id.0,
                offset: 0,
                reason: FrameError::SequenceMismatch,
            });
        }
        let bytes = disk.read(*id)?;
        let (end, error) = scan.read_segment(&bytes);
        if let Some(reason) = error {
            if index + 1 < ids.len() {
                return Err(OpenError::Corrupt {
                    segment: id.0,
                    offset: end,
                    reason,
                });
            }
            scan.recovered.torn_bytes = (bytes.len() - end) as u64;
        }
        scan.segments.push_back(Segment {
            id: *id,
            bytes: end as u64,
        });
    }
    Ok(scan)
}

impl Scan {
    /// Reads the records of a segment. Returns the length of its readable part, and why the next record is unreadable.
    fn read_segment(&mut self, bytes: &[u8]) -> (usize, Option<FrameError>) {
        let mut offset = 0;
        while offset < bytes.len() {
            match decode(&bytes[offset..], self.next_sequence) {
                Ok((record, length)) => {
                    self.recovered.records.push((self.next_sequence, record));
                    offset += length;
                    self.next_sequence += 1;
                }
                Err(reason) => return (offset, Some(reason)),
            }
        }
        (offset, None)
    }
}

impl<D: Disk> Log<D> {
    /// Opens a log and returns its records. A torn record at the end is truncated. Once a segment has `segment_bytes`, the next
    /// record starts a new one.
    ///
    /// # Errors
    ///
    /// If the disk fails, or a segment before the last one is corrupt.
    pub fn open(mut disk: D, segment_bytes: u64) -> Result<(Log<D>, Recovered), OpenError> {
        let Scan {
            recovered,
            segments,
            next_sequence,
        } = scan(&mut disk)?;
        if let Some(last) = segments.back().filter(|_| recovered.torn_bytes > 0) {
            disk.truncate(last.id, last.bytes)?;
        }
        let log = Log {
            disk,
            segments,
            next_sequence,
            durable_below: next_sequence,
            segment_bytes,
            closed: false,
        };
        Ok((log, recovered))
    }

    /// Appends a record, which is durable after the next successful [`Log::sync`]. Returns its sequence number.
    ///
    /// # Errors
    ///
    /// If the log is closed, or the disk fails, which closes it.
    pub fn append(&mut self, record: &Record) -> Result<u64, WriteError> {
        if self.closed {
            return Err(WriteError::Closed);
        }
        let written = self.write(record);
        // After a failure the end of the last segment is undefined, so the log is closed.
        self.closed |= written.is_err();
        written
    }

    fn write(&mut self, record: &Record) -> Result<u64, WriteError> {
        let frame = encode(self.next_sequence, record)?;
        if self
            .segments
            .back()
            .is_none_or(|segment| segment.bytes >= self.segment_bytes)
        {
            self.sync_last()?;
            let id = SegmentId(self.next_sequence);
            self.disk.create(id)?;
            self.segments.push_back(Segment { id, bytes: 0 });
        }
        if let Some(segment) = self.segments.back_mut() {
            self.disk.append(segment.id, &frame)?;
            segment.bytes += frame.len() as u64;
        }
        self.next_sequence += 1;
        Ok(self.next_sequence - 1)
    }

    /// Makes all appended records durable. Returns the sequence number below which all records are durable. A failed sync is
    /// not retried: the records that it covered count as not written, and the log is closed.
    ///
    /// # Errors
    ///
    /// If the log is closed, or the disk fails, which closes it.
    pub fn sync(&mut self) -> Result<u64, WriteError> {
        if self.closed {
            return Err(WriteError::Closed);
        }
        let synced = self.sync_last();
        self.closed |= synced.is_err();
        synced
            .map(|()| self.durable_below)
            .map_err(WriteError::Disk)
    }

    fn sync_last(&mut self) -> Result<(), DiskError> {
        if let Some(last) = self
            .segments
            .back()
            .filter(|_| self.durable_below < self.next_sequence)
        {
            self.disk.sync(last.id)?;
        }
        self.durable_below = self.next_sequence;
        Ok(())
    }

    /// Removes all segments that have no record from `needed_from` on, except the last segment. Returns how many were removed.
    ///
    /// # Errors
    ///
    /// If the disk fails.
    pub fn reclaim(&mut self, needed_from: u64) -> Result<usize, DiskError> {
        let mut removed = 0;
        while self
            .segments
            .get(1)
            .is_some_and(|second| second.id.0 <= needed_from)
        {
            if let Some(first) = self.segments.front() {
                self.disk.remove(first.id)?;
            }
            self.segments.pop_front();
            removed += 1;
        }
        Ok(removed)
    }

    /// Total bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Whether a failure has closed the log.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Sequence number of the next record.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Consumes the log and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }
}
