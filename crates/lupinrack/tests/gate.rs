//! The gate on a client's connection: a model of its states under random steps, and clients that mean no good, on raw
//! sockets.

mod common;

use common::front::{ask, get, node, start, Fronts, Heads, PLACES};
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

/// One step of a connection; the numbers are bytes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Come(u8),
    HandOn(u8),
    Answer,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 3 {
            0 => Step::Come(u8::arbitrary(g)),
            1 => Step::HandOn(u8::arbitrary(g)),
            _ => Step::Answer,
        }
    }
}

quickcheck! {
    /// The model: a head passes once it is whole, a body as it comes, the next head after the answer.
    fn one_request_at_a_time_passes_the_gate(bodies: Vec<u8>, steps: Vec<Step>) -> bool {
        let (mut stream, mut requests) = (Vec::new(), Vec::new());
        for body in bodies {
            let start = stream.len();
            stream.extend(format!("PUT /x HTTP/1.1\r\nContent-Length: {body}\r\n\r\n").bytes());
            let head = stream.len();
            stream.extend(vec![b'\n'; body.into()]);
            requests.push((start, head, stream.len()));
        }
        let (now, mut gate) = (Instant::now(), RequestFraming::new(Instant::now()));
        let (mut came, mut passed, mut answered) = (0, Vec::new(), 0);
        for step in steps {
            match step {
                Step::Come(n) => {
                    let end = stream.len().min(came + usize::from(n));
                    gate.feed(now, &stream[came..end]);
                    came = end;
                }
                Step::HandOn(n) => passed.extend_from_slice(&gate.take_ready(n.into())),
                Step::Answer => {
                    let whole = requests.get(answered).is_some_and(|r| came >= r.2);
                    assert_eq!(gate.stage() == Stage::AwaitingResponse, whole);
                    if whole {
                        passed.extend_from_slice(&gate.take_ready(usize::MAX));
                        assert!(gate.finish_request(now));
                        answered += 1;
                    }
                }
            }
            let most = match requests.get(answered) {
                Some((start, head, _)) if came < *head => *start,
                Some((.., end)) => came.min(*end),
                None => came,
            };
            assert!(passed.len() <= most && stream.starts_with(&passed), "{passed:?} of {most}");
            if let Step::HandOn(u8::MAX) = step {
                passed.extend_from_slice(&gate.take_ready(usize::MAX));
                assert_eq!(passed.len(), most, "what may pass does");
            }
        }
        true
    }
}

async fn front(answer: &'static str) -> (Fronts, Heads) {
    let (address, heads) = node(answer).await;
    (start(address, address, "priority", 1_000).await, heads)
}

/// Sends these bytes, all of them, and reads to the end of the connection. A reset fails the test.
async fn raw(fronts: &Fronts, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(bytes).await.expect("heard out");
    let mut said = Vec::new();
    timeout(Duration::from_secs(15), stream.read_to_end(&mut said))
        .await
        .expect("an end")
        .expect("no reset");
    String::from_utf8_lossy(&said).into_owned()
}

