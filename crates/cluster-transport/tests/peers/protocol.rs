//! Violations of the protocol, and how connections end.

use crate::support::{encoded, hello, plain_peer, process, request, within, ANY};
use lupinrack_cluster_api::frame::{Frame, MAX_FRAME_BYTES};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_transport::peers::PeerEvent;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Checks that bytes that are not a greeting close the connection and cause no event.
async fn is_rejected_as_greeting(bytes: &[u8]) {
    let mut first = process(1);
    let mut stream = TcpStream::connect(first.address.0).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    let _ = within(stream.read_to_end(&mut rest)).await;
    assert!(rest.is_empty());
    assert!(first.events.try_recv().is_err());
    assert_eq!(first.peers.protocol_violations(), 1);
}

#[tokio::test]
async fn a_connection_without_a_greeting_is_closed() {
    is_rejected_as_greeting(&encoded(&request(1))).await;
    is_rejected_as_greeting(b"GET / HTTP/1.1\r\n\r\n").await;
    is_rejected_as_greeting(&u32::MAX.to_le_bytes()).await;
    is_rejected_as_greeting(&[0; 64]).await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_sends_nothing_is_closed() {
    let first = process(1);
    let mut stream = TcpStream::connect(first.address.0).await.unwrap();
    assert_eq!(within(stream.read(&mut [0])).await.unwrap(), 0);
}

#[tokio::test]
async fn malformed_bytes_close_a_connection() {
    let too_long = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_le_bytes();
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
        assert_eq!(first.peers.protocol_violations(), 1);
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
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(stream);
    assert_eq!(first.closed().await, (connection, true));

    let stream = plain_peer(&first, 9, 2).await;
    let connection = first.greeted().await;
    drop(stream);
    assert_eq!(first.closed().await, (connection, false));
    assert_eq!(
        first.peers.protocol_violations(),
        0,
        "an end is no violation"
    );
}

#[tokio::test]
async fn another_process_at_the_address_is_not_accepted_as_the_peer() {
    let mut first = process(1);
    let listener = TcpListener::bind(ANY).await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("not IPv4")
    };
    first.peers.send(PeerAddress(address), request(1));
    let (mut stream, _) = within(listener.accept()).await.unwrap();
    let mut other = hello(2);
    other.address.0.set_port(9);
    stream
        .write_all(&encoded(&Frame::Hello(other)))
        .await
        .unwrap();
    assert!(matches!(first.event().await, PeerEvent::Closed { .. }));
    assert_eq!(first.peers.protocol_violations(), 1);
}
