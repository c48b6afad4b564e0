//! Races between two events: each test forces an order of both over loopback sockets. `docs/design/standing.md` lists them.

mod common;

use common::front::{front_settings, get, node, start, Fronts};
use lupinrack::net::client_stream::ClientStream;
use lupinrack::net::clock::UnixClockOffset;
use lupinrack::net::discovery::NodeListWatcher;
use lupinrack::net::shutdown::Phase;
use mock_servers::scripted::{head, manual_node, reset};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

async fn front() -> (Fronts, mpsc::UnboundedReceiver<TcpStream>) {
    let (address, node_connections) = manual_node().await;
    (
        start(address, address, "priority", 4_000).await,
        node_connections,
    )
}

/// Reads until the client's connection ends. A reset fails the test.
async fn read_to_close(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    timeout(Duration::from_secs(10), stream.read_to_end(&mut response))
        .await
        .expect("an end")
        .expect("no reset");
    String::from_utf8_lossy(&response).into_owned()
}

async fn client(fronts: &Fronts, response: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(response.as_bytes()).await.unwrap();
    stream
}

fn closing_get(id: u32) -> String {
    get(id, "priority", 1, 4_000).replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

/// A keyed write with `Connection: close`.
fn closing_write(id: u32) -> String {
    let keyed = "Idempotency-Key: 7f3a9c21e0b4d655\r\nContent-Length: 4\r\nX-Plan";
    closing_get(id)
        .replacen("GET /read", "PUT /new-write", 1)
        .replacen("X-Plan", keyed, 1)
        + "body"
}

/// However a response is truncated, nothing of it reaches the client, which gets the complete response of the next attempt.
#[tokio::test]
async fn a_truncated_response_never_reaches_the_client() {
    let (fronts, mut node_connections) = front().await;
    let truncated: [(&[u8], bool); 6] = [
        (b"", true),
        (b"HTTP/1.1 200 OK\r\nConte", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
        // Without a length, a reset does not complete the response.
        (b"HTTP/1.1 200 OK\r\n\r\nhalf", true),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            false,
        ),
    ];
    for (id, (prefix, by_reset)) in (1..).zip(truncated) {
        let client = client(&fronts, &closing_get(id)).await;
        let mut node = node_connections.recv().await.unwrap();
        let first = head(&mut node).await;
        node.write_all(prefix).await.unwrap();
        if by_reset {
            reset(node);
        } else {
            drop(node);
        }
        let mut node = node_connections.recv().await.unwrap();
        let second = head(&mut node).await;
        assert_eq!(
            first.split("x-deadline").next(),
            second.split("x-deadline").next(),
            "the same request"
        );
        node.write_all(OK).await.unwrap();
        let response = read_to_close(client).await;
        assert!(
            response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\nwhole"),
            "{response}"
        );
        drop(node);
    }
}

/// A response without a length ends when its connection is closed in order.
#[tokio::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let (fronts, mut node_connections) = front().await;
    let client = client(&fronts, &closing_get(1)).await;
    let mut node = node_connections.recv().await.unwrap();
    head(&mut node).await;
    node.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        .await
        .unwrap();
    drop(node);
    let response = read_to_close(client).await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("whole"),
        "{response}"
    );
}

/// A kept-alive connection is reset under a request that was just written to it. The request may have run, so only safe and
/// keyed requests are retried.
#[tokio::test]
async fn a_reset_of_a_kept_alive_connection_costs_one_attempt() {
    for is_write in [false, true] {
        let (fronts, mut node_connections) = front().await;
        let first = client(&fronts, &closing_get(1)).await;
        let mut node = node_connections.recv().await.unwrap();
        head(&mut node).await;
        node.write_all(OK).await.unwrap();
        assert!(read_to_close(first).await.ends_with("whole"));
        // After its rest period the idle connection is used for the next request.
        tokio::time::sleep(Duration::from_millis(80)).await;
        let second = client(
            &fronts,
            &if is_write {
                closing_write(2)
            } else {
                closing_get(2)
            },
        )
        .await;
        let first_head = head(&mut node).await;
        reset(node);
        let mut fresh = node_connections.recv().await.unwrap();
        let second_head = head(&mut fresh).await;
        assert_eq!(
            first_head.split("x-deadline").next(),
            second_head.split("x-deadline").next(),
            "the same id and key"
        );
        fresh.write_all(OK).await.unwrap();
        assert!(read_to_close(second).await.ends_with("whole"));
    }
}

