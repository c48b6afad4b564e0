//! Rendezvous hashing: everybody who knows the same candidates chooses the same one for a key, and few keys move when
//! the candidates change.

use crate::identity::PeerAddress;

/// The weight of a candidate for a key; the candidate of the greatest weight is chosen.
pub fn weight(key: &[u8], candidate: u64) -> u64 {
    mix(fold(key) ^ candidate)
}

/// The weight of a process for a key.
pub fn address_weight(key: &[u8], address: PeerAddress) -> u64 {
    let PeerAddress(socket) = address;
    let number = u64::from(u32::from(*socket.ip())) << 16 | u64::from(socket.port());
    weight(key, mix(number))
}

/// FNV-1a over bytes.
fn fold(bytes: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Spreads every bit of a number over all bits of the result.
pub fn mix(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
