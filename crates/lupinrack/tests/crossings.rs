//! Where two events cross: each test forces the order of both over loopback sockets. The table is in `docs/design/standing.md`.

mod common;

use common::front::{get, node, start, told, Fronts};
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
    let (address, taken) = manual_node().await;
    (start(address, address, "priority", 4_000).await, taken)
}

/// All that a client reads until its connection ends; a reset fails the test.
async fn rest(mut stream: TcpStream) -> String {
    let mut said = Vec::new();
    timeout(Duration::from_secs(10), stream.read_to_end(&mut said))
        .await
        .expect("an end")
        .expect("no reset");
    String::from_utf8_lossy(&said).into_owned()
}

async fn client(fronts: &Fronts, said: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(said.as_bytes()).await.unwrap();
    stream
}

fn last(id: u32) -> String {
    get(id, "priority", 1, 4_000).replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

/// A keyed write, the last of its connection.
fn write(id: u32) -> String {
    let keyed = "Idempotency-Key: 7f3a9c21e0b4d655\r\nContent-Length: 4\r\nX-Plan";
    last(id)
        .replacen("GET /read", "PUT /new-write", 1)
        .replacen("X-Plan", keyed, 1)
        + "body"
}

/// An answer that breaks off, however it does, is no answer: the next attempt's is the client's, whole and alone.
#[tokio::test]
async fn an_answer_that_breaks_off_never_reaches_the_client() {
    let (fronts, mut taken) = front().await;
    let broken: [(&[u8], bool); 6] = [
        (b"", true),
        (b"HTTP/1.1 200 OK\r\nConte", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
        // No length: a reset is no end.
        (b"HTTP/1.1 200 OK\r\n\r\nhalf", true),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            false,
        ),
    ];
    for (id, (part, by_reset)) in (1..).zip(broken) {
        let client = client(&fronts, &last(id)).await;
        let mut node = taken.recv().await.unwrap();
        let first = head(&mut node).await;
        node.write_all(part).await.unwrap();
        if by_reset {
            reset(node);
        } else {
            drop(node);
        }
        let mut node = taken.recv().await.unwrap();
        let second = head(&mut node).await;
        assert_eq!(
            first.split("x-deadline").next(),
            second.split("x-deadline").next(),
            "the same request"
        );
        node.write_all(OK).await.unwrap();
        let said = rest(client).await;
        assert!(
            said.starts_with("HTTP/1.1 200") && said.ends_with("\r\n\r\nwhole"),
            "{said}"
        );
        drop(node);
    }
}

/// What has no length ends with its connection, in order.
#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let (fronts, mut taken) = front().await;
    let client = client(&fronts, &last(1)).await;
    let mut node = taken.recv().await.unwrap();
    head(&mut node).await;
    node.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        .await
        .unwrap();
    drop(node);
    let said = rest(client).await;
    assert!(
        said.starts_with("HTTP/1.1 200") && said.ends_with("whole"),
        "{said}"
    );
}

/// A kept connection ends under the request that was just written to it: that may have run. What is safe or keyed goes again.
#[tokio::test]
async fn a_kept_connection_that_ends_under_a_request_costs_one_attempt() {
    for write_it in [false, true] {
        let (fronts, mut taken) = front().await;
        let first = client(&fronts, &last(1)).await;
        let mut node = taken.recv().await.unwrap();
        head(&mut node).await;
        node.write_all(OK).await.unwrap();
        assert!(rest(first).await.ends_with("whole"));
        // Rested, it is the one that is used next.
        tokio::time::sleep(Duration::from_millis(80)).await;
        let second = client(&fronts, &if write_it { write(2) } else { last(2) }).await;
        let kept = head(&mut node).await;
        reset(node);
        let mut fresh = taken.recv().await.unwrap();
        let again = head(&mut fresh).await;
        assert_eq!(
            kept.split("x-deadline").next(),
            again.split("x-deadline").next(),
            "the same id and key"
        );
        fresh.write_all(OK).await.unwrap();
        assert!(rest(second).await.ends_with("whole"));
    }
}

