//! The stream of a client's connection: its request framing against a model under random steps, and malicious clients on raw
//! sockets.

mod common;

use common::front::{ask, get, node, start, Fronts, Heads, MAX_HTTP_CLIENTS};
use common::rsync::wait_until;
use lupinrack::net::client_stream::{ClientStream, RequestFraming, Stage};
use lupinrack::net::shutdown::Phase;
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// One step of a connection. The numbers are byte counts.
#[derive(Clone, Copy, Debug)]
enum Step {
    Receive(u8),
    Take(u8),
    Respond,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 3 {
            0 => Step::Receive(u8::arbitrary(g)),
            1 => Step::Take(u8::arbitrary(g)),
            _ => Step::Respond,
        }
    }
}

quickcheck! {
    /// The model: a head passes once it is complete, body bytes as they arrive, and the next head after the response.
    fn framing_passes_one_request_at_a_time(bodies: Vec<u8>, steps: Vec<Step>) -> bool {
        let (mut stream, mut requests) = (Vec::new(), Vec::new());
        for body in bodies {
            let start = stream.len();
            stream.extend(format!("PUT /x HTTP/1.1\r\nContent-Length: {body}\r\n\r\n").bytes());
            let head = stream.len();
            stream.extend(vec![b'\n'; body.into()]);
            requests.push((start, head, stream.len()));
        }
        let (now, mut framing) = (Instant::now(), RequestFraming::new(Instant::now()));
        let (mut received, mut passed, mut responses) = (0, Vec::new(), 0);
        for step in steps {
            match step {
                Step::Receive(n) => {
                    let end = stream.len().min(received + usize::from(n));
                    framing.feed(now, &stream[received..end]);
                    received = end;
                }
                Step::Take(n) => passed.extend_from_slice(&framing.take_ready(n.into())),
                Step::Respond => {
                    let complete = requests.get(responses).is_some_and(|r| received >= r.2);
                    assert_eq!(framing.stage() == Stage::AwaitingResponse, complete);
                    if complete {
                        passed.extend_from_slice(&framing.take_ready(usize::MAX));
                        assert!(framing.finish_request(now));
                        responses += 1;
                    }
                }
            }
            let max_passed = match requests.get(responses) {
                Some((start, head, _)) if received < *head => *start,
                Some((.., end)) => received.min(*end),
                None => received,
            };
            assert!(passed.len() <= max_passed && stream.starts_with(&passed), "{passed:?} of {max_passed}");
            if let Step::Take(u8::MAX) = step {
                passed.extend_from_slice(&framing.take_ready(usize::MAX));
                assert_eq!(passed.len(), max_passed, "all bytes that may pass do");
            }
        }
        true
    }
}

async fn front(answer: &'static str) -> (Fronts, Heads) {
    let (address, node_requests) = node(answer).await;
    (
        start(address, address, "priority", 1_000).await,
        node_requests,
    )
}

