//! Voters and views for the tests.

use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::view::{View, Voter};
use std::net::{Ipv4Addr, SocketAddrV4};

pub fn address(index: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7000))
}

/// The first disk of the machine with this index.
pub fn disk(index: u8) -> DiskId {
    DiskId(u64::from(index))
}

/// The machine with this index, in one of three zones.
pub fn voter(index: u8) -> Voter {
    Voter {
        disk: disk(index),
        address: address(index),
        zone: format!("zone-{}", index % 3),
    }
}

pub fn voters(indices: &[u8]) -> Vec<Voter> {
    indices.iter().map(|index| voter(*index)).collect()
}

pub fn view(number: u64, members: &[u8], chain: &[u8]) -> View {
    View {
        number,
        voters: voters(members),
        chain: chain.iter().map(|index| disk(*index)).collect(),
    }
}
