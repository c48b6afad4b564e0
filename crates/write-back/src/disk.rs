//! What the log needs of a disk: few calls, so that a real folder and a simulated one are the same to it.

use std::fmt::Debug;

/// A segment's number; its file's name follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// There is no space left.
    #[error("the disk is full")]
    Full,
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

/// A folder of segments. After a crash what was synced is there, of the rest any part may be, in any order.
pub trait Disk: Debug {
    /// All segments, in order.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or the folder cannot be read.
    fn list(&mut self) -> Result<Vec<SegmentId>, DiskError>;
    /// Makes an empty segment; its name is durable once it is synced.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or the segment is there already.
    fn create(&mut self, segment: SegmentId) -> Result<(), DiskError>;
    /// Writes at the end of a segment.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or there is no space left.
    fn append(&mut self, segment: SegmentId, bytes: &[u8]) -> Result<(), DiskError>;
    /// Makes all that was written to a segment, and its name, durable. One that failed is never tried again as if nothing
    /// had happened: what it covered counts as not written.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or the segment is not there.
    fn sync(&mut self, segment: SegmentId) -> Result<(), DiskError>;
    /// Reads a complete segment.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or the segment is not there.
    fn read(&mut self, segment: SegmentId) -> Result<Vec<u8>, DiskError>;
    /// Cuts a segment to a length, durably.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or the segment is not there.
    fn truncate(&mut self, segment: SegmentId, length: u64) -> Result<(), DiskError>;
    /// Removes a segment.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or the segment is not there.
    fn remove(&mut self, segment: SegmentId) -> Result<(), DiskError>;
}
