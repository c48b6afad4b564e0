//! Plain sockets on loopback.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::{TcpListener, TcpStream};

/// Any port of the loopback address.
pub const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// A timeout far above the duration of a passing test.
const STUCK: Duration = Duration::from_secs(60);

/// Awaits a future that must resolve.
pub async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(STUCK, future)
        .await
        .expect("the test is stuck")
}

/// A listening socket and its address.
pub async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let address = version_4(listener.local_addr().unwrap());
    (listener, address)
}

/// The next connection.
pub async fn accepted(listener: &TcpListener) -> TcpStream {
    within(listener.accept()).await.unwrap().0
}

/// The address as an IPv4 address.
pub fn version_4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("not IPv4"),
    }
}

/// Reads one frame with its length.
pub async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    within(stream.read_exact(&mut bytes)).await.unwrap();
    let length = u32::from_le_bytes(bytes[..].try_into().unwrap());
    bytes.resize(4 + usize::try_from(length).unwrap(), 0);
    within(stream.read_exact(&mut bytes[4..])).await.unwrap();
    bytes
}

/// Reads one HTTP message, with a body as long as its head says.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(within(stream.read_u8()).await.expect("a whole head"));
    }
    let head = String::from_utf8(bytes).unwrap();
    let mut body = vec![0; body_length(&head)];
    within(stream.read_exact(&mut body)).await.unwrap();
    head + &String::from_utf8(body).unwrap()
}

/// The body length from the head of an HTTP message.
fn body_length(head: &str) -> usize {
    let mut lengths = head.lines().filter_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    lengths.next_back().unwrap_or(0)
}
