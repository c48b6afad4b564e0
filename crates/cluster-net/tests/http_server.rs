//! The HTTP server: calls, answers, limits.

mod http_support;

use http::Method;
use http_support::{echo, request, server, within, Client};
use lupinrack_cluster_api::configuration::Limits;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_net::http_server::{serve, HttpAnswer, HttpCall, HttpLimits};
use lupinrack_cluster_net::listen::bind_once;
use lupinrack_cluster_net::snapshot::Snapshot;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// What the handler gets of a request's text.
async fn call_of(text: &str) -> HttpCall {
    let seen = Arc::new(Mutex::new(None));
    let keep = seen.clone();
    let server = server(HttpLimits::default(), move |call| {
        *keep.lock().unwrap() = Some(call);
        async { HttpAnswer::empty(200) }
    });
    let mut client = Client::connect(&server).await;
    client.send(text).await;
    assert_eq!(client.answer().await.status, 200);
    let call = seen.lock().unwrap().take();
    call.unwrap()
}

#[tokio::test]
async fn a_call_holds_what_was_asked() {
    let call = call_of(
        "PUT /a/b?c=d HTTP/1.1\r\nHost: Some.Example:8080\r\nIf-Match: 5\r\nLupinrack-Deadline-Remaining: 250\r\n\
         Content-Length: 2\r\n\r\n{}",
    )
    .await;
    let expected = HttpCall {
        method: Method::PUT,
        path: "/a/b".into(),
        host: "some.example".into(),
        if_match: Some(5),
        if_match_malformed: false,
        deadline_remaining_ms: Some(250),
        body: "{}".into(),
    };
    assert_eq!(call, expected);
}

#[tokio::test]
async fn a_call_without_headers_has_none() {
    let call = call_of("GET / HTTP/1.1\r\n\r\n").await;
    assert_eq!((call.host.as_str(), call.if_match, call.if_match_malformed), ("", None, false));
    assert_eq!((call.deadline_remaining_ms, call.body.len()), (None, 0));
}

#[tokio::test]
async fn the_host_of_an_absolute_target_counts() {
    let call = call_of("GET http://One.example:1/x HTTP/1.1\r\nHost: two.example\r\n\r\n").await;
    assert_eq!((call.host.as_str(), call.path.as_str()), ("one.example", "/x"));
}

#[tokio::test]
async fn if_match_may_stand_in_quotes_and_is_one_number() {
    let cases = [
        ("If-Match: \"7\"\r\n", Some(7), false),
        ("If-Match:  7 \r\n", Some(7), false),
        ("If-Match: 0\r\n", Some(0), false),
        ("If-Match: 18446744073709551615\r\n", Some(u64::MAX), false),
        ("If-Match: 18446744073709551616\r\n", None, true),
        ("If-Match: \"7\r\n", None, true),
        ("If-Match: +7\r\n", None, true),
        ("If-Match: -7\r\n", None, true),
        ("If-Match: \r\n", None, true),
        ("If-Match: \"\"\r\n", None, true),
        ("If-Match: *\r\n", None, true),
        ("If-Match: 7, 8\r\n", None, true),
        ("If-Match: 7\r\nIf-Match: 7\r\n", None, true),
    ];
    for (header, number, malformed) in cases {
        let call = call_of(&format!("GET / HTTP/1.1\r\nHost: h\r\n{header}\r\n")).await;
        assert_eq!((call.if_match, call.if_match_malformed), (number, malformed), "{header}");
    }
}

#[tokio::test]
async fn a_body_in_chunks_is_put_together() {
    let call = call_of(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    )
    .await;
    assert_eq!(call.body, "abcde");
}

#[tokio::test]
async fn answers_are_sent_with_their_headers() {
    let server = server(HttpLimits::default(), |call| async move {
        match call.path.as_str() {
            "/empty" => HttpAnswer::empty(204),
            "/json" => HttpAnswer::json("{}"),
            "/there" => HttpAnswer::redirect("http://10.0.0.4:8080/there"),
            _ => HttpAnswer::error(ErrorKind::NotTaken),
        }
    });
    let mut client = Client::connect(&server).await;
    let empty = client.ask(Method::GET, "/empty", "").await;
    assert_eq!((empty.status, empty.header("content-type"), empty.is_last()), (204, None, false));
    let json = client.ask(Method::GET, "/json", "").await;
    assert_eq!((json.status, json.header("content-type")), (200, Some("application/json")));
    let there = client.ask(Method::GET, "/there", "").await;
    assert_eq!((there.status, there.header("location")), (307, Some("http://10.0.0.4:8080/there")));
    let error = client.ask(Method::GET, "/error", "").await;
    assert_eq!((error.status, error.header("retry-after")), (503, Some("1")));
    assert_eq!(error.body, format!("{{\"error\":\"{}\"}}", ErrorKind::NotTaken));
}

