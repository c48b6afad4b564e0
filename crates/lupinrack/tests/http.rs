//! The platform's front against stand-in nodes on loopback.

mod common;

use common::front::{ask, get, node, start, told, Fronts, Heads, PLACES};
use common::rsync::wait_until;
use lupinrack::net::shutdown::{Phase, Plan};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// A front with one node that answers like this.
async fn front(answer: &'static str) -> (Fronts, Heads) {
    let (address, heads) = node(answer).await;
    (start(address, address, "priority", 1_000).await, heads)
}

/// A write of one unit, with this body.
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
async fn a_request_passes_on_as_the_bytes_that_came() {
    let (fronts, heads) = front(OK).await;
    let answer = ask(fronts.http, &put("900000u", "some\0bytes")).await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\nhello"),
        "{answer}"
    );
    let seen = heads.lock().unwrap()[0].1.clone();
    let lower = seen.to_lowercase();
    assert!(
        seen.starts_with("PUT /new-write/7f3a9c21e0b4d655?x=1&y=%2Fz HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(
        lower.contains("x-request-id: w-1\r\n") && lower.contains("idempotency-key: k \"7\"\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nsome\0bytes"), "{seen}");
    let left = lower
        .split("x-deadline: ")
        .nth(1)
        .unwrap()
        .split("u\r\n")
        .next()
        .unwrap();
    assert!(
        (1..=900_000).contains(&left.parse::<u32>().unwrap()),
        "what is left of the client's time: {left}"
    );
}

#[tokio::test]
async fn malformed_input_gets_a_reason_and_reaches_no_node() {
    let (fronts, heads) = front(OK).await;
    let good = get(1, "priority", 1, 500);
    let long = put("500m", "").replace("Content-Length: 0", "Content-Length: 40000000");
    for (request, expected, reason) in [
        (good.replace("/read/", "/reed/"), "400", "no known class"),
        (
            good.replace("7f3a9c21e0b4d655", "7f3a9c21e0b4d65"),
            "400",
            "16 hexadecimal digits",
        ),
        (
            good.replace("7f3a9c21e0b4d655", "+f3a9c21e0b4d655"),
            "400",
            "16 hexadecimal digits",
        ),
        (
            good.replace("X-Plan: priority\r\n", ""),
            "400",
            "x-plan is missing",
        ),
        (
            good.replace("X-Plan: priority", "X-Plan: gold"),
            "400",
            "no known plan",
        ),
        (
            good.replace("500m", "500"),
            "400",
            "x-deadline cannot be read",
        ),
        (
            good.replace("500m", "-5m"),
            "400",
            "x-deadline cannot be read",
        ),
        (
            good.replace("500m", "99999999999999999999m"),
            "400",
            "x-deadline cannot be read",
        ),
        (
            good.replace(
                "X-Deadline: 500m\r\n",
                "X-Deadline: 500m\r\nX-Deadline: 9m\r\n",
            ),
            "400",
            "x-deadline",
        ),
        (
            good.replace("units=1", "units=nan"),
            "400",
            "x-io cannot be read",
        ),
        (
            good.replace("units=1", "units=9"),
            "400",
            "x-io cannot be read",
        ),
        (
            good.replace("shard=0", "shard=-2"),
            "400",
            "x-io cannot be read",
        ),
        (
            good.replace("hosts=1", "hosts=0"),
            "400",
            "x-io cannot be read",
        ),
        (
            good.replace("GET", "POST"),
            "400",
            "not used with this method",
        ),
        (
            good.replace("X-Request-Id", "X-Other-Id"),
            "400",
            "x-request-id is missing",
        ),
        (
            put("500m", "").replace("Idempotency-Key", "X-Key"),
            "400",
            "idempotency-key is missing",
        ),
        (long, "413", "longer than"),
    ] {
        let answer = ask(fronts.http, &request).await;
        assert_eq!(status(&answer), expected, "{request}\n{answer}");
        assert!(answer.contains(reason), "{reason}: {answer}");
    }
    assert!(heads.lock().unwrap().is_empty());
}

#[tokio::test]
async fn what_a_node_answers_is_served_whole_or_not_at_all() {
    // A write may have run: that can't be called a refusal. Turned away unrun, it can.
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
        let (fronts, heads) = front(answer).await;
        for (request, expected) in [(put("20000m", "body"), write), (get(1, "priority", 1, 20_000), read)] {
            let said = ask(fronts.http, &request).await;
            assert_eq!(status(&said), expected, "after {answer:?}: {said}");
            assert!(!said.contains("node"), "nothing of the node's answer: {said}");
            assert_eq!(said.contains("retry-after"), expected == "503", "{said}");
        }
        assert!(heads.lock().unwrap().len() <= 6, "three attempts each: no library sends again on its own");
    }
}

#[tokio::test]
async fn a_node_that_is_silent_or_gone_ends_in_one_answer_in_time() {
    let (fronts, _) = front("").await;
    let began = Instant::now();
    assert_eq!(
        status(&ask(fronts.http, &get(1, "priority", 1, 1_500)).await),
        "503"
    );
    assert_eq!(
        status(&ask(fronts.http, &put("1500m", "body")).await),
        "502"
    );
    assert!(
        began.elapsed() >= Duration::from_millis(2_500),
        "it waited for the node"
    );
    // Nobody listens: it provably never ran, so even a write is refused.
    let dead = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let fronts = start(dead, dead, "priority", 1_000).await;
    assert_eq!(
        status(&ask(fronts.http, &put("1500m", "body")).await),
        "503"
    );
}

