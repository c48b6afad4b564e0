//! Requests as handlers get them, and responses as clients get them.

use crate::support::{echo, request, server, within, Client};
use http::Method;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_transport::http_server::{HttpLimits, HttpRequest, HttpResponse, IfMatch};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, Notify};

/// The request that the handler gets for these bytes.
async fn request_of(text: &str) -> HttpRequest {
    let seen = Arc::new(Mutex::new(None));
    let keep = seen.clone();
    let server = server(HttpLimits::default(), move |call| {
        *keep.lock().unwrap() = Some(call);
        async { HttpResponse::empty(200) }
    });
    let mut client = Client::connect(&server).await;
    client.send(text).await;
    assert_eq!(client.answer().await.status, 200);
    let call = seen.lock().unwrap().take();
    call.unwrap()
}

#[tokio::test]
async fn a_request_holds_what_was_sent() {
    let call = request_of(
        "PUT /a/b?c=d HTTP/1.1\r\nHost: Some.Example:8080\r\nIf-Match: 5\r\nLupinrack-Deadline-Remaining: 250\r\n\
         Content-Length: 2\r\n\r\n{}",
    )
    .await;
    let expected = HttpRequest {
        method: Method::PUT,
        path: "/a/b".into(),
        host: "some.example".into(),
        if_match: IfMatch::Version(5),
        deadline_remaining_ms: Some(250),
        body: "{}".into(),
    };
    assert_eq!(call, expected);
}

#[tokio::test]
async fn a_request_without_fields_has_none() {
    let call = request_of("GET / HTTP/1.1\r\n\r\n").await;
    assert_eq!((call.host.as_str(), call.if_match), ("", IfMatch::Missing));
    assert_eq!((call.deadline_remaining_ms, call.body.len()), (None, 0));
}

#[tokio::test]
async fn the_host_of_an_absolute_target_decides() {
    let call = request_of("GET http://One.example:1/x HTTP/1.1\r\nHost: two.example\r\n\r\n").await;
    assert_eq!(
        (call.host.as_str(), call.path.as_str()),
        ("one.example", "/x")
    );
}

#[tokio::test]
async fn if_match_is_one_number_quoted_or_not() {
    let cases = [
        ("If-Match: \"7\"\r\n", IfMatch::Version(7)),
        ("If-Match:  7 \r\n", IfMatch::Version(7)),
        ("If-Match: 0\r\n", IfMatch::Version(0)),
        (
            "If-Match: 18446744073709551615\r\n",
            IfMatch::Version(u64::MAX),
        ),
        ("If-Match: 18446744073709551616\r\n", IfMatch::Malformed),
        ("If-Match: \"7\r\n", IfMatch::Malformed),
        ("If-Match: +7\r\n", IfMatch::Malformed),
        ("If-Match: -7\r\n", IfMatch::Malformed),
        ("If-Match: \r\n", IfMatch::Malformed),
        ("If-Match: \"\"\r\n", IfMatch::Malformed),
        ("If-Match: *\r\n", IfMatch::Malformed),
        ("If-Match: 7, 8\r\n", IfMatch::Malformed),
        ("If-Match: 7\r\nIf-Match: 7\r\n", IfMatch::Malformed),
    ];
    for (header, if_match) in cases {
        let call = request_of(&format!("GET / HTTP/1.1\r\nHost: h\r\n{header}\r\n")).await;
        assert_eq!(call.if_match, if_match, "{header}");
    }
}

#[tokio::test]
async fn a_chunked_body_is_read_to_its_end() {
    let call = request_of(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    )
    .await;
    assert_eq!(call.body, "abcde");
}

#[tokio::test]
async fn responses_are_sent_with_their_fields() {
    let server = server(HttpLimits::default(), |call| async move {
        match call.path.as_str() {
            "/empty" => HttpResponse::empty(204),
            "/json" => HttpResponse::json("{}"),
            "/there" => HttpResponse::redirect("http://10.0.0.4:8080/there"),
            _ => HttpResponse::error(ErrorKind::NotTaken),
        }
    });
    let mut client = Client::connect(&server).await;
    let empty = client.ask(Method::GET, "/empty", "").await;
    assert_eq!(
        (empty.status, empty.header("content-type"), empty.is_last()),
        (204, None, false)
    );
    let json = client.ask(Method::GET, "/json", "").await;
    assert_eq!(
        (json.status, json.header("content-type")),
        (200, Some("application/json"))
    );
    let there = client.ask(Method::GET, "/there", "").await;
    assert_eq!(
        (there.status, there.header("location")),
        (307, Some("http://10.0.0.4:8080/there"))
    );
    let error = client.ask(Method::GET, "/error", "").await;
    assert_eq!(
        (error.status, error.header("retry-after")),
        (503, Some("1"))
    );
    assert_eq!(
        error.body,
        format!("{{\"error\":\"{}\"}}", ErrorKind::NotTaken)
    );
}

#[test]
fn every_error_kind_has_its_response() {
    for kind in ErrorKind::ALL {
        let answer = HttpResponse::error(kind);
        assert_eq!(
            (answer.status, answer.retry_after_s),
            (kind.http_error().status, kind.http_error().retry_after_s)
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
    let text: String = (0..40)
        .map(|n| request(Method::POST, &format!("/{n}"), "body"))
        .collect();
    client.send(&text).await;
    for n in 0..40 {
        assert_eq!(client.answer().await.body, format!("POST /{n} body"));
    }
}

#[tokio::test]
async fn a_client_that_ended_its_output_gets_its_response() {
    let go = Arc::new(Notify::new());
    let wait = go.clone();
    let server = server(HttpLimits::default(), move |_| {
        let wait = wait.clone();
        async move {
            wait.notified().await;
            HttpResponse::json("late")
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
async fn a_client_that_disconnects_ends_its_connection() {
    let go = Arc::new(Notify::new());
    let (wait, (begun, mut begins)) = (go.clone(), mpsc::channel(1));
    let server = server(HttpLimits::default(), move |_| {
        let (wait, begun) = (wait.clone(), begun.clone());
        async move {
            begun.send(()).await.unwrap();
            wait.notified().await;
            HttpResponse::empty(200)
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
async fn malformed_requests_are_rejected() {
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
async fn a_truncated_body_reaches_no_handler() {
    let server = server(HttpLimits::default(), |_| async {
        panic!("half a request was handled")
    });
    let mut client = Client::connect(&server).await;
    client
        .send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
        .await;
    client.stream.shutdown().await.unwrap();
    let mut rest = String::new();
    within(client.stream.read_to_string(&mut rest))
        .await
        .unwrap();
    assert!(
        rest.is_empty() || rest.starts_with("HTTP/1.1 400"),
        "{rest}"
    );
}
