//! The checksum of a snapshot.

/// The checksum of a snapshot's bytes: a variant of FNV-1a that takes words of eight bytes,
/// little-endian, then the remaining bytes, and rotates after each step. It guards against faults,
/// not against forgery.
pub fn checksum(bytes: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, word: u64| (hash ^ word).wrapping_mul(PRIME).rotate_left(23);
    let (words, rest) = bytes.as_chunks::<8>();
    let hash = words
        .iter()
        .fold(BASIS, |hash, word| mix(hash, u64::from_le_bytes(*word)));
    rest.iter()
        .fold(hash, |hash, byte| mix(hash, u64::from(*byte)))
}
