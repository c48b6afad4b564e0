//! Membership over real sockets on loopback.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_node::clock::Clock;
use lupinrack_cluster_node::membership::Membership;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

/// Far longer than joining takes, to allow for a busy machine.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

/// A loopback address with a UDP port that is currently free.
fn free_address() -> PeerAddress {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    match socket.local_addr() {
        Ok(SocketAddr::V4(address)) => PeerAddress(address),
        other => panic!("expected an IPv4 address, got {other:?}"),
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

async fn wait_until(condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while !condition() {
        if began.elapsed() > JOIN_TIMEOUT {
            return false;
        }
        tokio::task::yield_now().await;
    }
    true
}

#[tokio::test]
async fn processes_discover_each_other_and_notice_a_shutdown() {
    let seed = free_address();
    let members: Vec<Membership> = [seed, free_address(), free_address()]
        .into_iter()
        .zip(1..)
        .map(|(address, incarnation)| start(address, seed, incarnation))
        .collect();
    let all_have = |members: &[Membership], size| {
        members
            .iter()
            .all(|one| one.table().members().len() == size)
    };
    assert!(
        wait_until(|| all_have(&members, 3)).await,
        "three processes discover each other"
    );
    members[2].shut_down();
    assert!(
        wait_until(|| all_have(&members[..2], 2)).await,
        "the other processes notice the shutdown"
    );
}

#[tokio::test]
async fn a_process_whose_port_is_taken_runs_without_membership() {
    let taken = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    let Ok(SocketAddr::V4(address)) = taken.local_addr() else {
        panic!("expected an IPv4 address")
    };
    let membership = start(
        PeerAddress(address),
        PeerAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9)),
        1,
    );
    assert!(membership.table().members().is_empty());
}
