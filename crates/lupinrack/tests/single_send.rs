//! Requests that must not be retried: once the first attempt may have run, no second one reaches a node, and a late response
//! reaches no client.

mod common;

use common::front::{get, start_with_settings, Fronts, SETTINGS};
use lupinrack::settings::{self, FrontSettings};
use mock_servers::scripted::{head, manual_node, reset};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const BODY: &[u8] = b"body";
/// Most marker requests that a front may reject before one reaches the node.
const MAX_MARKERS: u32 = 100;
/// Timeout of a single step, far above what a working front needs.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings in which no write may be retried.
fn settings_without_retries() -> FrontSettings {
    let single_shot = r#""repeat": "single_shot", "worth": 2.0"#;
    let guarded = r#""repeat": "guarded", "window": 4000.0, "worth": 2.0"#;
    assert!(SETTINGS.contains(guarded));
    settings::parse_json(&serde_json::from_str(&SETTINGS.replace(guarded, single_shot)).unwrap())
        .unwrap()
}

async fn front(node: SocketAddr) -> Fronts {
    start_with_settings(
        settings_without_retries(),
        node,
        &[("n0", node)],
        "priority",
        4_000,
    )
    .await
}

fn write(id: u32, deadline_ms: u64) -> String {
    let length = format!("Content-Length: {}\r\nX-Plan", BODY.len());
    let head = get(id, "priority", 1, deadline_ms).replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let head = head
        .replacen("GET /read", "PUT /new-write", 1)
        .replacen("X-Plan", &length, 1);
    head + std::str::from_utf8(BODY).unwrap()
}

