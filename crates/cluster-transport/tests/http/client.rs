//! The HTTP client against the HTTP server, and against servers that fail.

use crate::support::{server, within, ANY};
use bytes::Bytes;
use http::{header, Method, Request};
use lupinrack_cluster_transport::http_client::{call, CallError};
use lupinrack_cluster_transport::http_server::{
    HttpLimits, HttpResponse, IfMatch, DEADLINE_REMAINING,
};
use lupinrack_cluster_transport::listen::bind_once;
use std::future::pending;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(10);

fn version_4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("not IPv4"),
    }
}

fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).unwrap()
}

#[tokio::test]
async fn a_call_returns_the_response() {
    let server = server(HttpLimits::default(), |call| async move {
        assert_eq!(
            (call.method, call.if_match),
            (Method::PUT, IfMatch::Version(4))
        );
        assert_eq!(
            (call.host.as_str(), call.deadline_remaining_ms),
            ("127.0.0.1", Some(9))
        );
        HttpResponse {
            body: call.body,
            ..HttpResponse::redirect(call.path)
        }
    });
    let address = version_4(server.local_address());
    let request = Request::put("/there")
        .header(header::IF_MATCH, "4")
        .header(DEADLINE_REMAINING, "9");
    let response = call(address, request.body(Bytes::from("text")).unwrap(), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        (
            response.status().as_u16(),
            response.headers()[header::LOCATION].as_bytes()
        ),
        (307, &b"/there"[..])
    );
    assert_eq!(response.body(), "text");
}

#[tokio::test]
async fn the_host_of_the_request_is_not_replaced() {
    let server = server(HttpLimits::default(), |call| async move {
        HttpResponse::json(call.host)
    });
    let request = Request::get("/")
        .header(header::HOST, "some.example")
        .body(Bytes::new())
        .unwrap();
    let response = call(version_4(server.local_address()), request, TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response.body(), "some.example");
}

#[tokio::test]
async fn a_refused_connection_has_its_own_error() {
    let listener = bind_once(ANY).unwrap();
    let address = version_4(listener.local_addr().unwrap());
    drop(listener);
    let result = call(address, get("/"), TIMEOUT).await;
    assert!(matches!(result, Err(CallError::Connect(_))), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn a_call_without_a_response_times_out() {
    let server = server(HttpLimits::default(), |_| pending());
    let result = call(version_4(server.local_address()), get("/"), TIMEOUT).await;
    assert!(matches!(result, Err(CallError::TimedOut)), "{result:?}");
}

/// The result of a call whose request is answered with these bytes and the end of the connection.
async fn response_of_bytes(bytes: &'static [u8]) -> Result<http::Response<Bytes>, CallError> {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let address = version_4(listener.local_addr().unwrap());
    let answer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .read_buf(&mut Vec::with_capacity(4096))
            .await
            .unwrap();
        stream.write_all(bytes).await.unwrap();
    };
    let (result, ()) =
        within(async { tokio::join!(call(address, get("/"), TIMEOUT), answer) }).await;
    result
}

#[tokio::test]
async fn a_truncated_response_is_an_error() {
    for bytes in [
        &b""[..],
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        b"nonsense\r\n\r\n",
    ] {
        let result = response_of_bytes(bytes).await;
        assert!(matches!(result, Err(CallError::Http(_))), "{result:?}");
    }
}

#[tokio::test]
async fn a_response_may_end_with_its_connection() {
    let response = response_of_bytes(b"HTTP/1.1 200 OK\r\n\r\nabc")
        .await
        .unwrap();
    assert_eq!(response.body(), "abc");
}