#[tokio::test]
async fn lengths_that_contradict_each_other_get_400_and_a_close_and_pass_nothing_on() {
    let (fronts, heads) = front(OK).await;
    let hidden = get(7, "priority", 1, 60_000);
    let chunked = "Transfer-Encoding: chunked\r\n";
    for lengths in [
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
        let head = get(1, "priority", 1, 60_000).replacen("X-Plan", &format!("{lengths}X-Plan"), 1);
        let said = raw(
            &fronts,
            format!("{head}0\r\n\r\n{hidden}{hidden}").as_bytes(),
        )
        .await;
        assert!(
            said.starts_with("HTTP/1.1 400") && said.matches("HTTP/1.1").count() == 1,
            "{lengths}: {said}"
        );
    }
    for noise in [
        "\0\x01\x02 noise\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
    ] {
        assert!(
            raw(&fronts, noise.as_bytes())
                .await
                .starts_with("HTTP/1.1 400"),
            "{noise}"
        );
    }
    let endless = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(1 << 20));
    assert!(raw(&fronts, endless.as_bytes())
        .await
        .starts_with("HTTP/1.1 431"));
    assert!(heads.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_client_that_is_still_sending_hears_its_error() {
    let (fronts, heads) = front(OK).await;
    let long =
        get(1, "priority", 1, 60_000).replacen("X-Plan", "Content-Length: 16777216\r\nX-Plan", 1);
    let mut bytes = long.into_bytes();
    bytes.resize(bytes.len() + (16 << 20), b'x');
    let said = raw(&fronts, &bytes).await;
    assert!(
        said.starts_with("HTTP/1.1 413") && said.contains("connection: close"),
        "{said}"
    );
    assert!(heads.lock().unwrap().is_empty());
}

#[tokio::test]
async fn half_a_request_ends_long_before_its_own_deadline() {
    let (fronts, heads) = front(OK).await;
    let head = get(1, "priority", 1, 60_000);
    let body = head.replacen("X-Plan", "Content-Length: 10\r\nX-Plan", 1) + "half";
    assert!(raw(&fronts, body.as_bytes())
        .await
        .starts_with("HTTP/1.1 408"));
    assert_eq!(raw(&fronts, &head.as_bytes()[..40]).await, "");
    assert!(heads.lock().unwrap().is_empty());
}

#[tokio::test]
async fn what_follows_a_chunked_request_is_no_request() {
    let (fronts, heads) = front(OK).await;
    let head =
        get(1, "priority", 1, 60_000).replacen("X-Plan", "Transfer-Encoding: chunked\r\nX-Plan", 1);
    let said = raw(
        &fronts,
        format!("{head}0\r\n\r\n{}", get(2, "priority", 1, 60_000)).as_bytes(),
    )
    .await;
    assert!(
        said.starts_with("HTTP/1.1 200") && said.matches("HTTP/1.1").count() == 1,
        "{said}"
    );
    assert_eq!(heads.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn requests_sent_ahead_are_answered_in_turn() {
    let (fronts, heads) = front(OK).await;
    let three: String = (1..4).map(|id| get(id, "priority", 1, 60_000)).collect();
    let said = raw(&fronts, three.as_bytes()).await;
    assert_eq!(said.matches("HTTP/1.1 200").count(), 3, "{said}");
    assert_eq!(heads.lock().unwrap().len(), 3);
}

#[tokio::test]
async fn the_id_of_an_open_request_is_not_taken_again() {
    let (fronts, heads) = front("").await;
    let http = fronts.http;
    let first = tokio::spawn(async move { ask(http, &get(1, "priority", 1, 4_000)).await });
    wait_until(|| heads.lock().unwrap().len() == 1).await;
    assert!(ask(http, &get(1, "priority", 1, 4_000))
        .await
        .starts_with("HTTP/1.1 409"));
    assert!(
        first.await.unwrap().starts_with("HTTP/1.1 503"),
        "the first one's answer is its own"
    );
    assert_eq!(heads.lock().unwrap().len(), 1);
    // Once all of it is over, the id says nothing any more.
    for _ in 0..1_000 {
        if ask(http, &get(1, "priority", 1, 50))
            .await
            .starts_with("HTTP/1.1 503")
        {
            return;
        }
    }
    panic!("the id stays in use");
}

#[tokio::test]
async fn a_silent_crowd_keeps_nobody_out() {
    let (fronts, _) = front(OK).await;
    let mut crowd = Vec::new();
    for _ in 0..PLACES * 12 {
        crowd.push(TcpStream::connect(fronts.http).await.unwrap());
    }
    // Each of the crowd would keep its place for 2 s, and the whole of it everyone else out for 24 s.
    let request = get(1, "priority", 1, 60_000);
    let said = timeout(Duration::from_secs(12), ask(fronts.http, &request))
        .await
        .expect("served before the crowd has left");
    assert!(said.starts_with("HTTP/1.1 200"), "{said}");
}

#[tokio::test(start_paused = true)]
async fn the_last_of_an_answer_waits_for_its_client_and_idling_begins_behind_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_tell, phase) = watch::channel(Phase::Ready);
    let (mut gate, visit) = ClientStream::new(stream, phase);
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut bytes = vec![0; 64 << 10];
    assert!(gate.read(&mut bytes).await.unwrap() > 0);
    assert!(
        visit.finish_request(),
        "its answer is handed to the library"
    );
    // The client does not read, until no more leaves.
    let mut sent = 0;
    while let Ok(n) = timeout(Duration::from_millis(500), gate.write(&bytes)).await {
        sent += n.unwrap();
    }
    let idle = timeout(Duration::from_secs(5), gate.read(&mut bytes)).await;
    assert!(
        idle.is_err(),
        "to the library an end now would be a client that has gone"
    );
    // It reads on, the rest leaves, and from there on the connection is idle.
    let mut read = 0;
    while read < sent {
        read += client.read(&mut bytes).await.unwrap();
    }
    gate.write_all(b"the last").await.unwrap();
    assert!(
        timeout(Duration::from_millis(1_900), gate.read(&mut bytes))
            .await
            .is_err(),
        "not at once"
    );
    assert_eq!(
        timeout(Duration::from_secs(1), gate.read(&mut bytes))
            .await
            .expect("then closed")
            .unwrap(),
        0
    );
}
