//! Opening, using, replacing and closing connections.

use crate::support::{encoded, plain_peer, process, process_at, read_frame, request, within, ANY};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, SendOutcome};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[tokio::test]
async fn frames_go_both_ways_on_one_connection() {
    let (mut first, mut second) = (process(1), process(2));
    assert_eq!(
        first.peers.send(second.address, request(1)),
        SendOutcome::Pending
    );
    let PeerEvent::Frame {
        from,
        incarnation,
        frame: Frame::Hello(greeting),
        ..
    } = second.event().await
    else {
        panic!("no greeting")
    };
    assert_eq!(
        (from, incarnation, greeting.address),
        (first.address, 1, first.address)
    );
    assert_eq!(second.frame().await.0, request(1));
    let connection = first.greeted().await;

    assert!(matches!(
        second.peers.send(first.address, request(2)),
        SendOutcome::Sent { .. }
    ));
    assert_eq!(first.frame().await, (request(2), connection));
    assert_eq!(
        first.peers.send(second.address, request(3)),
        SendOutcome::Sent { connection }
    );
    assert_eq!(second.frame().await.0, request(3));
    assert!(first.peers.is_connected(second.address) && second.peers.is_connected(first.address));
}

#[tokio::test]
async fn many_frames_arrive_in_order() {
    let (mut first, mut second) = (process(1), process(2));
    first.peers.send(second.address, request(0));
    first.greeted().await;
    for id in 1..5000 {
        assert!(matches!(
            first.peers.send(second.address, request(id)),
            SendOutcome::Sent { .. }
        ));
    }
    second.greeted().await;
    for id in 0..5000 {
        assert_eq!(second.frame().await.0, request(id));
    }
}

#[tokio::test]
async fn a_closed_connection_is_opened_again_for_the_next_frame() {
    let (mut first, mut second) = (process(1), process(2));
    first.peers.send(second.address, request(1));
    let old = first.greeted().await;
    second.greeted().await;
    second.frame().await;

    first.peers.close(second.address);
    assert!(!first.peers.is_connected(second.address));
    assert!(!first.peers.send_on(old, request(9)));
    assert_eq!(first.closed().await, (old, false));
    second.closed().await;
    assert!(!second.peers.is_connected(first.address));

    first.peers.send(second.address, request(2));
    second.greeted().await;
    assert_eq!(second.frame().await.0, request(2));
    assert_ne!(first.greeted().await, old);
}

#[tokio::test]
async fn frames_are_pending_until_the_peer_listens() {
    let mut first = process(1);
    let place = TcpListener::bind(ANY).await.unwrap();
    let std::net::SocketAddr::V4(address) = place.local_addr().unwrap() else {
        panic!("not IPv4")
    };
    drop(place);
    assert_eq!(
        first.peers.send(PeerAddress(address), request(1)),
        SendOutcome::Pending
    );
    let mut second = process_at(address, 2, PeerSettings::default());
    assert_eq!(first.greeted().await, 1);
    second.greeted().await;
    assert_eq!(second.frame().await.0, request(1));
}

#[tokio::test]
async fn a_reply_goes_back_on_the_connection_of_its_request() {
    let mut first = process(1);
    let mut old = plain_peer(&first, 9, 2).await;
    let old_number = first.greeted().await;
    let mut new = plain_peer(&first, 9, 2).await;
    let new_number = first.greeted().await;
    let to = PeerAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));

    assert_eq!(
        first.peers.send(to, request(1)),
        SendOutcome::Sent {
            connection: new_number
        }
    );
    assert!(first.peers.send_on(old_number, request(2)));
    assert_eq!(read_frame(&mut new).await, request(1));
    assert_eq!(read_frame(&mut old).await, request(2));
    // The replaced connection is still read.
    old.write_all(&encoded(&request(3))).await.unwrap();
    assert_eq!(first.frame().await, (request(3), old_number));
    // When the newer one ends, the older one is used again.
    drop(new);
    assert_eq!(first.closed().await.0, new_number);
    assert_eq!(
        first.peers.send(to, request(4)),
        SendOutcome::Sent {
            connection: old_number
        }
    );
}

#[tokio::test]
async fn a_new_incarnation_of_the_peer_closes_connections_of_the_earlier_one() {
    let mut first = process(1);
    let mut old = plain_peer(&first, 9, 2).await;
    let old_number = first.greeted().await;
    let _new = plain_peer(&first, 9, 3).await;
    let mut new_number = None;
    let mut closed = None;
    while new_number.is_none() || closed.is_none() {
        match first.event().await {
            PeerEvent::Frame {
                connection,
                incarnation,
                ..
            } => new_number = Some((connection, incarnation)),
            PeerEvent::Closed { connection, .. } => closed = Some(connection),
        }
    }
    assert_eq!(closed, Some(old_number));
    assert_eq!(new_number.map(|(_, incarnation)| incarnation), Some(3));
    assert_eq!(within(old.read(&mut [0])).await.unwrap(), 0);
}

#[tokio::test]
async fn both_sides_may_open_at_once() {
    let (mut first, mut second) = (process(1), process(2));
    first.peers.send(second.address, request(1));
    second.peers.send(first.address, request(2));
    let mut seen = Vec::new();
    while seen.is_empty() {
        seen.extend(Some(second.frame().await.0).filter(|frame| !matches!(frame, Frame::Hello(_))));
    }
    assert_eq!(seen, [request(1)]);
    seen.clear();
    while seen.is_empty() {
        seen.extend(Some(first.frame().await.0).filter(|frame| !matches!(frame, Frame::Hello(_))));
    }
    assert_eq!(seen, [request(2)]);
}

#[tokio::test]
async fn the_last_reception_is_known_after_the_connection_ended() {
    let (mut first, mut second) = (process(1), process(2));
    assert_eq!(first.peers.last_received(second.address), None);
    first.peers.send(second.address, request(1));
    first.greeted().await;
    let received = first.peers.last_received(second.address).unwrap();
    second.greeted().await;
    second.peers.close(first.address);
    first.closed().await;
    assert_eq!(first.peers.last_received(second.address), Some(received));
}

#[tokio::test]
async fn a_process_may_send_to_itself() {
    let mut first = process(1);
    first.peers.send(first.address, request(1));
    let mut frames = Vec::new();
    while frames.len() < 3 {
        frames.push(first.frame().await.0);
    }
    assert!(frames.contains(&request(1)));
    assert!(matches!(
        first.peers.send(first.address, request(2)),
        SendOutcome::Sent { .. }
    ));
    assert_eq!(first.frame().await.0, request(2));
}