#[test]
fn every_error_kind_has_its_answer() {
    for kind in ErrorKind::ALL {
        let answer = HttpAnswer::error(kind);
        assert_eq!(
            (answer.status, answer.retry_after_s),
            (kind.answer().status, kind.answer().retry_after_s)
        );
        assert!(!kind.to_string().contains(['"', '\\']));
    }
}

#[tokio::test]
async fn requests_follow_each_other_on_a_connection() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::POST, "/1", "a").await.body, "POST /1 a");
    assert_eq!(client.ask(Method::GET, "/2", "").await.body, "GET /2 ");
    assert_eq!(server.open_connections(), 1);
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    let text: String = (0..40).map(|n| request(Method::POST, &format!("/{n}"), "body")).collect();
    client.send(&text).await;
    for n in 0..40 {
        assert_eq!(client.answer().await.body, format!("POST /{n} body"));
    }
}

#[tokio::test]
async fn a_client_that_ended_its_output_gets_its_answer() {
    let go = Arc::new(Notify::new());
    let wait = go.clone();
    let server = server(HttpLimits::default(), move |_| {
        let wait = wait.clone();
        async move {
            wait.notified().await;
            HttpAnswer::json("late")
        }
    });
    let mut client = Client::connect(&server).await;
    client.send(&request(Method::GET, "/", "")).await;
    client.stream.shutdown().await.unwrap();
    go.notify_one();
    assert_eq!(client.answer().await.body, "late");
    assert!(client.is_closed().await);
}

#[tokio::test]
async fn a_client_that_has_gone_leaves_no_connection() {
    let go = Arc::new(Notify::new());
    let (wait, (begun, mut begins)) = (go.clone(), mpsc::channel(1));
    let server = server(HttpLimits::default(), move |_| {
        let (wait, begun) = (wait.clone(), begun.clone());
        async move {
            begun.send(()).await.unwrap();
            wait.notified().await;
            HttpAnswer::empty(200)
        }
    });
    let mut client = Client::connect(&server).await;
    client.send(&request(Method::GET, "/", "")).await;
    within(begins.recv()).await;
    drop(client);
    go.notify_one();
    while server.open_connections() > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_the_client_sees_it() {
    let limits = HttpLimits { max_body_bytes: 1000, ..HttpLimits::default() };
    let server = echo(limits);
    let fits = "x".repeat(1000);
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::POST, "/", &fits).await.status, 200);

    // All of a large body is sent before the answer is read.
    let large = "x".repeat(300_000);
    let mut client = Client::connect(&server).await;
    let refused = client.ask(Method::POST, "/", &large).await;
    assert_eq!((refused.status, refused.is_last()), (413, true));
    assert!(client.is_closed().await);

    let mut client = Client::connect(&server).await;
    let chunk = format!("{:x}\r\n{}\r\n", 600, "x".repeat(600));
    client.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    client.send(&chunk).await;
    client.send(&chunk).await;
    let refused = client.answer().await;
    assert_eq!((refused.status, refused.is_last()), (413, true));
}

#[tokio::test]
async fn a_client_that_asks_first_is_told_before_it_sends() {
    let limits = HttpLimits { max_body_bytes: 1000, ..HttpLimits::default() };
    let server = echo(limits);
    let mut client = Client::connect(&server).await;
    client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n").await;
    assert_eq!(client.answer().await.status, 413);

    let mut client = Client::connect(&server).await;
    client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n").await;
    assert_eq!(client.answer().await.status, 100);
    client.send("ab").await;
    assert_eq!(client.answer().await.body, "POST / ab");
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    for filler in [2000, 100_000] {
        let server = echo(HttpLimits { max_header_bytes: 1000, ..HttpLimits::default() });
        let mut client = Client::connect(&server).await;
        let text = format!("GET / HTTP/1.1\r\nHost: h\r\nX-Filler: {}\r\n\r\n", "x".repeat(filler));
        client.send(&text).await;
        assert_eq!(client.answer().await.status, 431);
        assert!(client.is_closed().await);
    }
}

#[tokio::test]
async fn heads_up_to_the_limit_are_taken() {
    let server = echo(HttpLimits { max_header_bytes: 40_000, ..HttpLimits::default() });
    let mut client = Client::connect(&server).await;
    let text = format!("GET / HTTP/1.1\r\nHost: h\r\nX-Filler: {}\r\n\r\n", "x".repeat(39_000));
    client.send(&text).await;
    assert_eq!(client.answer().await.status, 200);
}

