//! Requests of the HTTP client.

use super::examples::assert_http;
use super::sockets::{accepted, listener, read_message, version_4, within, ANY};
use bytes::Bytes;
use http::{header, Method, Request};
use lupinrack_cluster_transport::http_client::call;
use lupinrack_cluster_transport::http_server::{
    serve, HttpLimits, HttpRequest, HttpResponse, IfMatch, DEADLINE_REMAINING,
};
use lupinrack_cluster_transport::listen::bind_once;
use lupinrack_cluster_transport::shared_value::SharedValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_secs(30);

/// The placeholder for the port of the server, which differs from run to run.
const PORT: &str = "7";

/// A request, and how the server parses it.
struct Example {
    name: &'static str,
    request: Request<Bytes>,
    call: HttpRequest,
}

fn expected(method: Method, path: &str) -> HttpRequest {
    HttpRequest {
        method,
        path: path.to_owned(),
        host: "127.0.0.1".to_owned(),
        if_match: IfMatch::Missing,
        deadline_remaining_ms: None,
        body: Bytes::new(),
    }
}

fn request(builder: http::request::Builder, body: &'static str) -> Request<Bytes> {
    builder.body(Bytes::from_static(body.as_bytes())).unwrap()
}

fn examples() -> Vec<Example> {
    let change = Request::patch("/v1/change")
        .header(header::IF_MATCH, "17")
        .header(DEADLINE_REMAINING, "2345");
    let typed = Request::put("/v1/whole").header(header::CONTENT_TYPE, "application/json");
    let hosted = Request::post("/jobs/0123456789abcdef").header(header::HOST, "Jobs.Example:8080");
    vec![
        Example {
            name: "get",
            request: request(Request::get("/v1/status"), ""),
            call: expected(Method::GET, "/v1/status"),
        },
        Example {
            name: "get with a query",
            request: request(Request::get("/v1/jobs?limit=3"), ""),
            call: expected(Method::GET, "/v1/jobs"),
        },
        Example {
            name: "patch with a version and a deadline",
            request: request(change, r#"{"set":[]}"#),
            call: HttpRequest {
                if_match: IfMatch::Version(17),
                deadline_remaining_ms: Some(2345),
                body: Bytes::from_static(br#"{"set":[]}"#),
                ..expected(Method::PATCH, "/v1/change")
            },
        },
        Example {
            name: "put with a type",
            request: request(typed.header(header::IF_MATCH, "\"none\""), "{}"),
            call: HttpRequest {
                if_match: IfMatch::Malformed,
                body: Bytes::from_static(b"{}"),
                ..expected(Method::PUT, "/v1/whole")
            },
        },
        Example {
            name: "post with a host",
            request: request(hosted, "text"),
            call: HttpRequest {
                host: "jobs.example".to_owned(),
                body: Bytes::from_static(b"text"),
                ..expected(Method::POST, "/jobs/0123456789abcdef")
            },
        },
        Example {
            name: "post without a body",
            request: request(Request::post("/v1/drain"), ""),
            call: expected(Method::POST, "/v1/drain"),
        },
        Example {
            name: "delete",
            request: request(Request::delete("/jobs/1"), ""),
            call: expected(Method::DELETE, "/jobs/1"),
        },
    ]
}

/// The request as it is sent.
async fn sent(request: Request<Bytes>) -> String {
    let (listener, address) = listener().await;
    let server = async {
        let mut stream = accepted(&listener).await;
        let message = read_message(&mut stream).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .await
            .unwrap();
        let mut rest = Vec::new();
        within(stream.read_to_end(&mut rest)).await.unwrap();
        assert!(rest.is_empty(), "{rest:?}");
        message
    };
    let (answer, message) =
        within(async { tokio::join!(call(address, request, TIMEOUT), server) }).await;
    assert_eq!(answer.unwrap().status(), 200);
    message.replace(&address.to_string(), &format!("{}:{PORT}", address.ip()))
}

/// The request as the server parses it.
async fn received(message: &str) -> HttpRequest {
    let (calls, mut received) = mpsc::unbounded_channel();
    let handler = move |call| {
        calls.send(call).unwrap();
        async { HttpResponse::empty(200) }
    };
    let limits = Arc::new(SharedValue::new(HttpLimits::default()));
    let server = serve(bind_once(ANY).unwrap(), limits, handler).unwrap();
    let mut stream = TcpStream::connect(version_4(server.local_address()))
        .await
        .unwrap();
    stream.write_all(message.as_bytes()).await.unwrap();
    within(received.recv()).await.unwrap()
}

#[tokio::test]
async fn requests_of_the_client() {
    let mut messages = Vec::new();
    for example in examples() {
        messages.push((example.name.to_owned(), sent(example.request).await));
    }
    let kept = assert_http("requests.http", &messages);
    for example in examples() {
        assert_eq!(
            received(&kept[example.name]).await,
            example.call,
            "{}",
            example.name
        );
    }
}
