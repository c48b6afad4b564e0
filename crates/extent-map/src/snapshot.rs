//! The map in a file, so that a restarted front need not fetch it: magic bytes, a checksum, and the volumes that are
//! known completely.

use crate::map::{Map, Volume};
use crate::protocol::{Change, FetchResponse, Version};
use lupinrack_policy::{Micros, VolumeId};

const MAGIC_AND_VERSION: &[u8; 8] = b"LXMAP\0\0\x01";
const HEADER_BYTES: usize = 12;

/// Why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The file is not a snapshot, or has another format version.
    #[error("not a snapshot of this version")]
    Magic,
    /// The checksum does not match.
    #[error("snapshot checksum mismatch")]
    Checksum,
    /// The body cannot be decoded, although its checksum matches.
    #[error("{0}")]
    Body(#[from] postcard::Error),
}

/// Encodes the map. Volumes that are incomplete or may be stale are skipped.
pub fn encode(version: Version, map: &Map) -> Vec<u8> {
    let current = |(id, volume): (VolumeId, &Volume)| {
        (volume.complete && !volume.may_be_stale).then(|| as_response(version, id, volume))
    };
    let mut volumes: Vec<FetchResponse> = map.iter().filter_map(current).collect();
    volumes.sort_unstable_by_key(|response| response.volume);
    let body = postcard::to_allocvec(&(version, volumes)).unwrap_or_default();
    let mut bytes = MAGIC_AND_VERSION.to_vec();
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// A volume in the form in which the authority answers a fetch of it.
pub fn as_response(version: Version, volume: VolumeId, cached: &Volume) -> FetchResponse {
    let covered = cached.ranges.iter().filter(|range| range.shard.is_some());
    let change = |range: crate::KeyRange| Change {
        volume,
        first: range.first,
        last: range.last,
        shard: range.shard,
        epoch: range.epoch,
    };
    FetchResponse {
        version,
        volume,
        first: 0,
        last: u64::MAX,
        extents: covered.map(change).collect(),
    }
}

/// Decodes a snapshot into an empty map. Returns the version from which the stream continues.
pub fn decode(now: Micros, bytes: &[u8], map: &mut Map) -> Result<Version, DecodeError> {
    if bytes.len() < HEADER_BYTES || !bytes.starts_with(MAGIC_AND_VERSION) {
        return Err(DecodeError::Magic);
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    if crc32fast::hash(body).to_be_bytes() != header[8..] {
        return Err(DecodeError::Checksum);
    }
    let (version, volumes): (Version, Vec<FetchResponse>) = postcard::from_bytes(body)?;
    for response in &volumes {
        map.add_pending(now, response.volume, 0);
        map.apply_fetch(response);
        map.evict(|_| false);
    }
    Ok(version)
}