#[tokio::test]
async fn what_is_no_request_is_refused() {
    let server = echo(HttpLimits::default());
    for text in [
        "nonsense\r\n\r\n",
        "GET / HTTP/1.1\r\nbad header\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    ] {
        let mut client = Client::connect(&server).await;
        client.send(text).await;
        assert_eq!(client.answer().await.status, 400, "{text}");
        assert!(client.is_closed().await);
    }
}

#[tokio::test]
async fn a_body_that_breaks_off_reaches_no_handler() {
    let server = server(HttpLimits::default(), |_| async { panic!("half a request was handled") });
    let mut client = Client::connect(&server).await;
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc").await;
    client.stream.shutdown().await.unwrap();
    let mut rest = String::new();
    within(client.stream.read_to_string(&mut rest)).await.unwrap();
    assert!(rest.is_empty() || rest.starts_with("HTTP/1.1 400"), "{rest}");
}

#[tokio::test(start_paused = true)]
async fn a_slow_head_is_refused_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.status, 200);
    let began = Instant::now();
    client.send("GET / HTTP/1.1\r\nHo").await;
    assert_eq!(client.answer().await.status, 408);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(3000) && took < Duration::from_millis(3100), "{took:?}");
    assert!(client.is_closed().await);
}

#[tokio::test(start_paused = true)]
async fn a_slow_body_is_refused_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    let began = Instant::now();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc").await;
    let refused = client.answer().await;
    assert_eq!((refused.status, refused.is_last()), (408, true));
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(3000) && took < Duration::from_millis(3100), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_body_in_drops_is_refused_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n").await;
    let began = Instant::now();
    let (mut input, mut output) = client.stream.split();
    let drops = async {
        while output.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    };
    let mut first = [0; 12];
    tokio::select! {
        _ = input.read_exact(&mut first) => {}
        () = drops => panic!("no answer"),
    }
    assert_eq!(&first, b"HTTP/1.1 408");
    assert!(began.elapsed() < Duration::from_millis(15_100));
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.status, 200);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.status, 200);
    let began = Instant::now();
    assert!(client.is_closed().await);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(15_000) && took < Duration::from_millis(15_100), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_at_work_is_not_cut_by_times() {
    let server = server(HttpLimits::default(), |_| async {
        tokio::time::sleep(Duration::from_secs(50)).await;
        HttpAnswer::json("done")
    });
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.body, "done");
}

#[tokio::test]
async fn idle_connections_make_room_for_new_ones() {
    let server = echo(HttpLimits { most_connections: 2, ..HttpLimits::default() });
    let mut clients = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(&server).await;
        assert_eq!(client.ask(Method::GET, &format!("/{n}"), "").await.status, 200);
        assert!(server.open_connections() <= 2);
        clients.push(client);
    }
}

#[tokio::test]
async fn busy_connections_are_not_closed_for_new_ones() {
    let go = Arc::new(Notify::new());
    let (wait, (begun, mut begins)) = (go.clone(), mpsc::channel(2));
    let limits = HttpLimits { most_connections: 1, ..HttpLimits::default() };
    let server = server(limits, move |_| {
        let (wait, begun) = (wait.clone(), begun.clone());
        async move {
            begun.send(()).await.unwrap();
            wait.notified().await;
            HttpAnswer::empty(200)
        }
    });
    let mut first = Client::connect(&server).await;
    first.send(&request(Method::GET, "/", "")).await;
    within(begins.recv()).await;
    let mut second = Client::connect(&server).await;
    second.send(&request(Method::GET, "/", "")).await;
    go.notify_one();
    // The answer is the last one on its connection, since another client waits.
    let answer = first.answer().await;
    assert_eq!((answer.status, answer.is_last()), (200, true));
    within(begins.recv()).await;
    go.notify_one();
    assert_eq!(second.answer().await.status, 200);
}

#[tokio::test]
async fn changed_limits_hold_for_the_next_request() {
    let limits = Arc::new(Snapshot::new(HttpLimits::default()));
    let handler = |_| async { HttpAnswer::empty(200) };
    let server = serve(bind_once(http_support::ANY).unwrap(), limits.clone(), handler).unwrap();
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::POST, "/", "four").await.status, 200);
    limits.replace(Arc::new(HttpLimits { max_body_bytes: 3, ..HttpLimits::default() }));
    assert_eq!(client.ask(Method::POST, "/", "four").await.status, 413);
}

#[test]
fn limits_of_a_configuration_have_defaults() {
    let limits = HttpLimits::of(&Limits { max_body_bytes: 7, ..Limits::default() }, 9);
    let expected = HttpLimits { max_body_bytes: 7, most_connections: 9, ..HttpLimits::default() };
    assert_eq!(limits, expected);
}