#[tokio::test]
async fn what_the_module_gives_up_is_answered_at_once_with_a_time_to_come_back() {
    let (fronts, heads) = front(OK).await;
    let began = Instant::now();
    let answer = ask(fronts.http, &get(1, "tiny", 8, 60_000)).await;
    assert!(
        answer.contains("retry-after: 1.000") && status(&answer) == "503",
        "{answer}"
    );
    assert!(
        began.elapsed() < Duration::from_secs(15),
        "not held back for long of its minute"
    );
    assert!(heads.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_connection_serves_one_request_after_another() {
    let (fronts, heads) = front(OK).await;
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
    assert_eq!(heads.lock().unwrap().len(), 3);
}

#[tokio::test]
async fn a_client_that_leaves_owes_the_front_nothing_more() {
    let (fronts, heads) = front("").await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(get(1, "priority", 1, 60_000).as_bytes())
        .await
        .unwrap();
    wait_until(|| heads.lock().unwrap().len() == 1).await;
    drop(stream);
    // The front ends without waiting for the minute of a client that is gone.
    fronts.phase.send_replace(Phase::Closing);
    timeout(Duration::from_secs(20), fronts.ended)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn a_planned_end_finishes_what_was_taken() {
    let (fronts, heads) = front("").await;
    let ready = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    assert_eq!(status(&ask(fronts.http, ready).await), "200");
    let http = fronts.http;
    let early = tokio::spawn(async move { ask(http, &get(1, "priority", 1, 3_000)).await });
    wait_until(|| heads.lock().unwrap().len() == 1).await;
    fronts.phase.send_replace(Phase::Ending);
    assert_eq!(status(&ask(fronts.http, ready).await), "503");
    // Connections still come, and are closed with their answer once the front is closing.
    let mut stream = TcpStream::connect(http).await.unwrap();
    stream
        .write_all(get(2, "priority", 1, 3_000).as_bytes())
        .await
        .unwrap();
    wait_until(|| heads.lock().unwrap().len() == 2).await;
    fronts.phase.send_replace(Phase::Closing);
    let mut late = String::new();
    stream.read_to_string(&mut late).await.unwrap();
    assert!(
        status(&late) == "503" && late.contains("connection: close"),
        "{late}"
    );
    assert_eq!(status(&early.await.unwrap()), "503");
    timeout(Duration::from_secs(20), fronts.ended)
        .await
        .unwrap()
        .unwrap();
    assert!(
        TcpStream::connect(http).await.is_err(),
        "nobody listens any more"
    );
}

#[tokio::test]
async fn while_a_front_is_ending_its_clients_connections_serve_on() {
    let (fronts, heads) = front(OK).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    fronts.phase.send_replace(Phase::Ending);
    for i in 0..2 {
        // Longer than a connection may idle otherwise: it could not be replaced.
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
    assert_eq!(heads.lock().unwrap().len(), 2);
}

#[tokio::test]
async fn what_is_open_when_the_time_is_over_is_answered_at_once() {
    let (fronts, heads) = front("").await;
    let http = fronts.http;
    let open = tokio::spawn(async move { ask(http, &put("60000m", "body")).await });
    wait_until(|| heads.lock().unwrap().len() == 1).await;
    fronts.phase.send_replace(Phase::Over);
    let answer = timeout(Duration::from_secs(20), open)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(status(&answer), "502", "it may have run: {answer}");
    timeout(Duration::from_secs(20), fronts.ended)
        .await
        .unwrap()
        .unwrap();
}

#[test]
fn a_planned_end_is_over_before_the_platform_kills() {
    let plan = |deadline| {
        let mut settings = told().policy;
        settings
            .classes
            .iter_mut()
            .for_each(|c| c.deadline = deadline);
        Plan::new(&settings)
    };
    // 0.7 s after the longest deadline, which counts as 3 s where it is longer.
    for (deadline, kill) in [
        (500_000, 1_200),
        (2_000_000, 2_700),
        (4_000_000, 3_700),
        (60_000_000, 3_700),
    ] {
        let (plan, kill) = (plan(deadline), Duration::from_millis(kill));
        assert!(
            plan.closing >= Duration::from_millis(700),
            "new connections come for up to 0.4 s"
        );
        assert!(
            plan.closing <= plan.over && plan.over + Duration::from_millis(200) <= kill,
            "{plan:?}"
        );
    }
}

#[tokio::test]
async fn clients_that_ask_once_and_stay_give_up_their_places() {
    let (fronts, _) = front(OK).await;
    let mut staying = Vec::new();
    // One more than there are places: the last is served once the first have idled for long enough.
    for i in 0..=PLACES as u32 {
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream
            .write_all(get(i, "priority", 1, 60_000).as_bytes())
            .await
            .unwrap();
        staying.push(stream);
    }
    for mut stream in staying {
        let mut all = String::new();
        timeout(Duration::from_secs(15), stream.read_to_string(&mut all))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(status(&all), "200", "{all}");
    }
}
