//! The form of records in the log.
//!
//! A frame is the length of its body (4 bytes), the CRC-32 of the rest (4), its sequence number (8), and the body (postcard);
//! numbers are little-endian. The sequence rises by one from frame to frame, also over segments, so that a frame left over
//! from an earlier use of the same file is never mistaken for one of this.

use crate::record::Record;

/// Frames with a longer body are damage: the body of a write has 64 KiB at most.
pub const MAX_BODY_BYTES: usize = 128 << 10;
/// Bytes ahead of a frame's body.
pub const HEADER_BYTES: usize = 16;

/// Where the parts of the header begin.
const LENGTH_AT: usize = 0;
const CHECKSUM_AT: usize = 4;
const SEQUENCE_AT: usize = 8;

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes end inside it: it was torn, if nothing follows.
    #[error("it ends inside a record")]
    Short,
    /// Its length cannot be.
    #[error("a record of a length that cannot be")]
    Length,
    /// Its checksum does not match.
    #[error("a record with a wrong checksum")]
    Checksum,
    /// Its sequence number is not the next.
    #[error("a record out of sequence")]
    Sequence,
    /// Its body is of no form that this version knows.
    #[error("a record of an unknown form")]
    Form,
}

/// Encodes a record as a frame.
///
/// # Errors
///
/// Where the record has no encoding, which is a defect.
pub fn encode(sequence: u64, record: &Record) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_allocvec(record)?;
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&sequence.to_le_bytes());
    checksum.update(&body);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(checksum.finalize().to_le_bytes());
    frame.extend(sequence.to_le_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Decodes the frame at the front of `bytes`, which must have this sequence number. Returns its length, too.
///
/// # Errors
///
/// Why the bytes are not the frame with this sequence number.
pub fn decode(bytes: &[u8], sequence: u64) -> Result<(Record, usize), FrameError> {
    let length = number_at(bytes, LENGTH_AT)? as usize;
    let checksum = number_at(bytes, CHECKSUM_AT)?;
    if length == 0 || length > MAX_BODY_BYTES {
        return Err(FrameError::Length);
    }
    let frame_bytes = HEADER_BYTES + length;
    let checked = bytes
        .get(SEQUENCE_AT..frame_bytes)
        .ok_or(FrameError::Short)?;
    if crc32fast::hash(checked) != checksum {
        return Err(FrameError::Checksum);
    }
    let (sequence_bytes, body) = checked.split_at(HEADER_BYTES - SEQUENCE_AT);
    if sequence_bytes != sequence.to_le_bytes() {
        return Err(FrameError::Sequence);
    }
    let record = postcard::from_bytes(body).map_err(|_| FrameError::Form)?;
    Ok((record, frame_bytes))
}

fn number_at(bytes: &[u8], at: usize) -> Result<u32, FrameError> {
    let rest = bytes.get(at..).ok_or(FrameError::Short)?;
    let number = rest.first_chunk().ok_or(FrameError::Short)?;
    Ok(u32::from_le_bytes(*number))
}
