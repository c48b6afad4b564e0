//! The map as a file, for a front that starts again: a mark, a checksum, and the volumes known in full.

use crate::map::{Map, Volume};
use crate::words::{Change, Cover, Version};
use lupinrack_policy::{Micros, VolumeId};

const MARK: &[u8; 8] = b"LXMAP\0\0\x01";
const HEAD: usize = 12;

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    /// It is not such a file, or of another version.
    #[error("not a snapshot of this version")]
    Mark,
    /// Its checksum does not match.
    #[error("a wrong checksum")]
    Checksum,
    /// What the checksum covers cannot be read.
    #[error("{0}")]
    Form(#[from] postcard::Error),
}

/// Words the map; volumes in doubt are left out.
pub fn encode(version: Version, map: &Map) -> Vec<u8> {
    let known = |(id, v): (VolumeId, &Volume)| (v.whole && !v.doubt).then(|| cover(version, id, v));
    let mut volumes: Vec<Cover> = map.iter().filter_map(known).collect();
    volumes.sort_unstable_by_key(|c| c.volume);
    let body = postcard::to_allocvec(&(version, volumes)).unwrap_or_default();
    let mut bytes = MARK.to_vec();
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// A volume as an answer on it would have it.
pub fn cover(version: Version, volume: VolumeId, v: &Volume) -> Cover {
    let pieces = v.ranges.iter().filter(|p| p.shard.is_some());
    let change = |p: crate::Piece| Change {
        volume,
        first: p.first,
        last: p.last,
        shard: p.shard,
        epoch: p.epoch,
    };
    Cover {
        version,
        volume,
        first: 0,
        last: u64::MAX,
        extents: pieces.map(change).collect(),
    }
}

/// Reads such a file into an empty map; tells the version to go on from.
pub fn decode(now: Micros, bytes: &[u8], map: &mut Map) -> Result<Version, Unusable> {
    if bytes.len() < HEAD || !bytes.starts_with(MARK) {
        return Err(Unusable::Mark);
    }
    let (head, body) = bytes.split_at(HEAD);
    if crc32fast::hash(body).to_be_bytes() != head[8..] {
        return Err(Unusable::Checksum);
    }
    let (version, volumes): (Version, Vec<Cover>) = postcard::from_bytes(body)?;
    for cover in &volumes {
        map.expect(now, cover.volume, 0);
        map.cover(cover);
        map.shrink(|_| false);
    }
    Ok(version)
}