/// One that sends much at once hears its one answer, whole, and is not reset by what it sent too much.
#[tokio::test]
async fn a_flood_behind_a_request_costs_its_client_the_connection_and_not_the_answer() {
    let (fronts, mut taken) = front().await;
    let mut client = client(&fronts, &get(1, "priority", 1, 4_000)).await;
    let mut node = taken.recv().await.unwrap();
    head(&mut node).await;
    // Read, all of it, while the answer is awaited: else this write would never end.
    timeout(Duration::from_secs(10), client.write_all(&[b'x'; 24 << 20]))
        .await
        .expect("it is taken")
        .unwrap();
    node.write_all(OK).await.unwrap();
    let said = rest(client).await;
    assert!(
        said.starts_with("HTTP/1.1 200") && said.ends_with("whole"),
        "{said}"
    );
    assert_eq!(
        said.matches("HTTP/1.1").count(),
        1,
        "what it sent ahead is no request"
    );
}

async fn gate() -> (
    TcpStream,
    ClientStream,
    lupinrack::net::client_stream::ClientConnection,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_tell, phase) = watch::channel(Phase::Ready);
    let (gate, visit) = ClientStream::new(listener.accept().await.unwrap().0, phase);
    (client, gate, visit)
}

/// The end of a client shows behind any number of bytes that it sent ahead of its turn.
#[tokio::test]
async fn one_that_sends_much_at_once_and_goes_is_seen_to_go() {
    let (mut client, mut gate, visit) = gate().await;
    client
        .write_all(get(1, "priority", 1, 4_000).as_bytes())
        .await
        .unwrap();
    let mut bytes = vec![0; 64 << 10];
    assert!(
        gate.read(&mut bytes).await.unwrap() > 0,
        "its request passes"
    );
    let sends = tokio::spawn(async move {
        client.write_all(&[b'x'; 1 << 20]).await.unwrap();
    });
    let end = timeout(Duration::from_secs(10), gate.read(&mut bytes))
        .await
        .expect("its end shows");
    assert_eq!(end.unwrap_or(0), 0);
    sends.await.unwrap();
    assert!(visit.client_left());
}

/// A request that is there as the idle timer goes off is served: the socket is looked at before the clock.
#[tokio::test(start_paused = true)]
async fn bytes_that_came_before_the_idle_timer_pass() {
    let (mut client, mut gate, _visit) = gate().await;
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    tokio::time::advance(Duration::from_secs(60)).await;
    let mut bytes = [0; 64];
    assert_eq!(gate.read(&mut bytes).await.unwrap(), 18);
}

/// And one that comes after the decision to close is provably never read: its client has no answer, and may ask elsewhere.
#[tokio::test(start_paused = true)]
async fn bytes_that_come_after_the_idle_timer_are_never_read() {
    let (mut client, mut gate, visit) = gate().await;
    let mut bytes = [0; 64];
    let began = Instant::now();
    assert_eq!(
        gate.read(&mut bytes).await.unwrap(),
        0,
        "to the library its client has closed"
    );
    assert!(began.elapsed() >= Duration::from_secs(2));
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    gate.shutdown().await.unwrap();
    drop(gate);
    assert!(visit.client_left(), "nobody sends anything for it");
    assert!(
        !matches!(client.read(&mut bytes).await, Ok(1..)),
        "and it hears no answer"
    );
}

/// Half a head as the front closes: its rest makes it a request that is served once, or it was never one.
#[tokio::test]
async fn half_a_request_at_the_close_is_served_once_or_never_read() {
    for cut in [1, 40, 100] {
        let (address, heads) = node(std::str::from_utf8(OK).unwrap()).await;
        let fronts = start(address, address, "priority", 4_000).await;
        // A connection that has had an answer, and one that is fresh.
        let mut used = client(&fronts, &get(1, "priority", 1, 4_000)).await;
        head(&mut used).await;
        used.read_exact(&mut [0; 5]).await.unwrap();
        let (second, third) = (get(2, "priority", 1, 4_000), get(3, "priority", 1, 4_000));
        used.write_all(&second.as_bytes()[..cut]).await.unwrap();
        let mut fresh = client(&fronts, &third[..cut]).await;
        fronts.phase.send(Phase::Closing).unwrap();
        let _ = used.write_all(&second.as_bytes()[cut..]).await;
        let _ = fresh.write_all(&third.as_bytes()[cut..]).await;
        let mut heard = 1;
        for mut stream in [used, fresh] {
            let mut said = Vec::new();
            let _ = timeout(Duration::from_secs(10), stream.read_to_end(&mut said))
                .await
                .expect("it ends");
            heard += String::from_utf8_lossy(&said)
                .matches("HTTP/1.1 200")
                .count();
        }
        timeout(Duration::from_secs(10), fronts.ended)
            .await
            .expect("the front ends")
            .unwrap();
        assert_eq!(
            heads.lock().unwrap().len(),
            heard,
            "what is sent on is answered, and once"
        );
    }
}

