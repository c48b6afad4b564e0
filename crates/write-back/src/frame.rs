//! Encoding of records in the log.
//!
//! A frame consists of the length of its body (4 bytes), the CRC-32 of sequence number and body (4), the sequence number (8)
//! and the body (postcard). Numbers are little-endian. The sequence number increases by one with each frame, also across
//! segments, so a frame left over from an earlier use of the file is not mistaken for a valid one.

use crate::record::Record;

/// Most bytes of the body of a frame; a longer one is corrupt. The body of a write has 64 KiB at most.
pub const MAX_BODY_BYTES: usize = 128 << 10;
/// Bytes of the header of a frame.
pub const HEADER_BYTES: usize = 16;

/// Offsets of the header fields.
const LENGTH_OFFSET: usize = 0;
const CHECKSUM_OFFSET: usize = 4;
const SEQUENCE_OFFSET: usize = 8;

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes end inside the frame. At the end of the log it is a torn write.
    #[error("it ends inside a record")]
    Truncated,
    /// The length is zero or above the limit.
    #[error("a record of a length that cannot be")]
    InvalidLength,
    /// The checksum does not match.
    #[error("a record with a wrong checksum")]
    ChecksumMismatch,
    /// The sequence number is not the expected one.
    #[error("a record out of sequence")]
    SequenceMismatch,
    /// This version cannot decode the body.
    #[error("a record of an unknown form")]
    UnknownBody,
}

/// Encodes a record as a frame.
///
/// # Errors
///
/// If the record cannot be encoded, which is a bug.
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

/// Decodes the frame at the start of `bytes`, which must have this sequence number. Returns the record and the frame length.
///
/// # Errors
///
/// If the bytes do not start with a valid frame that has this sequence number.
pub fn decode(bytes: &[u8], sequence: u64) -> Result<(Record, usize), FrameError> {
    let length = u32_at(bytes, LENGTH_OFFSET)? as usize;
    let checksum = u32_at(bytes, CHECKSUM_OFFSET)?;
    if length == 0 || length > MAX_BODY_BYTES {
        return Err(FrameError::InvalidLength);
    }
    let frame_bytes = HEADER_BYTES + length;
    let checked = bytes
        .get(SEQUENCE_OFFSET..frame_bytes)
        .ok_or(FrameError::Truncated)?;
    if crc32fast::hash(checked) != checksum {
        return Err(FrameError::ChecksumMismatch);
    }
    let (sequence_bytes, body) = checked.split_at(HEADER_BYTES - SEQUENCE_OFFSET);
    if sequence_bytes != sequence.to_le_bytes() {
        return Err(FrameError::SequenceMismatch);
    }
    let record = postcard::from_bytes(body).map_err(|_| FrameError::UnknownBody)?;
    Ok((record, frame_bytes))
}

fn u32_at(bytes: &[u8], offset: usize) -> Result<u32, FrameError> {
    let rest = bytes.get(offset..).ok_or(FrameError::Truncated)?;
    let number = rest.first_chunk().ok_or(FrameError::Truncated)?;
    Ok(u32::from_le_bytes(*number))
}
