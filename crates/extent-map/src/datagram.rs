//! The datagrams in which fronts send each other changes: at most 256 bytes, with a format version and a checksum.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `LX` |
//! | 1 | format version, 1 |
//! | 1 | number of changes, 1 to 6 |
//! | 4 | CRC-32 (IEEE 802.3) of all bytes that follow; big-endian, like all numbers |
//! | 8 | incarnation of the authority, to which the epochs belong |
//! | 36 each | volume, first key, last key (8 each), shard (4, all ones: none), epoch (8) |

use crate::protocol::Change;
use lupinrack_policy::VolumeId;

/// The longest valid datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Changes in one datagram.
pub const MAX_CHANGES: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / CHANGE_BYTES;
const HEADER_BYTES: usize = 16;
const CHANGE_BYTES: usize = 36;
const MAGIC_AND_VERSION: [u8; 3] = [b'L', b'X', 1];

/// Why a datagram is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short, too long, or not the length that its number of changes requires.
    #[error("invalid datagram length")]
    Length,
    /// From another program, or in an unsupported format version.
    #[error("unknown datagram format or version")]
    Format,
    /// The checksum does not match.
    #[error("datagram checksum mismatch")]
    Checksum,
    /// A change has a last key before its first, or epoch 0.
    #[error("invalid key range or epoch")]
    InvalidChange,
}

/// Encodes the first [`MAX_CHANGES`] of the changes, which belong to one incarnation.
pub fn encode(incarnation: u64, changes: &[Change]) -> Vec<u8> {
    let changes = &changes[..changes.len().min(MAX_CHANGES)];
    let mut checked = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    checked.extend(incarnation.to_be_bytes());
    for change in changes {
        for number in [change.volume.0, change.first, change.last] {
            checked.extend(number.to_be_bytes());
        }
        checked.extend(change.shard.unwrap_or(u32::MAX).to_be_bytes());
        checked.extend(change.epoch.to_be_bytes());
    }
    let mut bytes = MAGIC_AND_VERSION.to_vec();
    bytes.push(changes.len() as u8);
    bytes.extend(crc32fast::hash(&checked).to_be_bytes());
    bytes.extend(checked);
    bytes
}

/// Decodes a datagram to the incarnation and the changes.
pub fn decode(bytes: &[u8]) -> Result<(u64, Vec<Change>), DecodeError> {
    if bytes.len() < HEADER_BYTES + CHANGE_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Length);
    }
    let (head, checked) = bytes.split_at(8);
    if head[..3] != MAGIC_AND_VERSION {
        return Err(DecodeError::Format);
    }
    if checked.len() != 8 + usize::from(head[3]) * CHANGE_BYTES {
        return Err(DecodeError::Length);
    }
    if crc32fast::hash(checked).to_be_bytes() != head[4..8] {
        return Err(DecodeError::Checksum);
    }
    let number = |bytes: &[u8]| {
        bytes
            .iter()
            .fold(0u64, |number, byte| number << 8 | u64::from(*byte))
    };
    let decode_change = |bytes: &[u8]| {
        let (shard, epoch) = (number(&bytes[24..28]) as u32, number(&bytes[28..36]));
        let change = Change {
            volume: VolumeId(number(&bytes[..8])),
            first: number(&bytes[8..16]),
            last: number(&bytes[16..24]),
            shard: Some(shard).filter(|shard| *shard != u32::MAX),
            epoch,
        };
        if change.first > change.last || epoch == 0 {
            Err(DecodeError::InvalidChange)
        } else {
            Ok(change)
        }
    };
    let changes = checked[8..]
        .chunks_exact(CHANGE_BYTES)
        .map(decode_change)
        .collect::<Result<_, _>>()?;
    Ok((number(&checked[..8]), changes))
}