/// Sends all of these bytes and reads until the connection ends. A reset fails the test.
async fn send_raw(fronts: &Fronts, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(bytes).await.expect("all of it is read");
    let mut response = Vec::new();
    timeout(Duration::from_secs(15), stream.read_to_end(&mut response))
        .await
        .expect("the connection ends")
        .expect("the connection is not reset");
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn contradictory_lengths_get_400_and_a_close_and_reach_no_node() {
    let (fronts, node_requests) = front(OK).await;
    let smuggled = get(7, "priority", 1, 60_000);
    let chunked = "Transfer-Encoding: chunked\r\n";
    for framing_headers in [
        format!("Content-Length: 5\r\n{chunked}"),
        format!("{chunked}Content-Length: 5\r\n"),
        format!("{chunked}{chunked}"),
        "Transfer-Encoding: gzip, chunked\r\n".into(),
        "Transfer-Encoding: chunked, identity\r\n".into(),
        "Content-Length: 5\r\nContent-Length: 5\r\n".into(),
        "Content-Length: 5\r\nContent-Length: 6\r\n".into(),
        "Content-Length: +5\r\n".into(),
        "Content-Length: -5\r\n".into(),
        "Content-Length: 5, 5\r\n".into(),
        "Content-Length: 99999999999999999999\r\n".into(),
        "Content-Length: 0x5\r\n".into(),
    ] {
        let head = get(1, "priority", 1, 60_000).replacen(
            "X-Plan",
            &format!("{framing_headers}X-Plan"),
            1,
        );
        let response = send_raw(
            &fronts,
            format!("{head}0\r\n\r\n{smuggled}{smuggled}").as_bytes(),
        )
        .await;
        assert!(
            response.starts_with("HTTP/1.1 400") && response.matches("HTTP/1.1").count() == 1,
            "{framing_headers}: {response}"
        );
    }
    for malformed in [
        "\0\x01\x02 noise\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
    ] {
        assert!(
            send_raw(&fronts, malformed.as_bytes())
                .await
                .starts_with("HTTP/1.1 400"),
            "{malformed}"
        );
    }
    let endless = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(1 << 20));
    assert!(send_raw(&fronts, endless.as_bytes())
        .await
        .starts_with("HTTP/1.1 431"));
    assert!(node_requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_client_that_is_still_sending_gets_its_error() {
    let (fronts, node_requests) = front(OK).await;
    let oversized =
        get(1, "priority", 1, 60_000).replacen("X-Plan", "Content-Length: 16777216\r\nX-Plan", 1);
    let mut bytes = oversized.into_bytes();
    bytes.resize(bytes.len() + (16 << 20), b'x');
    let response = send_raw(&fronts, &bytes).await;
    assert!(
        response.starts_with("HTTP/1.1 413") && response.contains("connection: close"),
        "{response}"
    );
    assert!(node_requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_partial_request_times_out_before_its_own_deadline() {
    let (fronts, node_requests) = front(OK).await;
    let head = get(1, "priority", 1, 60_000);
    let body = head.replacen("X-Plan", "Content-Length: 10\r\nX-Plan", 1) + "half";
    assert!(send_raw(&fronts, body.as_bytes())
        .await
        .starts_with("HTTP/1.1 408"));
    assert_eq!(send_raw(&fronts, &head.as_bytes()[..40]).await, "");
    assert!(node_requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn bytes_after_a_chunked_request_are_not_a_request() {
    let (fronts, node_requests) = front(OK).await;
    let head =
        get(1, "priority", 1, 60_000).replacen("X-Plan", "Transfer-Encoding: chunked\r\nX-Plan", 1);
    let response = send_raw(
        &fronts,
        format!("{head}0\r\n\r\n{}", get(2, "priority", 1, 60_000)).as_bytes(),
    )
    .await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.matches("HTTP/1.1").count() == 1,
        "{response}"
    );
    assert_eq!(node_requests.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let (fronts, node_requests) = front(OK).await;
    let pipelined: String = (1..4).map(|id| get(id, "priority", 1, 60_000)).collect();
    let response = send_raw(&fronts, pipelined.as_bytes()).await;
    assert_eq!(response.matches("HTTP/1.1 200").count(), 3, "{response}");
    assert_eq!(node_requests.lock().unwrap().len(), 3);
}

#[tokio::test]
async fn the_id_of_an_open_request_is_refused() {
    let (fronts, node_requests) = front("").await;
    let http = fronts.http;
    let first = tokio::spawn(async move { ask(http, &get(1, "priority", 1, 4_000)).await });
    wait_until(|| node_requests.lock().unwrap().len() == 1).await;
    assert!(ask(http, &get(1, "priority", 1, 4_000))
        .await
        .starts_with("HTTP/1.1 409"));
    assert!(
        first.await.unwrap().starts_with("HTTP/1.1 503"),
        "the first request gets its own response"
    );
    assert_eq!(node_requests.lock().unwrap().len(), 1);
    // Once the first request has ended, its id may be used again.
    for _ in 0..1_000 {
        if ask(http, &get(1, "priority", 1, 50))
            .await
            .starts_with("HTTP/1.1 503")
        {
            return;
        }
    }
    panic!("the id is still in use");
}

#[tokio::test]
async fn idle_clients_do_not_block_others() {
    let (fronts, _) = front(OK).await;
    let mut idle_clients = Vec::new();
    for _ in 0..MAX_HTTP_CLIENTS * 12 {
        idle_clients.push(TcpStream::connect(fronts.http).await.unwrap());
    }
    // Each idle client would hold its slot for 2 s, and all of them together block other clients for 24 s.
    let request = get(1, "priority", 1, 60_000);
    let response = timeout(Duration::from_secs(12), ask(fronts.http, &request))
        .await
        .expect("served before the idle clients time out");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test(start_paused = true)]
async fn idle_time_starts_once_the_response_has_been_sent_to_a_slow_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_phase_sender, phase) = watch::channel(Phase::Ready);
    let (mut client_stream, connection) = ClientStream::new(stream, phase);
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut bytes = vec![0; 64 << 10];
    assert!(client_stream.read(&mut bytes).await.unwrap() > 0);
    assert!(
        connection.finish_request(),
        "its response is complete for the library"
    );
    // Write until the client, which does not read, blocks further writes.
    let mut sent = 0;
    while let Ok(n) = timeout(Duration::from_millis(500), client_stream.write(&bytes)).await {
        sent += n.unwrap();
    }
    let idle = timeout(Duration::from_secs(5), client_stream.read(&mut bytes)).await;
    assert!(
        idle.is_err(),
        "to the library an end of the stream would mean a disconnected client"
    );
    // The client reads again, the rest is sent, and from then on the connection is idle.
    let mut read = 0;
    while read < sent {
        read += client.read(&mut bytes).await.unwrap();
    }
    client_stream.write_all(b"the last").await.unwrap();
    assert!(
        timeout(Duration::from_millis(1_900), client_stream.read(&mut bytes))
            .await
            .is_err(),
        "not at once"
    );
    assert_eq!(
        timeout(Duration::from_secs(1), client_stream.read(&mut bytes))
            .await
            .expect("then closed")
            .unwrap(),
        0
    );
}
