//! Membership over real sockets on loopback.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_node::clock::Clock;
use lupinrack_cluster_node::membership::Membership;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

/// Far more than joining takes, for a machine that is busy.
const JOIN_MOST: Duration = Duration::from_secs(60);

/// An address on loopback that is free at this moment.
fn free_address() -> PeerAddress {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    match socket.local_addr() {
        Ok(SocketAddr::V4(address)) => PeerAddress(address),
        other => panic!("an address of version 4, not {other:?}"),
    }
}

fn start(address: PeerAddress, seed: PeerAddress, incarnation: u64) -> Membership {
    let own = LiveMember {
        address,
        role: Role::Core,
        zone: "east".to_string(),
        process_incarnation: incarnation,
    };
    Membership::start(own, vec![seed], SwimSettings::default(), Clock::start())
}

async fn until(holds: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > JOIN_MOST {
            return false;
        }
        tokio::task::yield_now().await;
    }
    true
}

#[tokio::test]
async fn processes_find_one_another_and_notice_who_leaves() {
    let seed = free_address();
    let members: Vec<Membership> = [seed, free_address(), free_address()]
        .into_iter()
        .zip(1..)
        .map(|(address, incarnation)| start(address, seed, incarnation))
        .collect();
    let sizes = |members: &[Membership], size| {
        members
            .iter()
            .all(|one| one.table().members().len() == size)
    };
    assert!(
        until(|| sizes(&members, 3)).await,
        "three processes find one another"
    );
    members[2].shut_down();
    assert!(
        until(|| sizes(&members[..2], 2)).await,
        "the others notice who leaves"
    );
}

#[tokio::test]
async fn a_process_without_its_port_goes_on_without_membership() {
    let taken = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    let Ok(SocketAddr::V4(address)) = taken.local_addr() else {
        panic!("an address of version 4")
    };
    let membership = start(
        PeerAddress(address),
        PeerAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9)),
        1,
    );
    assert!(membership.table().members().is_empty());
}
