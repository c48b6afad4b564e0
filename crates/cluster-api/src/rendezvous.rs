//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! IEEE/ACM Transactions on Networking 1998): all processes that know the same candidates choose
//! the same one for a key, and few keys move to another candidate when the set of candidates
//! changes.
//!
//! All processes must compute the same weights, so the functions here must not change.

use crate::identity::PeerAddress;

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The weight of a candidate for a key. The candidate with the highest weight is chosen.
pub fn weight(key: &[u8], candidate: u64) -> u64 {
    mix(fnv_1a(key) ^ candidate)
}

/// The weight of a process for a key.
pub fn address_weight(key: &[u8], address: PeerAddress) -> u64 {
    let PeerAddress(socket) = address;
    let number = u64::from(u32::from(*socket.ip())) << 16 | u64::from(socket.port());
    weight(key, mix(number))
}

/// Spreads every bit of a number over all bits of the result (the finalizer of splitmix64).
pub fn mix(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// 64-bit FNV-1a (Fowler, Noll and Vo).
fn fnv_1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
