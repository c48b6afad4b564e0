//! Requests that may not be repeated: whatever becomes of the first sending, no second one reaches a node once the first
//! may have run, and no late answer reaches anybody.

mod common;

use common::front::{get, start_told, Fronts, SETTINGS};
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
/// Requests that a front may refuse before one reaches the node.
const MARKERS_MOST: u32 = 100;
/// A bound that no test comes near while it works.
const STUCK: Duration = Duration::from_secs(20);

/// Settings in which no write may be repeated.
fn no_repeats() -> FrontSettings {
    let single = r#""repeat": "single_shot", "worth": 2.0"#;
    let guarded = r#""repeat": "guarded", "window": 4000.0, "worth": 2.0"#;
    assert!(SETTINGS.contains(guarded));
    settings::parse_json(&serde_json::from_str(&SETTINGS.replace(guarded, single)).unwrap())
        .unwrap()
}

async fn front(node: SocketAddr) -> Fronts {
    start_told(no_repeats(), node, &[("n0", node)], "priority", 4_000).await
}

fn write(id: u32, deadline_ms: u64) -> String {
    let length = format!("Content-Length: {}\r\nX-Plan", BODY.len());
    let head = get(id, "priority", 1, deadline_ms).replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let head = head
        .replacen("GET /read", "PUT /new-write", 1)
        .replacen("X-Plan", &length, 1);
    head + std::str::from_utf8(BODY).unwrap()
}

