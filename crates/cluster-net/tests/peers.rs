//! Internal connections between processes on loopback.

mod support;

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::wire::{Frame, FRAME_BYTES_MOST};
use lupinrack_cluster_net::peers::{PeerEvent, PeerSettings, SendOutcome};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::{
    encoded, hello, large, plain_peer, process, process_at, process_with, read_frame, request, within, ANY,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn frames_go_both_ways_on_one_connection() {
    let (mut first, mut second) = (process(1), process(2));
    assert_eq!(first.peers.send(second.address, request(1)), SendOutcome::Waiting);
    let PeerEvent::Frame { from, life, frame: Frame::Hello(greeting), .. } = second.event().await else {
        panic!("no greeting")
    };
    assert_eq!((from, life, greeting.address), (first.address, 1, first.address));
    assert_eq!(second.frame().await.0, request(1));
    let connection = first.greeted().await;

    assert!(matches!(second.peers.send(first.address, request(2)), SendOutcome::Sent { .. }));
    assert_eq!(first.frame().await, (request(2), connection));
    assert_eq!(first.peers.send(second.address, request(3)), SendOutcome::Sent { connection });
    assert_eq!(second.frame().await.0, request(3));
    assert!(first.peers.is_connected(second.address) && second.peers.is_connected(first.address));
}

#[tokio::test]
async fn many_frames_arrive_in_order() {
    let (mut first, mut second) = (process(1), process(2));
    first.peers.send(second.address, request(0));
    first.greeted().await;
    for id in 1..5000 {
        assert!(matches!(first.peers.send(second.address, request(id)), SendOutcome::Sent { .. }));
    }
    second.greeted().await;
    for id in 0..5000 {
        assert_eq!(second.frame().await.0, request(id));
    }
}

#[tokio::test]
async fn a_large_frame_arrives_whole() {
    let (first, mut second) = (process(1), process(2));
    let frame = large(7, FRAME_BYTES_MOST - 100);
    first.peers.send(second.address, request(1));
    second.greeted().await;
    second.frame().await;
    assert!(matches!(first.peers.send(second.address, &frame), SendOutcome::Sent { .. }));
    assert_eq!(second.frame().await.0, frame);
    first.peers.send(second.address, request(2));
    assert_eq!(second.frame().await.0, request(2));
}

#[tokio::test]
async fn a_frame_that_is_too_large_is_dropped_alone() {
    let (first, mut second) = (process(1), process(2));
    let frame = large(7, FRAME_BYTES_MOST);
    assert_eq!(first.peers.send(second.address, &frame), SendOutcome::Dropped);
    first.peers.send(second.address, request(1));
    second.greeted().await;
    second.frame().await;
    assert_eq!(first.peers.send(second.address, &frame), SendOutcome::Dropped);
    first.peers.send(second.address, request(2));
    assert_eq!(second.frame().await.0, request(2));
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
async fn frames_wait_until_the_peer_listens() {
    let mut first = process(1);
    let place = TcpListener::bind(ANY).await.unwrap();
    let std::net::SocketAddr::V4(address) = place.local_addr().unwrap() else { panic!("not IPv4") };
    drop(place);
    assert_eq!(first.peers.send(PeerAddress(address), request(1)), SendOutcome::Waiting);
    let mut second = process_at(address, 2, PeerSettings::default());
    assert_eq!(first.greeted().await, 1);
    second.greeted().await;
    assert_eq!(second.frame().await.0, request(1));
}

#[tokio::test(start_paused = true)]
async fn frames_that_waited_too_long_are_dropped() {
    let first = process(1);
    let listener = TcpListener::bind(ANY).await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { panic!("not IPv4") };
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
async fn the_oldest_waiting_frames_give_way() {
    let settings = PeerSettings { waiting_frames_most: 3, ..PeerSettings::default() };
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
async fn waiting_frames_are_bounded_in_bytes() {
    let settings = PeerSettings { waiting_bytes_most: 2500, ..PeerSettings::default() };
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
    let settings = PeerSettings { outgoing_bytes_most: 64 * 1024, ..PeerSettings::default() };
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
    // The socket itself ends too, after what the kernel had taken.
    let mut rest = Vec::new();
    let _ = within(stream.read_to_end(&mut rest)).await;
}

#[tokio::test]
async fn an_answer_goes_back_on_the_connection_that_asked() {
    let mut first = process(1);
    let mut old = plain_peer(&first, 9, 2).await;
    let old_number = first.greeted().await;
    let mut new = plain_peer(&first, 9, 2).await;
    let new_number = first.greeted().await;
    let to = PeerAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));

    assert_eq!(first.peers.send(to, request(1)), SendOutcome::Sent { connection: new_number });
    assert!(first.peers.send_on(old_number, request(2)));
    assert_eq!(read_frame(&mut new).await, request(1));
    assert_eq!(read_frame(&mut old).await, request(2));
    // The replaced connection is still read.
    old.write_all(&encoded(&request(3))).await.unwrap();
    assert_eq!(first.frame().await, (request(3), old_number));
    // Where the newer one ends, the older one serves again.
    drop(new);
    assert_eq!(first.closed().await.0, new_number);
    assert_eq!(first.peers.send(to, request(4)), SendOutcome::Sent { connection: old_number });
}

#[tokio::test]
async fn a_new_life_of_the_peer_ends_connections_of_the_old_one() {
    let mut first = process(1);
    let mut old = plain_peer(&first, 9, 2).await;
    let old_number = first.greeted().await;
    let _new = plain_peer(&first, 9, 3).await;
    let mut new_number = None;
    let mut closed = None;
    while new_number.is_none() || closed.is_none() {
        match first.event().await {
            PeerEvent::Frame { connection, life, .. } => new_number = Some((connection, life)),
            PeerEvent::Closed { connection, .. } => closed = Some(connection),
        }
    }
    assert_eq!(closed, Some(old_number));
    assert_eq!(new_number.map(|(_, life)| life), Some(3));
    assert_eq!(within(old.read(&mut [0])).await.unwrap(), 0);
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

/// What a process has to see of bytes that are no greeting: nothing at all.
async fn is_refused_as_greeting(bytes: &[u8]) {
    let mut first = process(1);
    let mut stream = TcpStream::connect(first.address.0).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    let _ = within(stream.read_to_end(&mut rest)).await;
    assert!(rest.is_empty());
    assert!(first.events.try_recv().is_err());
}

#[tokio::test]
async fn a_connection_without_a_greeting_is_closed() {
    is_refused_as_greeting(&encoded(&request(1))).await;
    is_refused_as_greeting(b"GET / HTTP/1.1\r\n\r\n").await;
    is_refused_as_greeting(&u32::MAX.to_le_bytes()).await;
    is_refused_as_greeting(&[0; 64]).await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_stays_silent_is_closed() {
    let first = process(1);
    let mut stream = TcpStream::connect(first.address.0).await.unwrap();
    assert_eq!(within(stream.read(&mut [0])).await.unwrap(), 0);
}

#[tokio::test]
async fn garbage_closes_a_connection() {
    let too_long = u32::try_from(FRAME_BYTES_MOST + 1).unwrap().to_le_bytes();
    let trailing = [&[2, 0, 0, 0][..], &[250, 250]].concat();
    let second_hello = encoded(&Frame::Hello(hello(2)));
    for bytes in [&too_long[..], &trailing, &second_hello] {
        let mut first = process(1);
        let mut stream = plain_peer(&first, 9, 2).await;
        let connection = first.greeted().await;
        stream.write_all(&encoded(&request(1))).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        assert_eq!(first.frame().await.0, request(1));
        assert_eq!(first.closed().await.0, connection);
        let mut rest = Vec::new();
        let _ = within(stream.read_to_end(&mut rest)).await;
    }
}

#[tokio::test]
async fn an_end_within_a_frame_is_a_reset() {
    let mut first = process(1);
    let mut stream = plain_peer(&first, 9, 2).await;
    let connection = first.greeted().await;
    stream.write_all(&encoded(&request(1))[..6]).await.unwrap();
    drop(stream);
    assert_eq!(first.closed().await, (connection, true));

    let stream = plain_peer(&first, 9, 2).await;
    let connection = first.greeted().await;
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
    assert_eq!(first.closed().await, (connection, true));

    let stream = plain_peer(&first, 9, 2).await;
    let connection = first.greeted().await;
    drop(stream);
    assert_eq!(first.closed().await, (connection, false));
}

#[tokio::test]
async fn another_process_at_the_address_is_not_taken_for_the_peer() {
    let mut first = process(1);
    let listener = TcpListener::bind(ANY).await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { panic!("not IPv4") };
    first.peers.send(PeerAddress(address), request(1));
    let (mut stream, _) = within(listener.accept()).await.unwrap();
    let mut other = hello(2);
    other.address.0.set_port(9);
    stream.write_all(&encoded(&Frame::Hello(other))).await.unwrap();
    assert!(matches!(first.event().await, PeerEvent::Closed { .. }));
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
async fn the_last_reception_is_known_after_the_end() {
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
async fn a_receiver_that_is_slow_holds_readers_up_and_loses_nothing() {
    let settings = PeerSettings { events_most: 1, ..PeerSettings::default() };
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
