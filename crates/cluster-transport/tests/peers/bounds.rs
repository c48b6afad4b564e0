//! Limits on frames, queues and connections.

use crate::support::{large, plain_peer, process, process_with, read_frame, request, within, ANY};
use lupinrack_cluster_api::frame::{Frame, MAX_FRAME_BYTES};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_transport::peers::{PeerSettings, SendOutcome};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_large_frame_arrives_complete() {
    let (first, mut second) = (process(1), process(2));
    let frame = large(7, MAX_FRAME_BYTES - 100);
    first.peers.send(second.address, request(1));
    second.greeted().await;
    second.frame().await;
    assert!(matches!(
        first.peers.send(second.address, &frame),
        SendOutcome::Sent { .. }
    ));
    assert_eq!(second.frame().await.0, frame);
    first.peers.send(second.address, request(2));
    assert_eq!(second.frame().await.0, request(2));
}

#[tokio::test]
async fn a_frame_that_is_too_large_is_dropped_alone() {
    let (first, mut second) = (process(1), process(2));
    let frame = large(7, MAX_FRAME_BYTES);
    assert_eq!(
        first.peers.send(second.address, &frame),
        SendOutcome::Dropped
    );
    first.peers.send(second.address, request(1));
    second.greeted().await;
    second.frame().await;
    assert_eq!(
        first.peers.send(second.address, &frame),
        SendOutcome::Dropped
    );
    first.peers.send(second.address, request(2));
    assert_eq!(second.frame().await.0, request(2));
}

#[tokio::test(start_paused = true)]
async fn frames_that_are_pending_for_too_long_are_dropped() {
    let first = process(1);
    let listener = TcpListener::bind(ANY).await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("not IPv4")
    };
    let to = PeerAddress(address);
    drop(listener);
    first.peers.send(to, request(1));
    tokio::time::advance(Duration::from_millis(1001)).await;
    tokio::time::resume();
    let listener = TcpListener::bind(address).await.unwrap();
    first.peers.send(to, request(2));
    let (mut stream, _) = within(listener.accept()).await.unwrap();
    assert!(matches!(read_frame(&mut stream).await, Frame::Hello(_)));
    assert_eq!(read_frame(&mut stream).await, request(2));
}

#[tokio::test]
async fn the_oldest_pending_frames_are_dropped_first() {
    let settings = PeerSettings {
        max_pending_frames: 3,
        ..PeerSettings::default()
    };
    let first = process_with(1, settings);
    let mut second = process(2);
    for id in 0..10 {
        first.peers.send(second.address, request(id));
    }
    second.greeted().await;
    for id in 7..10 {
        assert_eq!(second.frame().await.0, request(id));
    }
}

#[tokio::test]
async fn pending_frames_are_bounded_in_bytes() {
    let settings = PeerSettings {
        max_pending_bytes: 2500,
        ..PeerSettings::default()
    };
    let first = process_with(1, settings);
    let mut second = process(2);
    for id in 0..5 {
        first.peers.send(second.address, large(id, 1000));
    }
    second.greeted().await;
    assert_eq!(second.frame().await.0, large(3, 1000));
    assert_eq!(second.frame().await.0, large(4, 1000));
}

#[tokio::test]
async fn a_peer_that_does_not_read_loses_its_connection() {
    let settings = PeerSettings {
        max_unwritten_bytes: 64 * 1024,
        ..PeerSettings::default()
    };
    let mut first = process_with(1, settings);
    let port = 9;
    let mut stream = plain_peer(&first, port, 2).await;
    let connection = first.greeted().await;
    let to = PeerAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
    let frame = large(1, 32 * 1024);
    while first.peers.send(to, &frame) != SendOutcome::Dropped {
        tokio::task::yield_now().await;
    }
    assert!(!first.peers.is_connected(to));
    assert_eq!(first.closed().await.0, connection);
    // The socket ends too, after the bytes that the kernel had accepted.
    let mut rest = Vec::new();
    let _ = within(stream.read_to_end(&mut rest)).await;
}

#[tokio::test]
async fn replaced_connections_do_not_pile_up() {
    let mut first = process(1);
    let mut oldest = plain_peer(&first, 9, 2).await;
    let mut newer = Vec::new();
    for _ in 0..3 {
        newer.push(plain_peer(&first, 9, 2).await);
    }
    assert_eq!(within(oldest.read(&mut [0])).await.unwrap(), 0);
    assert_eq!(first.closed().await.0, 1);
}

#[tokio::test]
async fn a_slow_receiver_delays_readers_and_loses_nothing() {
    let settings = PeerSettings {
        max_queued_events: 1,
        ..PeerSettings::default()
    };
    let (mut first, mut second) = (process(1), process_with(2, settings));
    first.peers.send(second.address, request(0));
    first.greeted().await;
    for id in 1..1000 {
        first.peers.send(second.address, large(id, 2000));
    }
    second.greeted().await;
    assert_eq!(second.frame().await.0, request(0));
    for id in 1..1000 {
        assert_eq!(second.frame().await.0, large(id, 2000));
    }
}
