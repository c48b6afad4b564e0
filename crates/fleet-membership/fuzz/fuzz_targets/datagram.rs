//! Decodes arbitrary datagrams, and has a front receive them.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::wire::{Datagram, Keys, MAX_DATAGRAM_BYTES};
use lupinrack_fleet_membership::{Front, Source};

fuzz_target!(|data: &[u8]| {
    // The checksum is made valid, so that the fuzzer gets past it.
    let mut bytes = data.to_vec();
    bytes.extend(crc32(data));
    for front_count in [1, 5, 1024] {
        if let Ok(decoded) = Datagram::decode(&bytes, front_count, &Keys::default()) {
            assert!(decoded.encode(front_count, &Keys::default()).len() <= MAX_DATAGRAM_BYTES);
        }
    }
    let address = |i: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i));
    let member = (0..5).map(|i| Peer { name: format!("n{i}"), address: address(i) }).collect();
    let section = Section { enabled: true, name: "n0".into(), member, ..Section::default() };
    let mut front = Front::new(&section, 0, 7, 1, 1_000_000_000);
    let mut out = Vec::new();
    front.receive(1_000_000_100, Source::Peer(1), &bytes, &mut out);
    front.receive(1_000_000_200, Source::Unknown, &bytes, &mut out);
    front.tick(1_000_100_000, &mut out);
    assert!(out.len() < 64);
});

/// The CRC-32 that ends a datagram.
fn crc32(data: &[u8]) -> [u8; 4] {
    let mut crc = !0u32;
    for byte in data {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 };
        }
    }
    (!crc).to_le_bytes()
}
