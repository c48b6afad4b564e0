//! The datagrams in which fronts tell each other of moves: at most 256 bytes, a version, a checksum.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `LX` |
//! | 1 | the form's version, 1 |
//! | 1 | how many moves follow, 1 to 6 |
//! | 4 | CRC-32 (IEEE 802.3) of all that follows, big-endian as all numbers |
//! | 8 | the incarnation of the authority whose epochs these are |
//! | 36 each | volume, first key, last key (8 each), shard (4, all ones: none), epoch (8) |

use crate::words::Change;
use lupinrack_policy::VolumeId;

/// The longest datagram that fronts may send each other.
pub const LONGEST: usize = 256;
/// Moves in one datagram.
pub const MOST: usize = (LONGEST - HEAD) / EACH;
const HEAD: usize = 16;
const EACH: usize = 36;
const MARK: [u8; 3] = [b'L', b'X', 1];

/// Why a datagram cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// Too short, too long, or of another length than its count says.
    #[error("a length that cannot be")]
    Length,
    /// Another program's, or a form that this version does not know.
    #[error("not a form that is known")]
    Form,
    /// Its checksum does not match.
    #[error("a wrong checksum")]
    Checksum,
    /// A range that ends before it begins, or an epoch of zero.
    #[error("a range that cannot be")]
    Range,
}

/// Words moves of one incarnation; at most [`MOST`] of them.
pub fn encode(incarnation: u64, changes: &[Change]) -> Vec<u8> {
    let changes = &changes[..changes.len().min(MOST)];
    let mut rest = Vec::with_capacity(LONGEST);
    rest.extend(incarnation.to_be_bytes());
    for c in changes {
        for n in [c.volume.0, c.first, c.last] {
            rest.extend(n.to_be_bytes());
        }
        rest.extend(c.shard.unwrap_or(u32::MAX).to_be_bytes());
        rest.extend(c.epoch.to_be_bytes());
    }
    let mut bytes = MARK.to_vec();
    bytes.push(changes.len() as u8);
    bytes.extend(crc32fast::hash(&rest).to_be_bytes());
    bytes.extend(rest);
    bytes
}

/// Reads a datagram: the incarnation, and the moves.
pub fn decode(bytes: &[u8]) -> Result<(u64, Vec<Change>), Unreadable> {
    if bytes.len() < HEAD + EACH || bytes.len() > LONGEST {
        return Err(Unreadable::Length);
    }
    let (head, rest) = bytes.split_at(8);
    if head[..3] != MARK {
        return Err(Unreadable::Form);
    }
    if rest.len() != 8 + usize::from(head[3]) * EACH {
        return Err(Unreadable::Length);
    }
    if crc32fast::hash(rest).to_be_bytes() != head[4..8] {
        return Err(Unreadable::Checksum);
    }
    let number = |b: &[u8]| b.iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
    let one = |b: &[u8]| {
        let (shard, epoch) = (number(&b[24..28]) as u32, number(&b[28..36]));
        let c = Change {
            volume: VolumeId(number(&b[..8])),
            first: number(&b[8..16]),
            last: number(&b[16..24]),
            shard: Some(shard).filter(|s| *s != u32::MAX),
            epoch,
        };
        if c.first > c.last || epoch == 0 {
            Err(Unreadable::Range)
        } else {
            Ok(c)
        }
    };
    let changes = rest[8..]
        .chunks_exact(EACH)
        .map(one)
        .collect::<Result<_, _>>()?;
    Ok((number(&rest[..8]), changes))
}