/// Sends a request on a new connection.
async fn client(fronts: &Fronts, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn read_response(mut client: TcpStream) -> String {
    let mut response = Vec::new();
    timeout(STEP_TIMEOUT, client.read_to_end(&mut response))
        .await
        .expect("the connection ends")
        .unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

fn id_of(head: &str) -> String {
    let head = head.to_lowercase();
    let rest = head.split("x-request-id: ").nth(1).expect("an id");
    rest.split("\r\n").next().unwrap_or_default().to_owned()
}

/// Reads the next complete request at the node and returns its id.
async fn request_at(node: &mut TcpStream) -> String {
    let id = id_of(&timeout(STEP_TIMEOUT, head(node)).await.expect("a request"));
    let mut body = vec![0; BODY.len()];
    timeout(STEP_TIMEOUT, node.read_exact(&mut body))
        .await
        .expect("a body")
        .unwrap();
    assert_eq!(body, BODY);
    id
}

async fn connection(node_connections: &mut mpsc::UnboundedReceiver<TcpStream>) -> TcpStream {
    timeout(STEP_TIMEOUT, node_connections.recv())
        .await
        .expect("a connection")
        .unwrap()
}

/// Sends marker requests with ids from `from` on until one reaches the node, which serves it. A retry of an earlier request
/// would arrive before the marker. A front that has just lost a response may reject some markers first.
async fn assert_marker_is_next(
    fronts: &Fronts,
    node_connections: &mut mpsc::UnboundedReceiver<TcpStream>,
    from: u32,
) {
    for id in from..from + MAX_MARKERS {
        let marker = read_response(client(fronts, &write(id, 4_000)).await);
        tokio::pin!(marker);
        let mut node = tokio::select! {
            biased;
            node = connection(node_connections) => node,
            early_response = &mut marker => {
                assert!(!early_response.starts_with("HTTP/1.1 200"), "{early_response}");
                continue;
            }
        };
        assert_eq!(
            request_at(&mut node).await,
            format!("{id:016x}"),
            "no retry was sent before the marker"
        );
        node.write_all(OK).await.unwrap();
        let response = marker.await;
        assert!(
            response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\nwhole"),
            "{response}"
        );
        return;
    }
    panic!("no marker reached the node");
}

#[tokio::test]
async fn a_request_that_may_have_run_is_not_retried_after_any_truncated_response() {
    let (address, mut node_connections) = manual_node().await;
    let fronts = front(address).await;
    let truncated: [(&[u8], bool); 8] = [
        (b"", true),
        (b"", false),
        (b"HTTP/1.1 200 OK\r\nConte", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
        (b"\x00\xff noise \r\n\r\n", false),
        (b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", false),
        // A 503 that does not say that the request never ran.
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false),
    ];
    for (case, (prefix, by_reset)) in (0..).zip(truncated) {
        let id = 1 + 2 * case * MAX_MARKERS;
        let client = client(&fronts, &write(id, 4_000)).await;
        let mut node = connection(&mut node_connections).await;
        assert_eq!(request_at(&mut node).await, format!("{id:016x}"));
        node.write_all(prefix).await.unwrap();
        if by_reset {
            reset(node);
        } else {
            drop(node);
        }
        let response = read_response(client).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_marker_is_next(&fronts, &mut node_connections, id + 1).await;
    }
}

/// Shows that these tests would see a second attempt: a read is retried.
#[tokio::test]
async fn a_read_whose_connection_is_reset_is_retried() {
    let (address, mut node_connections) = manual_node().await;
    let fronts = front(address).await;
    let read = get(1, "priority", 1, 4_000).replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let client = client(&fronts, &read).await;
    let mut node = connection(&mut node_connections).await;
    let first = id_of(&head(&mut node).await);
    reset(node);
    let mut node = connection(&mut node_connections).await;
    assert_eq!(id_of(&head(&mut node).await), first);
    node.write_all(OK).await.unwrap();
    let response = read_response(client).await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("whole"),
        "{response}"
    );
}

/// The late response ends its own attempt, so its connection may be reused. The next request there gets its own response.
#[tokio::test]
async fn a_timed_out_request_is_not_retried_and_its_late_response_reaches_no_client() {
    let (address, mut node_connections) = manual_node().await;
    let fronts = front(address).await;
    let client_without_response = client(&fronts, &write(1, 300)).await;
    let mut silent = connection(&mut node_connections).await;
    assert_eq!(request_at(&mut silent).await, format!("{:016x}", 1));
    let response = read_response(client_without_response).await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    // This fails if the front has closed the connection.
    let _ = silent.write_all(OK).await;
    for id in 2..2 + MAX_MARKERS {
        let marker = read_response(client(&fronts, &write(id, 4_000)).await);
        tokio::pin!(marker);
        let (mut node, id_seen) = tokio::select! {
            biased;
            node = node_connections.recv() => {
                let mut node = node.expect("the node listens");
                let id_seen = request_at(&mut node).await;
                (node, id_seen)
            }
            id_seen = request_at(&mut silent) => (silent, id_seen),
            early_response = &mut marker => {
                assert!(!early_response.starts_with("HTTP/1.1 200"), "{early_response}");
                continue;
            }
        };
        assert_eq!(
            id_seen,
            format!("{id:016x}"),
            "no retry was sent before the marker"
        );
        node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nmarker")
            .await
            .unwrap();
        let response = marker.await;
        assert!(
            response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\nmarker"),
            "{response}"
        );
        return;
    }
    panic!("no marker reached the node");
}

#[tokio::test]
async fn a_request_of_a_disconnected_client_is_not_retried() {
    let (address, mut node_connections) = manual_node().await;
    let fronts = front(address).await;
    let client = client(&fronts, &write(1, 4_000)).await;
    let mut node = connection(&mut node_connections).await;
    assert_eq!(request_at(&mut node).await, format!("{:016x}", 1));
    drop(client);
    reset(node);
    assert_marker_is_next(&fronts, &mut node_connections, 2).await;
}

/// A node that serves the first request of each connection and resets the connection after reading the second.
async fn node_that_resets_reused_connections() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, ids_seen) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let ids = ids_seen.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ids = ids.clone();
            tokio::spawn(async move {
                let first = request_at(&mut stream).await;
                ids.lock().unwrap().push(first);
                stream.write_all(OK).await.unwrap();
                let mut head = [0; 1];
                if stream.peek(&mut head).await.is_ok_and(|bytes| bytes > 0) {
                    let second = request_at(&mut stream).await;
                    ids.lock().unwrap().push(second);
                    reset(stream);
                }
            });
        }
    });
    (address, ids_seen)
}

#[tokio::test]
async fn a_request_on_a_reset_kept_alive_connection_is_not_retried() {
    let (address, ids_seen) = node_that_resets_reused_connections().await;
    let fronts = front(address).await;
    let mut failed = None;
    for id in 1..=10_000 {
        let response = read_response(client(&fronts, &write(id, 4_000)).await).await;
        if !response.starts_with("HTTP/1.1 200") {
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            failed = Some(id);
            break;
        }
    }
    let failed = failed.expect("a kept-alive connection is reused");
    // One more request, after which a retry of the failed one can no longer arrive.
    read_response(client(&fronts, &write(failed + 1, 4_000)).await).await;
    let ids_seen = ids_seen.lock().unwrap().clone();
    let sent = ids_seen
        .iter()
        .filter(|id| **id == format!("{failed:016x}"))
        .count();
    assert_eq!(sent, 1, "{failed} of {} requests", ids_seen.len());
}
