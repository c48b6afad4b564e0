//! The log: records in segments, each named by the sequence number of its first record.
//!
//! A segment is synced before the next is made, so only the last can end in a torn record. Recovery stops there and cuts
//! it off; anything unreadable in an earlier segment is damage, and the log does not open.

use crate::disk::{Disk, DiskError, SegmentId};
use crate::frame::{decode, encode, FrameError};
use crate::record::Record;
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
        why: FrameError,
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
    /// It has no encoding, which is a defect.
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
    /// The sequence number of the next record.
    next: u64,
    /// All records below this one are durable.
    durable_below: u64,
    /// A segment longer than this is followed by a new one.
    segment_bytes: u64,
    closed: bool,
}

/// What recovery found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The records, with their sequence numbers.
    pub records: Vec<(u64, Record)>,
    /// Bytes of a torn end that were cut off.
    pub torn: u64,
}

/// Reads a log and changes nothing.
///
/// # Errors
///
/// Where the disk fails, or a segment before the last is damaged.
pub fn inspect(disk: &mut impl Disk) -> Result<Recovered, OpenError> {
    scan(disk).map(|scan| scan.found)
}

/// What a scan of all segments finds.
struct Scan {
    found: Recovered,
    /// The segments, up to their last good byte.
    segments: VecDeque<Segment>,
    /// The sequence number of the next record.
    next: u64,
}

/// Reads all segments. Only the last one may end in a torn record.
fn scan(disk: &mut impl Disk) -> Result<Scan, OpenError> {
    let ids = disk.list()?;
    let mut scan = Scan {
        found: Recovered::default(),
        segments: VecDeque::new(),
        next: ids.first().map_or(1, |id| id.0),
    };
    for (index, id) in ids.iter().enumerate() {
        if id.0 != scan.next {
            return Err(OpenError::Damaged {
                segment: id.0,
                offset: 0,
                why: FrameError::Sequence,
            });
        }
        let bytes = disk.read(*id)?;
        let (end, error) = scan.read_segment(&bytes);
        if let Some(why) = error {
            if index + 1 < ids.len() {
                return Err(OpenError::Damaged {
                    segment: id.0,
                    offset: end,
                    why,
                });
            }
            scan.found.torn = (bytes.len() - end) as u64;
        }
        scan.segments.push_back(Segment {
            id: *id,
            bytes: end as u64,
        });
    }
    Ok(scan)
}

impl Scan {
    /// Reads the records of a segment. Returns how many of its bytes are good, and why the next is not a record.
    fn read_segment(&mut self, bytes: &[u8]) -> (usize, Option<FrameError>) {
        let mut at = 0;
        while at < bytes.len() {
            match decode(&bytes[at..], self.next) {
                Ok((record, length)) => {
                    self.found.records.push((self.next, record));
                    at += length;
                    self.next += 1;
                }
                Err(why) => return (at, Some(why)),
            }
        }
        (at, None)
    }
}

impl<D: Disk> Log<D> {
    /// Opens a log and returns what it holds. A torn end is cut off; a segment that has more bytes than `segment_bytes` is
    /// followed by a new one.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or a segment before the last is damaged.
    pub fn open(mut disk: D, segment_bytes: u64) -> Result<(Log<D>, Recovered), OpenError> {
        let Scan {
            found,
            segments,
            next,
        } = scan(&mut disk)?;
        if let Some(last) = segments.back().filter(|_| found.torn > 0) {
            disk.truncate(last.id, last.bytes)?;
        }
        let log = Log {
            disk,
            segments,
            next,
            durable_below: next,
            segment_bytes,
            closed: false,
        };
        Ok((log, found))
    }

    /// Writes a record behind the others; it is durable once a [`Log::sync`] after it went well. Returns its sequence number.
    ///
    /// # Errors
    ///
    /// Where the disk fails, which closes the log, or the log is closed.
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

    /// Makes all that was written durable; returns the sequence number below which all is. A sync that failed is not tried
    /// again: what it covered counts as not written, and the log is closed.
    ///
    /// # Errors
    ///
    /// Where the disk fails, which closes the log, or the log is closed.
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
            .filter(|_| self.durable_below < self.next)
        {
            self.disk.sync(last.id)?;
        }
        self.durable_below = self.next;
        Ok(())
    }

    /// Removes the segments in which no record at or after `needed` is; the last one stays. Returns how many were removed.
    ///
    /// # Errors
    ///
    /// Where the disk fails.
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

    /// The sequence number of the next record.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The disk, when the log is done with.
    pub fn into_disk(self) -> D {
        self.disk
    }
}