/// A client that sends many bytes after its request gets one complete response, and no reset because of the excess bytes.
#[tokio::test]
async fn excess_bytes_after_a_request_cost_the_connection_but_not_the_response() {
    let (fronts, mut node_connections) = front().await;
    let mut client = client(&fronts, &get(1, "priority", 1, 4_000)).await;
    let mut node = node_connections.recv().await.unwrap();
    head(&mut node).await;
    // The front must read all of it while it awaits the response: otherwise this write would never end.
    timeout(Duration::from_secs(10), client.write_all(&[b'x'; 24 << 20]))
        .await
        .expect("the front reads it")
        .unwrap();
    node.write_all(OK).await.unwrap();
    let response = read_to_close(client).await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("whole"),
        "{response}"
    );
    assert_eq!(
        response.matches("HTTP/1.1").count(),
        1,
        "the excess bytes are not a request"
    );
}

async fn accept_client() -> (
    TcpStream,
    ClientStream,
    lupinrack::net::client_stream::ClientConnection,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_phase_sender, phase) = watch::channel(Phase::Ready);
    let (client_stream, connection) = ClientStream::new(listener.accept().await.unwrap().0, phase);
    (client, client_stream, connection)
}

/// The front detects that a client closed its connection behind any number of bytes sent ahead.
#[tokio::test]
async fn a_close_behind_excess_bytes_is_detected() {
    let (mut client, mut client_stream, connection) = accept_client().await;
    client
        .write_all(get(1, "priority", 1, 4_000).as_bytes())
        .await
        .unwrap();
    let mut bytes = vec![0; 64 << 10];
    assert!(
        client_stream.read(&mut bytes).await.unwrap() > 0,
        "its request is passed on"
    );
    let sender = tokio::spawn(async move {
        client.write_all(&[b'x'; 1 << 20]).await.unwrap();
    });
    let end = timeout(Duration::from_secs(10), client_stream.read(&mut bytes))
        .await
        .expect("the close is detected");
    assert_eq!(end.unwrap_or(0), 0);
    sender.await.unwrap();
    assert!(connection.client_left());
}

/// A request that has arrived when the idle timer expires is served: the socket is polled before the timer.
#[tokio::test(start_paused = true)]
async fn bytes_that_arrive_before_the_idle_timer_are_read() {
    let (mut client, mut client_stream, _connection) = accept_client().await;
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    tokio::time::advance(Duration::from_secs(60)).await;
    let mut bytes = [0; 64];
    assert_eq!(client_stream.read(&mut bytes).await.unwrap(), 18);
}

/// A request that arrives after the decision to close is never read: its client gets no response and may retry elsewhere.
#[tokio::test(start_paused = true)]
async fn bytes_that_arrive_after_the_idle_timer_are_never_read() {
    let (mut client, mut client_stream, connection) = accept_client().await;
    let mut bytes = [0; 64];
    let started = Instant::now();
    assert_eq!(
        client_stream.read(&mut bytes).await.unwrap(),
        0,
        "reads as closed by the client"
    );
    assert!(started.elapsed() >= Duration::from_secs(2));
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    client_stream.shutdown().await.unwrap();
    drop(client_stream);
    assert!(connection.client_left(), "nothing is sent to a node for it");
    assert!(
        !matches!(client.read(&mut bytes).await, Ok(1..)),
        "the client gets no response"
    );
}

