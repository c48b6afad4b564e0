//! The HTTP front against mock nodes on loopback.

mod common;

use common::front::{ask, front_settings, get, node, start, Fronts, Heads, MAX_HTTP_CLIENTS};
use common::rsync::wait_until;
use lupinrack::net::shutdown::{Phase, Plan};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// Fronts with one HTTP node that sends this response.
async fn front(answer: &'static str) -> (Fronts, Heads) {
    let (address, node_requests) = node(answer).await;
    (
        start(address, address, "priority", 1_000).await,
        node_requests,
    )
}

/// A write of one unit with this body.
fn put(deadline: &str, body: &str) -> String {
    format!(
        "PUT /new-write/7f3a9c21e0b4d655?x=1&y=%2Fz HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: w-1\r\n\
         X-Plan: priority\r\nX-Deadline: {deadline}\r\nIdempotency-Key: k \"7\"\r\n\
         X-IO: volume=00000003b4d60021,units=1,shard=-1,hosts=1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

#[tokio::test]
async fn a_request_is_forwarded_byte_for_byte() {
    let (fronts, node_requests) = front(OK).await;
    let answer = ask(fronts.http, &put("900000u", "some\0bytes")).await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\nhello"),
        "{answer}"
    );
    let forwarded = node_requests.lock().unwrap()[0].1.clone();
    let forwarded_lower = forwarded.to_lowercase();
    assert!(
        forwarded.starts_with("PUT /new-write/7f3a9c21e0b4d655?x=1&y=%2Fz HTTP/1.1\r\n"),
        "{forwarded}"
    );
    assert!(
        forwarded_lower.contains("x-request-id: w-1\r\n")
            && forwarded_lower.contains("idempotency-key: k \"7\"\r\n"),
        "{forwarded}"
    );
    assert!(forwarded.ends_with("\r\n\r\nsome\0bytes"), "{forwarded}");
    let remaining = forwarded_lower
        .split("x-deadline: ")
        .nth(1)
        .unwrap()
        .split("u\r\n")
        .next()
        .unwrap();
    assert!(
        (1..=900_000).contains(&remaining.parse::<u32>().unwrap()),
        "the client's remaining time: {remaining}"
    );
}

#[tokio::test]
async fn a_malformed_request_gets_a_reason_and_reaches_no_node() {
    let (fronts, node_requests) = front(OK).await;
    let valid = get(1, "priority", 1, 500);
    let too_long = put("500m", "").replace("Content-Length: 0", "Content-Length: 40000000");
    for (request, expected, reason) in [
        (valid.replace("/read/", "/reed/"), "400", "no known class"),
        (
            valid.replace("7f3a9c21e0b4d655", "7f3a9c21e0b4d65"),
            "400",
            "16 hexadecimal digits",
        ),
        (
            valid.replace("7f3a9c21e0b4d655", "+f3a9c21e0b4d655"),
            "400",
            "16 hexadecimal digits",
        ),
        (
            valid.replace("X-Plan: priority\r\n", ""),
            "400",
            "x-plan is missing",
        ),
        (
            valid.replace("X-Plan: priority", "X-Plan: gold"),
            "400",
            "no known plan",
        ),
        (
            valid.replace("500m", "500"),
            "400",
            "x-deadline cannot be read",
        ),
        (
            valid.replace("500m", "-5m"),
            "400",
            "x-deadline cannot be read",
        ),
        (
            valid.replace("500m", "99999999999999999999m"),
            "400",
            "x-deadline cannot be read",
        ),
        (
            valid.replace(
                "X-Deadline: 500m\r\n",
                "X-Deadline: 500m\r\nX-Deadline: 9m\r\n",
            ),
            "400",
            "x-deadline",
        ),
        (
            valid.replace("units=1", "units=nan"),
            "400",
            "x-io cannot be read",
        ),
        (
            valid.replace("units=1", "units=9"),
            "400",
            "x-io cannot be read",
        ),
        (
            valid.replace("shard=0", "shard=-2"),
            "400",
            "x-io cannot be read",
        ),
        (
            valid.replace("hosts=1", "hosts=0"),
            "400",
            "x-io cannot be read",
        ),
        (
            valid.replace("GET", "POST"),
            "400",
            "not used with this method",
        ),
        (
            valid.replace("X-Request-Id", "X-Other-Id"),
            "400",
            "x-request-id is missing",
        ),
        (
            put("500m", "").replace("Idempotency-Key", "X-Key"),
            "400",
            "idempotency-key is missing",
        ),
        (too_long, "413", "longer than"),
    ] {
        let answer = ask(fronts.http, &request).await;
        assert_eq!(status(&answer), expected, "{request}\n{answer}");
        assert!(answer.contains(reason), "{reason}: {answer}");
    }
    assert!(node_requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_nodes_response_is_served_completely_or_not_at_all() {
    // A write that may have run is no rejection (502). One that provably did not run is (503).
    for (answer, write, read) in [
        ("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nnode", "502", "503"),
        ("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nnode", "502", "503"),
        ("HTTP/1.1 429 Busy\r\nContent-Length: 4\r\n\r\nnode", "502", "503"),
        ("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nnode", "503", "503"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nnode", "502", "503"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nnode\r\n",
            "502",
            "503",
        ),
        ("close", "502", "503"),
    ] {
        let (fronts, node_requests) = front(answer).await;
        for (request, expected) in [(put("20000m", "body"), write), (get(1, "priority", 1, 20_000), read)] {
            let response = ask(fronts.http, &request).await;
            assert_eq!(status(&response), expected, "after {answer:?}: {response}");
            assert!(!response.contains("node"), "nothing of the node's response: {response}");
            assert_eq!(response.contains("retry-after"), expected == "503", "{response}");
        }
        assert!(node_requests.lock().unwrap().len() <= 6, "three attempts each: no library retries by itself");
    }
}

#[tokio::test]
async fn a_silent_or_absent_node_yields_one_response_before_the_deadline() {
    let (fronts, _) = front("").await;
    let started = Instant::now();
    assert_eq!(
        status(&ask(fronts.http, &get(1, "priority", 1, 1_500)).await),
        "503"
    );
    assert_eq!(
        status(&ask(fronts.http, &put("1500m", "body")).await),
        "502"
    );
    assert!(
        started.elapsed() >= Duration::from_millis(2_500),
        "the front waited for the node"
    );
    // The connection is refused, so the write provably never ran and is rejected.
    let unused_address = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let fronts = start(unused_address, unused_address, "priority", 1_000).await;
    assert_eq!(
        status(&ask(fronts.http, &put("1500m", "body")).await),
        "503"
    );
}

#[tokio::test]
async fn a_request_that_the_policy_rejects_gets_retry_after_at_once() {
    let (fronts, node_requests) = front(OK).await;
    let started = Instant::now();
    let answer = ask(fronts.http, &get(1, "tiny", 8, 60_000)).await;
    assert!(
        answer.contains("retry-after: 1.000") && status(&answer) == "503",
        "{answer}"
    );
    assert!(
        started.elapsed() < Duration::from_secs(15),
        "rejected long before its deadline"
    );
    assert!(node_requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_connection_serves_one_request_after_another() {
    let (fronts, node_requests) = front(OK).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    for i in 0..3 {
        stream
            .write_all(get(i, "priority", 1, 5_000).as_bytes())
            .await
            .unwrap();
        let mut answer = String::new();
        while !answer.ends_with("hello") {
            answer.push(stream.read_u8().await.unwrap() as char);
        }
        assert_eq!(status(&answer), "200");
    }
    assert_eq!(node_requests.lock().unwrap().len(), 3);
}

#[tokio::test]
async fn a_disconnected_client_does_not_delay_the_shutdown() {
    let (fronts, node_requests) = front("").await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(get(1, "priority", 1, 60_000).as_bytes())
        .await
        .unwrap();
    wait_until(|| node_requests.lock().unwrap().len() == 1).await;
    drop(stream);
    // The front ends without waiting for the deadline of the disconnected client, a minute.
    fronts.phase.send_replace(Phase::Draining);
    timeout(Duration::from_secs(20), fronts.task)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn a_graceful_shutdown_finishes_accepted_requests() {
    let (fronts, node_requests) = front("").await;
    let ready = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    assert_eq!(status(&ask(fronts.http, ready).await), "200");
    let http = fronts.http;
    let first = tokio::spawn(async move { ask(http, &get(1, "priority", 1, 3_000)).await });
    wait_until(|| node_requests.lock().unwrap().len() == 1).await;
    fronts.phase.send_replace(Phase::NotReady);
    assert_eq!(status(&ask(fronts.http, ready).await), "503");
    // New connections are still accepted, and closed with their response once the front is closing.
    let mut stream = TcpStream::connect(http).await.unwrap();
    stream
        .write_all(get(2, "priority", 1, 3_000).as_bytes())
        .await
        .unwrap();
    wait_until(|| node_requests.lock().unwrap().len() == 2).await;
    fronts.phase.send_replace(Phase::Draining);
    let mut second = String::new();
    stream.read_to_string(&mut second).await.unwrap();
    assert!(
        status(&second) == "503" && second.contains("connection: close"),
        "{second}"
    );
    assert_eq!(status(&first.await.unwrap()), "503");
    timeout(Duration::from_secs(20), fronts.task)
        .await
        .unwrap()
        .unwrap();
    assert!(
        TcpStream::connect(http).await.is_err(),
        "the listener is closed"
    );
}

#[tokio::test]
async fn connections_of_an_ending_front_keep_serving() {
    let (fronts, node_requests) = front(OK).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    fronts.phase.send_replace(Phase::NotReady);
    for i in 0..2 {
        // Longer than the idle timeout of a ready front. The client could not open another connection.
        tokio::time::sleep(Duration::from_millis(2_300)).await;
        stream
            .write_all(get(i, "priority", 1, 60_000).as_bytes())
            .await
            .unwrap();
        let mut answer = String::new();
        while !answer.ends_with("hello") {
            answer.push(stream.read_u8().await.unwrap() as char);
        }
        assert!(
            status(&answer) == "200" && !answer.contains("close"),
            "{answer}"
        );
    }
    assert_eq!(node_requests.lock().unwrap().len(), 2);
}

#[tokio::test]
async fn open_requests_are_answered_at_once_when_the_shutdown_is_over() {
    let (fronts, node_requests) = front("").await;
    let http = fronts.http;
    let pending = tokio::spawn(async move { ask(http, &put("60000m", "body")).await });
    wait_until(|| node_requests.lock().unwrap().len() == 1).await;
    fronts.phase.send_replace(Phase::GraceExpired);
    let answer = timeout(Duration::from_secs(20), pending)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(status(&answer), "502", "the write may have run: {answer}");
    timeout(Duration::from_secs(20), fronts.task)
        .await
        .unwrap()
        .unwrap();
}

#[test]
fn a_graceful_shutdown_is_over_before_the_platform_kills() {
    let plan = |deadline| {
        let mut settings = front_settings().policy;
        settings
            .classes
            .iter_mut()
            .for_each(|c| c.deadline = deadline);
        Plan::new(&settings)
    };
    // The platform kills 0.7 s after the longest deadline, of which at most 3 s count.
    for (deadline, kill_after) in [
        (500_000, 1_200),
        (2_000_000, 2_700),
        (4_000_000, 3_700),
        (60_000_000, 3_700),
    ] {
        let (plan, kill_after) = (plan(deadline), Duration::from_millis(kill_after));
        assert!(
            plan.draining_after >= Duration::from_millis(700),
            "new connections arrive for up to 0.4 s"
        );
        assert!(
            plan.draining_after <= plan.grace_expires_after
                && plan.grace_expires_after + Duration::from_millis(200) <= kill_after,
            "{plan:?}"
        );
    }
}

#[tokio::test]
async fn idle_clients_give_up_their_slots_after_the_idle_timeout() {
    let (fronts, _) = front(OK).await;
    let mut clients = Vec::new();
    // One more than the limit: the last is served once the first ones reach the idle timeout.
    for i in 0..=MAX_HTTP_CLIENTS as u32 {
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream
            .write_all(get(i, "priority", 1, 60_000).as_bytes())
            .await
            .unwrap();
        clients.push(stream);
    }
    for mut stream in clients {
        let mut response = String::new();
        timeout(
            Duration::from_secs(15),
            stream.read_to_string(&mut response),
        )
        .await
        .unwrap()
        .unwrap();
        assert_eq!(status(&response), "200", "{response}");
    }
}