/// A request that is read in the last moment has its answer, and nothing is sent on for it.
#[tokio::test]
async fn what_is_read_after_the_last_moment_is_answered_and_goes_nowhere() {
    let (fronts, mut taken) = front().await;
    let mut stream = client(&fronts, &get(1, "priority", 1, 4_000)[..30]).await;
    tokio::task::yield_now().await;
    fronts.phase.send(Phase::Over).unwrap();
    stream
        .write_all(&get(1, "priority", 1, 4_000).as_bytes()[30..])
        .await
        .unwrap();
    let said = rest(stream).await;
    assert!(
        said.starts_with("HTTP/1.1 502") && said.to_lowercase().contains("connection: close"),
        "{said}"
    );
    timeout(Duration::from_secs(10), fronts.ended)
        .await
        .expect("the front ends")
        .unwrap();
    while let Ok(mut node) = taken.try_recv() {
        assert!(!matches!(
            timeout(Duration::from_millis(100), node.read(&mut [0; 64])).await,
            Ok(Ok(1..))
        ));
    }
}

/// A list that breaks off is none, and one that comes after its call was given up changes nothing: the watch goes on from the version in
/// hand, and what is known serves on.
#[tokio::test]
async fn a_list_that_is_cut_or_comes_after_its_time_changes_nothing() {
    let (address, _) = node(std::str::from_utf8(OK).unwrap()).await;
    let fronts = start(address, address, "priority", 4_000).await;
    let (discovery, mut calls) = manual_node().await;
    let entry = format!(
        r#"{{"instanceId":"s-1","hostPort":"{address}","cell":0,"lifecycle":"SERVING","startedAtMs":0}}"#
    );
    let known = format!(r#"{{"generation":41,"reset":true,"instances":[{entry}]}}"#);
    let watch = NodeListWatcher {
        address: watch::channel(discovery).1,
        zones: told().zones,
        clock_offset: UnixClockOffset::measure(&fronts.core.clock),
        mode_and_fronts: (lupinrack::DiscoveryMode::Push, 3),
        seed: 1,
    };
    tokio::spawn(watch.run(
        fronts.core.clone(),
        Some(serde_json::from_str(&known).unwrap()),
    ));
    let gone = r#"{"generation":43,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"DELETED"}]}"#;
    let whole = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{gone}",
        gone.len()
    );
    // Cut one byte before its end, by a reset.
    let mut call = calls.recv().await.unwrap();
    assert!(head(&mut call).await.contains("from=41&"));
    call.write_all(&whole.as_bytes()[..whole.len() - 1])
        .await
        .unwrap();
    reset(call);
    // Silent until it is given up; then all of it.
    let mut silent = calls.recv().await.unwrap();
    assert!(head(&mut silent).await.contains("from=41&"));
    let mut next = calls.recv().await.unwrap();
    assert!(head(&mut next).await.contains("from=41&"));
    let _ = silent.write_all(whole.as_bytes()).await;
    // The next one's answer is taken, and the watch goes on at once.
    let none = r#"{"generation":44,"reset":false,"instances":[]}"#;
    let none = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{none}",
        none.len()
    );
    next.write_all(none.as_bytes()).await.unwrap();
    assert!(head(&mut next).await.contains("from=44&"));
    assert!(
        rest(client(&fronts, &last(1)).await)
            .await
            .ends_with("whole"),
        "the node serves on"
    );
}