/// Part of a head has arrived when the front closes. If the rest is still read, the request is served exactly once.
#[tokio::test]
async fn a_partial_request_at_the_close_is_served_once_or_never_read() {
    for split_at in [1, 40, 100] {
        let (address, node_requests) = node(std::str::from_utf8(OK).unwrap()).await;
        let fronts = start(address, address, "priority", 4_000).await;
        // A connection that has had a response, and a new one.
        let mut used = client(&fronts, &get(1, "priority", 1, 4_000)).await;
        head(&mut used).await;
        used.read_exact(&mut [0; 5]).await.unwrap();
        let (second, third) = (get(2, "priority", 1, 4_000), get(3, "priority", 1, 4_000));
        used.write_all(&second.as_bytes()[..split_at])
            .await
            .unwrap();
        let mut fresh = client(&fronts, &third[..split_at]).await;
        fronts.phase.send(Phase::Draining).unwrap();
        let _ = used.write_all(&second.as_bytes()[split_at..]).await;
        let _ = fresh.write_all(&third.as_bytes()[split_at..]).await;
        let mut responses = 1;
        for mut stream in [used, fresh] {
            let mut response = Vec::new();
            let _ = timeout(Duration::from_secs(10), stream.read_to_end(&mut response))
                .await
                .expect("it ends");
            responses += String::from_utf8_lossy(&response)
                .matches("HTTP/1.1 200")
                .count();
        }
        timeout(Duration::from_secs(10), fronts.task)
            .await
            .expect("the front ends")
            .unwrap();
        assert_eq!(
            node_requests.lock().unwrap().len(),
            responses,
            "each request at a node has exactly one response"
        );
    }
}

/// A request that is read once the shutdown is over gets a response and is not sent to a node.
#[tokio::test]
async fn a_request_read_after_the_shutdown_is_over_is_answered_and_not_sent() {
    let (fronts, mut node_connections) = front().await;
    let mut stream = client(&fronts, &get(1, "priority", 1, 4_000)[..30]).await;
    tokio::task::yield_now().await;
    fronts.phase.send(Phase::GraceExpired).unwrap();
    stream
        .write_all(&get(1, "priority", 1, 4_000).as_bytes()[30..])
        .await
        .unwrap();
    let response = read_to_close(stream).await;
    assert!(
        response.starts_with("HTTP/1.1 502")
            && response.to_lowercase().contains("connection: close"),
        "{response}"
    );
    timeout(Duration::from_secs(10), fronts.task)
        .await
        .expect("the front ends")
        .unwrap();
    while let Ok(mut node) = node_connections.try_recv() {
        assert!(!matches!(
            timeout(Duration::from_millis(100), node.read(&mut [0; 64])).await,
            Ok(Ok(1..))
        ));
    }
}

/// A truncated node list, and one that arrives after its call timed out, change nothing: the watcher continues from its current
/// version, and the known nodes keep serving.
#[tokio::test]
async fn a_truncated_or_late_node_list_changes_nothing() {
    let (address, _) = node(std::str::from_utf8(OK).unwrap()).await;
    let fronts = start(address, address, "priority", 4_000).await;
    let (discovery, mut calls) = manual_node().await;
    let entry = format!(
        r#"{{"instanceId":"s-1","hostPort":"{address}","cell":0,"lifecycle":"SERVING","startedAtMs":0}}"#
    );
    let known_list = format!(r#"{{"generation":41,"reset":true,"instances":[{entry}]}}"#);
    let watch = NodeListWatcher {
        address: watch::channel(discovery).1,
        zones: front_settings().zones,
        clock_offset: UnixClockOffset::measure(&fronts.engine.clock),
        mode_and_fronts: (lupinrack::DiscoveryMode::Push, 3),
        seed: 1,
    };
    tokio::spawn(watch.run(
        fronts.engine.clone(),
        Some(serde_json::from_str(&known_list).unwrap()),
    ));
    let deleted = r#"{"generation":43,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"DELETED"}]}"#;
    let deletion = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{deleted}",
        deleted.len()
    );
    // A reset one byte before the end.
    let mut call = calls.recv().await.unwrap();
    assert!(head(&mut call).await.contains("from=41&"));
    call.write_all(&deletion.as_bytes()[..deletion.len() - 1])
        .await
        .unwrap();
    reset(call);
    // Silent until the call times out; then the complete list.
    let mut silent_call = calls.recv().await.unwrap();
    assert!(head(&mut silent_call).await.contains("from=41&"));
    let mut next_call = calls.recv().await.unwrap();
    assert!(head(&mut next_call).await.contains("from=41&"));
    let _ = silent_call.write_all(deletion.as_bytes()).await;
    // The response to the next call is applied, and the watcher continues at once.
    let empty = r#"{"generation":44,"reset":false,"instances":[]}"#;
    let empty = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}",
        empty.len()
    );
    next_call.write_all(empty.as_bytes()).await.unwrap();
    assert!(head(&mut next_call).await.contains("from=44&"));
    assert!(
        read_to_close(client(&fronts, &closing_get(1)).await)
            .await
            .ends_with("whole"),
        "the node keeps serving"
    );
}
