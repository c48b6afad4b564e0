//! Frames with their length, and the greeting that opens a connection.

use super::examples::assert_hex;
use super::sockets::{accepted, listener, read_frame, version_4, within, ANY};
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::core_heartbeat::CoreHeartbeat;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::request::{CallId, Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_transport::listen::bind_once;
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_golden_files::KeptExamples;
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Bytes of the text in a frame whose length does not fit into two bytes.
const LARGE_TEXT_BYTES: usize = 0x0001_0203;

fn address(last: u8, port: u16) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 20, 30, last), port))
}

fn hello(role: Role) -> Hello {
    let (name, last, zone, disk) = match role {
        Role::Frontend => ("frontend", 1, "zone-a", None),
        Role::Agent => ("agent", 2, "", None),
        Role::Core => ("core", 3, "zone-c", Some(DiskId(0x1112_1314_1516_1718))),
    };
    let incarnation = 0x0102_0304_0506_0700 + name.len() as u64;
    Hello {
        address: address(last, 7000 + u16::from(last)),
        role,
        zone: zone.to_owned(),
        incarnation,
        disk,
    }
}

fn greetings() -> Vec<(String, Hello)> {
    let roles = [
        ("frontend", Role::Frontend),
        ("agent", Role::Agent),
        ("core", Role::Core),
    ];
    roles
        .map(|(name, role)| (format!("hello, {name}"), hello(role)))
        .to_vec()
}

fn frames() -> Vec<(String, Frame)> {
    let id = CallId {
        incarnation: 0x2122_2324_2526_2728,
        number: 0x3132_3334_3536_3738,
    };
    let voter = Voter {
        disk: DiskId(0x41),
        address: address(4, 7004),
        zone: "zone-d".into(),
    };
    let view = View {
        number: 0x51,
        voters: vec![voter.clone()],
        chain: vec![DiskId(0x41), DiskId(0x42)],
    };
    let replica = ReplicaReport {
        caught_up: false,
        complete: true,
        needs_view: false,
    };
    let frames = [
        (
            "request",
            Frame::Request {
                id,
                remaining_ms: 0x6162,
                request: Request::ReadConfiguration,
            },
        ),
        (
            "reply",
            Frame::Reply {
                id,
                reply: Reply::Pending(0x7172),
            },
        ),
        (
            "heartbeat",
            Frame::Heartbeat(CoreHeartbeat {
                voter,
                view: view.clone(),
                disk_healthy: true,
                draining: false,
                replica,
                applied: 0,
                sent_at: Millis(1_000),
                acknowledges: None,
                linked: Vec::new(),
            }),
        ),
        ("view news", Frame::ViewUpdate(view)),
    ];
    frames
        .map(|(name, frame)| (name.to_owned(), frame))
        .to_vec()
}

fn start(hello: Hello) -> (Peers, mpsc::Receiver<PeerEvent>, SocketAddrV4) {
    let listener = bind_once(ANY).unwrap();
    let address = version_4(listener.local_addr().unwrap());
    let (peers, events) = Peers::start_on(listener, hello, PeerSettings::default()).unwrap();
    (peers, events, address)
}

/// The bytes that a process sends on a connection that it opens.
async fn sent(hello: Hello, frames: &[Frame]) -> Vec<Vec<u8>> {
    let (listener, to) = listener().await;
    let (peers, _events, _) = start(hello);
    for frame in frames {
        peers.send(PeerAddress(to), frame);
    }
    let mut stream = accepted(&listener).await;
    let mut sent = Vec::new();
    for _ in 0..=frames.len() {
        sent.push(read_frame(&mut stream).await);
    }
    peers.close(PeerAddress(to));
    let mut rest = Vec::new();
    within(stream.read_to_end(&mut rest)).await.unwrap();
    assert!(rest.is_empty(), "{rest:?}");
    sent
}

/// The first bytes that a process sends on a connection that it opens.
async fn greeting(hello: Hello) -> Vec<u8> {
    // Sending a frame opens a connection.
    let (_, frame) = frames().remove(0);
    sent(hello, &[frame]).await.remove(0)
}

/// The events of a process that receives these bytes on a connection that it accepts, and its own greeting.
async fn received(bytes: &[u8], count: usize) -> (Vec<PeerEvent>, Vec<u8>) {
    let (_peers, mut events, address) = start(hello(Role::Core));
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    for _ in 0..count {
        received.push(within(events.recv()).await.unwrap());
    }
    (received, read_frame(&mut stream).await)
}

#[tokio::test]
async fn greetings_and_frames() {
    let mut examples = Vec::new();
    for (name, hello) in greetings() {
        examples.push((name, greeting(hello).await));
    }
    let (names, values): (Vec<_>, Vec<_>) = frames().into_iter().unzip();
    examples.extend(
        names
            .into_iter()
            .zip(sent(hello(Role::Core), &values).await.split_off(1)),
    );
    let kept = assert_hex("frames.hex", &examples);
    for (name, hello) in greetings() {
        assert_taken(&kept, &name, &hello).await;
    }
}

/// Checks that the greeting and frames in the golden file are decoded to these values.
async fn assert_taken(kept: &KeptExamples, greeting: &str, hello: &Hello) {
    let mut bytes = kept.bytes(greeting);
    let mut expected = vec![Frame::Hello(hello.clone())];
    for (name, frame) in frames() {
        bytes.extend(kept.bytes(&name));
        expected.push(frame);
    }
    let (events, answer) = received(&bytes, expected.len()).await;
    for (event, expected) in events.into_iter().zip(expected) {
        let PeerEvent::Frame {
            from,
            role,
            incarnation,
            frame,
            ..
        } = event
        else {
            panic!("{event:?}")
        };
        assert_eq!(
            (from, role, incarnation),
            (hello.address, hello.role, hello.incarnation)
        );
        assert_eq!(frame, expected);
    }
    assert_eq!(
        answer,
        kept.bytes("hello, core"),
        "the greeting of the process that accepted"
    );
}

#[tokio::test]
async fn a_frame_whose_length_takes_three_bytes() {
    let id = CallId {
        incarnation: 0x8182,
        number: 0x9192,
    };
    let reply = Reply::ConfigurationDocument("x".repeat(LARGE_TEXT_BYTES));
    let frame = Frame::Reply { id, reply };
    let bytes = sent(hello(Role::Frontend), std::slice::from_ref(&frame))
        .await
        .remove(1);
    let (head, text) = bytes.split_at(bytes.len() - LARGE_TEXT_BYTES);
    assert!(text.iter().all(|byte| *byte == b'x'));
    let name = "reply up to its text".to_owned();
    let kept = assert_hex("large_frame.hex", &[(name.clone(), head.to_vec())]);
    let greeting = greeting(hello(Role::Agent)).await;
    let (mut events, _) = received(&[&greeting, &kept.bytes(&name)[..], text].concat(), 2).await;
    let Some(PeerEvent::Frame { frame: taken, .. }) = events.pop() else {
        panic!("no frame")
    };
    assert!(taken == frame);
}
