//! Answers of the HTTP server: those of handlers, and those that it gives itself.

use super::examples::assert_http;
use super::sockets::{accepted, listener, read_message, within, ANY};
use bytes::Bytes;
use http::{header, Request, Response};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_transport::http_client::call;
use lupinrack_cluster_transport::http_server::{serve, HttpLimits, HttpResponse, ServerHandle};
use lupinrack_cluster_transport::listen::bind_once;
use lupinrack_cluster_transport::shared_value::SharedValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A complete request, after which the connection stays open.
const GET: &str = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// The limits of the server whose error responses are in the golden file.
const LIMITS: HttpLimits = HttpLimits {
    max_header_bytes: 1000,
    max_body_bytes: 10,
    header_timeout_ms: 300,
    idle_timeout_ms: 5000,
    max_connections: 8,
};

/// A server that gives the same answer to all requests.
fn server(limits: HttpLimits, answer: HttpResponse) -> ServerHandle {
    let handler = move |_| {
        let answer = answer.clone();
        async move { answer }
    };
    serve(
        bind_once(ANY).unwrap(),
        Arc::new(SharedValue::new(limits)),
        handler,
    )
    .unwrap()
}

/// The response of the server to these bytes.
async fn answer_to(server: &ServerHandle, text: &str) -> String {
    let mut stream = TcpStream::connect(server.local_address()).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read_message(&mut stream).await
}

/// The response that the client parses from these bytes.
async fn received(message: &str) -> Response<Bytes> {
    let (listener, address) = listener().await;
    let server = async {
        let mut stream = accepted(&listener).await;
        read_message(&mut stream).await;
        stream.write_all(message.as_bytes()).await.unwrap();
        stream
    };
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let (answer, _stream) =
        within(async { tokio::join!(call(address, request, TIMEOUT), server) }).await;
    answer.unwrap()
}

fn answers() -> Vec<(String, HttpResponse)> {
    let all = HttpResponse {
        status: 503,
        retry_after_s: Some(42),
        location: Some("http://10.20.30.40:8080/v1/status".into()),
        body: Bytes::from_static(br#"{"a":1}"#),
    };
    let answers = [
        ("empty", HttpResponse::empty(200)),
        ("accepted", HttpResponse::empty(202)),
        ("json", HttpResponse::json(r#"{"version":3}"#)),
        ("redirect", HttpResponse::redirect("/elsewhere")),
        ("everything", all),
    ];
    let errors = ErrorKind::ALL.map(|kind| (format!("error: {kind}"), HttpResponse::error(kind)));
    answers
        .map(|(name, answer)| (name.to_owned(), answer))
        .into_iter()
        .chain(errors)
        .collect()
}

#[tokio::test]
async fn answers_of_handlers() {
    let mut messages = Vec::new();
    for (name, answer) in answers() {
        messages.push((
            name,
            answer_to(&server(HttpLimits::default(), answer), GET).await,
        ));
    }
    let kept = assert_http("answers.http", &messages);
    for (name, answer) in answers() {
        let response = received(&kept[&name]).await;
        let header = |name| {
            response
                .headers()
                .get(name)
                .map(|value| value.to_str().unwrap().to_owned())
        };
        let seen = HttpResponse {
            status: response.status().as_u16(),
            retry_after_s: header(header::RETRY_AFTER).map(|seconds| seconds.parse().unwrap()),
            location: header(header::LOCATION),
            body: response.body().clone(),
        };
        assert_eq!(seen, answer, "{name}");
    }
}

#[tokio::test]
async fn answers_that_the_server_gives_itself() {
    let large_head = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: {}\r\n\r\n",
        "x".repeat(2000)
    );
    let cases = [
        ("no request", "nonsense\r\n\r\n"),
        ("large head", &large_head),
        ("slow head", "GET / HTTP/1.1\r\nHo"),
        (
            "large body",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n",
        ),
        (
            "slow body",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
        ),
        (
            "the body is waited for",
            "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
        ),
        (
            "the last one on its connection",
            "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        ),
        (
            "the client speaks HTTP/1.0",
            "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        ),
        (
            "the client speaks HTTP/1.0 and stays",
            "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
        ),
    ];
    let server = server(LIMITS, HttpResponse::json("{}"));
    let mut messages = Vec::new();
    for (name, text) in cases {
        messages.push((name.to_owned(), answer_to(&server, text).await));
    }
    assert_http("refusals.http", &messages);
}