/// Sends a request on a connection of its own.
async fn client(fronts: &Fronts, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn answer(mut client: TcpStream) -> String {
    let mut said = Vec::new();
    timeout(STUCK, client.read_to_end(&mut said))
        .await
        .expect("an end")
        .unwrap();
    String::from_utf8_lossy(&said).into_owned()
}

fn id_of(head: &str) -> String {
    let head = head.to_lowercase();
    let rest = head.split("x-request-id: ").nth(1).expect("an id");
    rest.split("\r\n").next().unwrap_or_default().to_owned()
}

/// The next request at the node, whole, with its id.
async fn request_at(node: &mut TcpStream) -> String {
    let id = id_of(&timeout(STUCK, head(node)).await.expect("a request"));
    let mut body = vec![0; BODY.len()];
    timeout(STUCK, node.read_exact(&mut body))
        .await
        .expect("a body")
        .unwrap();
    assert_eq!(body, BODY);
    id
}

async fn connection(taken: &mut mpsc::UnboundedReceiver<TcpStream>) -> TcpStream {
    timeout(STUCK, taken.recv())
        .await
        .expect("a connection")
        .unwrap()
}

/// Further requests from this id on, until one reaches the node, which serves it: had an earlier one been sent again, that
/// would come first. A front that has just lost an answer may refuse some before.
async fn marker_comes_next(
    fronts: &Fronts,
    taken: &mut mpsc::UnboundedReceiver<TcpStream>,
    from: u32,
) {
    for id in from..from + MARKERS_MOST {
        let marker = answer(client(fronts, &write(id, 4_000)).await);
        tokio::pin!(marker);
        let mut node = tokio::select! {
            biased;
            node = connection(taken) => node,
            refused = &mut marker => {
                assert!(!refused.starts_with("HTTP/1.1 200"), "{refused}");
                continue;
            }
        };
        assert_eq!(
            request_at(&mut node).await,
            format!("{id:016x}"),
            "nothing was sent in between"
        );
        node.write_all(OK).await.unwrap();
        let said = marker.await;
        assert!(
            said.starts_with("HTTP/1.1 200") && said.ends_with("\r\n\r\nwhole"),
            "{said}"
        );
        return;
    }
    panic!("the node is not asked any more");
}

#[tokio::test]
async fn one_that_may_have_run_is_not_sent_again_however_its_answer_breaks_off() {
    let (address, mut taken) = manual_node().await;
    let fronts = front(address).await;
    let broken: [(&[u8], bool); 8] = [
        (b"", true),
        (b"", false),
        (b"HTTP/1.1 200 OK\r\nConte", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
        (b"\x00\xff noise \r\n\r\n", false),
        (b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", false),
        // It does not say that it never ran.
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false),
    ];
    for (turn, (part, by_reset)) in (0..).zip(broken) {
        let id = 1 + 2 * turn * MARKERS_MOST;
        let client = client(&fronts, &write(id, 4_000)).await;
        let mut node = connection(&mut taken).await;
        assert_eq!(request_at(&mut node).await, format!("{id:016x}"));
        node.write_all(part).await.unwrap();
        if by_reset {
            reset(node);
        } else {
            drop(node);
        }
        let said = answer(client).await;
        assert!(said.starts_with("HTTP/1.1 502"), "{said}");
        marker_comes_next(&fronts, &mut taken, id + 1).await;
    }
}

/// So a second sending would be seen: one that may be repeated comes again.
#[tokio::test]
async fn a_read_whose_connection_is_reset_is_sent_again() {
    let (address, mut taken) = manual_node().await;
    let fronts = front(address).await;
    let read = get(1, "priority", 1, 4_000).replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let client = client(&fronts, &read).await;
    let mut node = connection(&mut taken).await;
    let first = id_of(&head(&mut node).await);
    reset(node);
    let mut node = connection(&mut taken).await;
    assert_eq!(id_of(&head(&mut node).await), first);
    node.write_all(OK).await.unwrap();
    let said = answer(client).await;
    assert!(
        said.starts_with("HTTP/1.1 200") && said.ends_with("whole"),
        "{said}"
    );
}

/// The late answer ends its own attempt, so that its connection may be used again; the next request there has an answer of
/// its own.
#[tokio::test]
async fn one_without_an_answer_is_not_sent_again_and_its_late_answer_is_nobodys() {
    let (address, mut taken) = manual_node().await;
    let fronts = front(address).await;
    let client_without_answer = client(&fronts, &write(1, 300)).await;
    let mut silent = connection(&mut taken).await;
    assert_eq!(request_at(&mut silent).await, format!("{:016x}", 1));
    let said = answer(client_without_answer).await;
    assert!(said.starts_with("HTTP/1.1 502"), "{said}");
    // Fails where the front has closed the connection.
    let _ = silent.write_all(OK).await;
    for id in 2..2 + MARKERS_MOST {
        let marker = answer(client(&fronts, &write(id, 4_000)).await);
        tokio::pin!(marker);
        let (mut node, seen) = tokio::select! {
            biased;
            new = taken.recv() => {
                let mut new = new.expect("the node listens");
                let seen = request_at(&mut new).await;
                (new, seen)
            }
            seen = request_at(&mut silent) => (silent, seen),
            refused = &mut marker => {
                assert!(!refused.starts_with("HTTP/1.1 200"), "{refused}");
                continue;
            }
        };
        assert_eq!(seen, format!("{id:016x}"), "nothing was sent in between");
        node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nmarker")
            .await
            .unwrap();
        let said = marker.await;
        assert!(
            said.starts_with("HTTP/1.1 200") && said.ends_with("\r\n\r\nmarker"),
            "{said}"
        );
        return;
    }
    panic!("the node is not asked any more");
}

#[tokio::test]
async fn one_that_its_client_left_is_not_sent_again() {
    let (address, mut taken) = manual_node().await;
    let fronts = front(address).await;
    let client = client(&fronts, &write(1, 4_000)).await;
    let mut node = connection(&mut taken).await;
    assert_eq!(request_at(&mut node).await, format!("{:016x}", 1));
    drop(client);
    reset(node);
    marker_comes_next(&fronts, &mut taken, 2).await;
}

/// A node that serves the first request of each connection, and resets the connection under the second one.
async fn node_that_resets_what_is_kept() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, seen) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let ids = seen.clone();
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
    (address, seen)
}

#[tokio::test]
async fn one_under_which_a_kept_connection_is_reset_is_not_sent_again() {
    let (address, seen) = node_that_resets_what_is_kept().await;
    let fronts = front(address).await;
    let mut failed = None;
    for id in 1..=10_000 {
        let said = answer(client(&fronts, &write(id, 4_000)).await).await;
        if !said.starts_with("HTTP/1.1 200") {
            assert!(said.starts_with("HTTP/1.1 502"), "{said}");
            failed = Some(id);
            break;
        }
    }
    let failed = failed.expect("a kept connection is used again");
    // One more, behind which nothing of the failed one can come.
    answer(client(&fronts, &write(failed + 1, 4_000)).await).await;
    let seen = seen.lock().unwrap().clone();
    let sent = seen
        .iter()
        .filter(|id| **id == format!("{failed:016x}"))
        .count();
    assert_eq!(sent, 1, "{failed} of {} requests", seen.len());
}
