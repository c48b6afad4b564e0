//! Nodes that send malformed responses, or bytes after a complete response.

mod common;

use common::front::{get, start};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A mock node that answers each request with the chunks that `respond` makes of the request's id.
async fn node(respond: impl FnMut(&str) -> Vec<Vec<u8>> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, respond) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(respond)),
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let respond = respond.clone();
            tokio::spawn(async move {
                let mut head = Vec::new();
                while let Ok(b) = stream.read_u8().await {
                    head.push(b);
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let text = String::from_utf8_lossy(&std::mem::take(&mut head)).to_lowercase();
                    let id = text
                        .split("x-request-id: ")
                        .nth(1)
                        .unwrap()
                        .split("\r\n")
                        .next()
                        .unwrap()
                        .to_string();
                    let chunks = (respond.lock().unwrap())(&id);
                    for chunk in chunks {
                        if stream.write_all(&chunk).await.is_err() {
                            return;
                        }
                        tokio::task::yield_now().await;
                    }
                }
            });
        }
    });
    address
}

fn complete_response(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

/// Sends `count` requests on one connection, one after another without a pause. Returns id, status and body of each.
async fn request_all(
    front: SocketAddr,
    count: u32,
    deadline_ms: u64,
) -> Vec<(u32, String, String)> {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let mut responses = Vec::new();
    for id in 1..=count {
        stream
            .write_all(get(id, "priority", 1, deadline_ms).as_bytes())
            .await
            .unwrap();
        let mut head_bytes = Vec::new();
        while !head_bytes.ends_with(b"\r\n\r\n") {
            head_bytes.push(stream.read_u8().await.unwrap());
        }
        let head = String::from_utf8_lossy(&head_bytes).to_lowercase();
        let length = head
            .split("content-length: ")
            .nth(1)
            .unwrap()
            .split("\r\n")
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.unwrap();
        let status = head.split(' ').nth(1).unwrap().to_string();
        responses.push((id, status, String::from_utf8_lossy(&body).into_owned()));
    }
    responses
}

#[tokio::test]
async fn bytes_after_a_complete_response_reach_no_client() {
    for response_with_trailing_bytes in [
        (|id| vec![complete_response(id), complete_response(id)]) as fn(&str) -> Vec<Vec<u8>>,
        |id| vec![[complete_response(id), complete_response(id)].concat()],
        |id| {
            vec![
                complete_response(id),
                Vec::new(),
                Vec::new(),
                complete_response(id),
            ]
        },
        |id| vec![complete_response(id), b"noise".to_vec()],
    ] {
        let address = node(response_with_trailing_bytes).await;
        let fronts = start(address, address, "priority", 1_000).await;
        for (id, status, body) in request_all(fronts.http, 200, 3_000).await {
            assert_eq!((status.as_str(), body), ("200", format!("{id:016x}")));
        }
    }
}

/// A node whose first response is malformed; all further responses are complete.
async fn node_with_malformed_first(malformed: fn(&str) -> Vec<Vec<u8>>) -> SocketAddr {
    let mut responses_sent = 0;
    node(move |id| {
        responses_sent += 1;
        if responses_sent == 1 {
            malformed(id)
        } else {
            vec![complete_response(id)]
        }
    })
    .await
}

/// Sends two requests. Both must get the right response long before the client's deadline of one minute.
async fn assert_served_soon(address: SocketAddr, name: &str) {
    let fronts = start(address, address, "priority", 1_000).await;
    let started = Instant::now();
    for (id, status, body) in request_all(fronts.http, 2, 60_000).await {
        assert_eq!(
            (status.as_str(), body),
            ("200", format!("{id:016x}")),
            "{name}"
        );
    }
    assert!(
        started.elapsed() < Duration::from_secs(15),
        "{name}: {:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn a_malformed_response_fails_the_attempt_without_waiting_for_the_deadline() {
    for (name, malformed) in [
        (
            "noise",
            (|_| vec![b"\x00\xff noise \r\n\r\n".to_vec()]) as fn(&str) -> Vec<Vec<u8>>,
        ),
        ("half a head", |_| {
            vec![b"HTTP/1.1 200 OK\r\nX-Load: TEXT".to_vec()]
        }),
        ("an endless head", |_| {
            [
                vec![b"HTTP/1.1 200 OK\r\nX: ".to_vec()],
                vec![vec![b'x'; 4096]; 64],
            ]
            .concat()
        }),
        ("endless informational responses", |_| {
            vec![b"HTTP/1.1 103 Early\r\n\r\n".repeat(1_000); 64]
        }),
        ("a length that is too large", |id| {
            vec![format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{id}").into_bytes()]
        }),
        ("3 GB", |_| {
            [
                vec![b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_vec()],
                vec![vec![b'x'; 1 << 16]; 64],
            ]
            .concat()
        }),
        ("no length and no end", |id| {
            vec![format!("HTTP/1.1 200 OK\r\n\r\n{id}").into_bytes()]
        }),
        ("endless chunks", |_| {
            [
                vec![b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()],
                vec![b"1\r\nx\r\n".to_vec(); 64],
            ]
            .concat()
        }),
        ("two lengths", |id| {
            vec![
                format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 16\r\n\r\n{id}")
                    .into_bytes(),
            ]
        }),
        ("a length and chunks", |id| {
            let lengths = "Content-Length: 4\r\nTransfer-Encoding: chunked";
            vec![format!(
                "HTTP/1.1 200 OK\r\n{lengths}\r\n\r\n4\r\n{}\r\n0\r\n\r\n",
                &id[..4]
            )
            .into_bytes()]
        }),
        ("a negative length", |id| {
            vec![format!("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n{id}").into_bytes()]
        }),
    ] {
        assert_served_soon(node_with_malformed_first(malformed).await, name).await;
    }
}

#[tokio::test]
async fn a_response_after_informational_responses_and_with_an_odd_header_is_served() {
    let respond = |id: &str| {
        let informational =
            b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n".to_vec();
        let load_header_and_body = format!(
            "X-Load: \u{e9}\u{fe} inflight=many,,=\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        vec![
            informational,
            b"HTTP/1.1 200 OK\r\n".to_vec(),
            load_header_and_body.into_bytes(),
        ]
    };
    let address = node(respond).await;
    let fronts = start(address, address, "priority", 1_000).await;
    for (id, status, body) in request_all(fronts.http, 3, 60_000).await {
        assert_eq!((status.as_str(), body), ("200", format!("{id:016x}")));
    }
}
