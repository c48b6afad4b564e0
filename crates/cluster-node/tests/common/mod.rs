//! Small views and addresses for the tests.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::view::{View, Voter};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The address of the core process with this number.
pub fn core(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 4, number), 7000))
}

/// The disk of the core process with this number.
pub fn disk(number: u8) -> DiskId {
    DiskId(u64::from(number) * 0x0101_0101_0101_0101)
}

fn voter(number: u8) -> Voter {
    Voter {
        disk: disk(number),
        address: core(number),
        zone: "north".to_owned(),
    }
}

/// A view with these voters and this chain.
pub fn view(number: u64, voters: &[u8], chain: &[u8]) -> View {
    View {
        number,
        voters: voters.iter().copied().map(voter).collect(),
        chain: chain.iter().copied().map(disk).collect(),
    }
}
