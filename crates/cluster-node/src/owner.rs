//! Which process owns which shard: the same rule at every process that knows the view.

use lupinrack_cluster_api::identity::{DiskId, PeerAddress, ServiceName};
use lupinrack_cluster_api::view::View;

/// The member of the chain that owns a service, by rendezvous hashing: few shards move when the chain changes.
pub fn owner_of(view: &View, service: &ServiceName) -> Option<DiskId> {
    let weigh = |disk: &DiskId| mix(fold(service.0.as_bytes()) ^ disk.0);
    view.chain.iter().copied().max_by_key(weigh)
}

/// The address of the owner's process.
pub fn owner_address(view: &View, service: &ServiceName) -> Option<PeerAddress> {
    view.address(owner_of(view, service)?)
}

/// FNV-1a over bytes.
fn fold(bytes: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Spreads every bit of a number over all bits of the result.
fn mix(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
