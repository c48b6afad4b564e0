//! Helpers of the tests of internal connections.

use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Reply, Request};
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Any port of the loopback address.
pub const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// A timeout far above the duration of a passing test.
const STUCK: Duration = Duration::from_secs(20);

/// A process of the system with its connections.
pub struct Process {
    pub peers: Peers,
    pub events: mpsc::Receiver<PeerEvent>,
    pub address: PeerAddress,
}

pub fn hello(incarnation: u64) -> Hello {
    Hello {
        address: PeerAddress(ANY),
        role: Role::Core,
        zone: "z".into(),
        incarnation,
        disk: None,
    }
}

pub fn process(incarnation: u64) -> Process {
    process_with(incarnation, PeerSettings::default())
}

pub fn process_with(incarnation: u64, settings: PeerSettings) -> Process {
    process_at(ANY, incarnation, settings)
}

pub fn process_at(address: SocketAddrV4, incarnation: u64, settings: PeerSettings) -> Process {
    let (peers, events) = Peers::start(address, hello(incarnation), settings).unwrap();
    let address = PeerAddress(peers.local_address());
    Process {
        peers,
        events,
        address,
    }
}

impl Process {
    /// The next event.
    pub async fn event(&mut self) -> PeerEvent {
        within(self.events.recv())
            .await
            .expect("the process listens")
    }

    /// The next frame, with its connection; nothing else may come.
    pub async fn frame(&mut self) -> (Frame, u64) {
        match self.event().await {
            PeerEvent::Frame {
                frame, connection, ..
            } => (frame, connection),
            closed => panic!("{closed:?}"),
        }
    }

    /// The connection of the next greeting; nothing else may come.
    pub async fn greeted(&mut self) -> u64 {
        match self.frame().await {
            (Frame::Hello(_), connection) => connection,
            (other, _) => panic!("{other:?}"),
        }
    }

    /// Waits for the end of a connection, and ignores other events.
    pub async fn closed(&mut self) -> (u64, bool) {
        loop {
            if let PeerEvent::Closed {
                connection, reset, ..
            } = self.event().await
            {
                return (connection, reset);
            }
        }
    }
}

/// Awaits a future that must resolve.
pub async fn within<T>(future: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(STUCK, future)
        .await
        .expect("the test is stuck")
}

/// The identity of a call.
pub fn call_id(number: u64) -> CallId {
    CallId {
        incarnation: 1,
        number,
    }
}

/// A small frame with a number of its own.
pub fn request(id: u64) -> Frame {
    Frame::Request {
        id: call_id(id),
        remaining_ms: 1000,
        request: Request::ReadConfiguration,
    }
}

/// A frame with a text of this many bytes.
pub fn large(id: u64, bytes: usize) -> Frame {
    Frame::Reply {
        id: call_id(id),
        reply: Reply::ConfigurationDocument("x".repeat(bytes)),
    }
}

/// A frame on the wire.
pub fn encoded(frame: &Frame) -> Vec<u8> {
    let body = borsh::to_vec(frame).unwrap();
    let mut bytes = u32::try_from(body.len()).unwrap().to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Reads one frame from a plain socket.
pub async fn read_frame(stream: &mut TcpStream) -> Frame {
    let length = within(stream.read_u32_le()).await.unwrap();
    let mut body = vec![0; usize::try_from(length).unwrap()];
    within(stream.read_exact(&mut body)).await.unwrap();
    borsh::from_slice(&body).unwrap()
}

/// Connects a plain socket, sends a greeting with this port, and reads the greeting of the other side.
pub async fn plain_peer(to: &Process, port: u16, incarnation: u64) -> TcpStream {
    let mut stream = TcpStream::connect(to.address.0).await.unwrap();
    let mut greeting = hello(incarnation);
    greeting.address.0.set_port(port);
    stream
        .write_all(&encoded(&Frame::Hello(greeting)))
        .await
        .unwrap();
    assert!(matches!(read_frame(&mut stream).await, Frame::Hello(_)));
    stream
}
