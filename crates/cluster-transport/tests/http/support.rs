//! Helpers of the tests of the HTTP server.

use http::Method;
use lupinrack_cluster_transport::http_server::{
    serve, HttpLimits, HttpRequest, HttpResponse, ServerHandle,
};
use lupinrack_cluster_transport::listen::bind_once;
use lupinrack_cluster_transport::shared_value::SharedValue;
use std::collections::HashMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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

pub fn server<F, A>(limits: HttpLimits, handler: F) -> ServerHandle
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    serve(
        bind_once(ANY).unwrap(),
        Arc::new(SharedValue::new(limits)),
        handler,
    )
    .unwrap()
}

/// A server that answers each request with its method, path and body.
pub fn echo(limits: HttpLimits) -> ServerHandle {
    server(limits, |call| async move {
        let body = format!(
            "{} {} {}",
            call.method,
            call.path,
            String::from_utf8_lossy(&call.body)
        );
        HttpResponse::json(body)
    })
}

/// A response as a client receives it.
#[derive(Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl ReceivedResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn is_last(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub async fn connect(server: &ServerHandle) -> Client {
        Client {
            stream: TcpStream::connect(server.local_address()).await.unwrap(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    pub async fn ask(&mut self, method: Method, path: &str, body: &str) -> ReceivedResponse {
        self.send(&request(method, path, body)).await;
        self.answer().await
    }

    /// The next response, which must exist.
    pub async fn answer(&mut self) -> ReceivedResponse {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(within(self.stream.read_u8()).await.expect("an answer"));
        }
        let head = String::from_utf8(head).unwrap();
        let mut lines = head.trim_end().split("\r\n");
        let status = lines
            .next()
            .unwrap()
            .split(' ')
            .nth(1)
            .unwrap()
            .parse()
            .unwrap();
        let headers: HashMap<_, _> = lines.map(header).collect();
        let length = headers
            .get("content-length")
            .map_or(0, |length| length.parse().unwrap());
        let mut body = vec![0; length];
        within(self.stream.read_exact(&mut body)).await.unwrap();
        ReceivedResponse {
            status,
            headers,
            body: String::from_utf8(body).unwrap(),
        }
    }

    /// Whether the server closes the connection without sending another byte.
    pub async fn is_closed(&mut self) -> bool {
        within(self.stream.read(&mut [0])).await.unwrap_or(0) == 0
    }
}

fn header(line: &str) -> (String, String) {
    let (name, value) = line.split_once(": ").unwrap();
    (name.to_ascii_lowercase(), value.to_owned())
}

/// A request on the wire.
pub fn request(method: Method, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
