//! The disk operations that the log needs, as a trait with a real and a simulated implementation.

use std::fmt::Debug;

/// Number of a segment: the sequence number of its first record. The file name is derived from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// Why a disk operation failed.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// No space left on the device.
    #[error("the disk is full")]
    Full,
    /// Any other failure.
    #[error("{0}")]
    Failed(String),
}

/// A directory of segments. A crash preserves all synced bytes; of the unsynced bytes, any part
/// may survive, regardless of the order in which they were written.
pub trait Disk: Debug {
    /// Lists all segments in ascending order.
    ///
    /// # Errors
    ///
    /// If the disk fails or the directory cannot be read.
    fn list(&mut self) -> Result<Vec<SegmentId>, DiskError>;
    /// Creates an empty segment. Its directory entry is durable after the first sync of the segment.
    ///
    /// # Errors
    ///
    /// If the disk fails or the segment exists.
    fn create(&mut self, segment: SegmentId) -> Result<(), DiskError>;
    /// Appends bytes to a segment.
    ///
    /// # Errors
    ///
    /// If the disk fails or has no space left.
    fn append(&mut self, segment: SegmentId, bytes: &[u8]) -> Result<(), DiskError>;
    /// Makes all appended bytes and the directory entry of a segment durable. A failed sync must not be retried: the bytes
    /// that it covered count as not written.
    ///
    /// # Errors
    ///
    /// If the disk fails or the segment does not exist.
    fn sync(&mut self, segment: SegmentId) -> Result<(), DiskError>;
    /// Reads a complete segment.
    ///
    /// # Errors
    ///
    /// If the disk fails or the segment does not exist.
    fn read(&mut self, segment: SegmentId) -> Result<Vec<u8>, DiskError>;
    /// Truncates a segment and syncs it.
    ///
    /// # Errors
    ///
    /// If the disk fails or the segment does not exist.
    fn truncate(&mut self, segment: SegmentId, length: u64) -> Result<(), DiskError>;
    /// Removes a segment.
    ///
    /// # Errors
    ///
    /// If the disk fails or the segment does not exist.
    fn remove(&mut self, segment: SegmentId) -> Result<(), DiskError>;
}
