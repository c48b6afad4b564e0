//! Nodes whose answers come spoilt, or bring more than belongs to them.

mod common;

use common::front::{get, start};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A stand-in node that answers each request with its own id, made into an answer by `word`, in pieces.
async fn node(word: impl FnMut(&str) -> Vec<Vec<u8>> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, word) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(word)));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let word = word.clone();
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
                    let pieces = (word.lock().unwrap())(&id);
                    for piece in pieces {
                        if stream.write_all(&piece).await.is_err() {
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

fn whole(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

/// Asks so many times on one connection, without a pause, and gives the answers' status and body.
async fn ask_all(front: SocketAddr, many: u32, deadline_ms: u64) -> Vec<(u32, String, String)> {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let mut all = Vec::new();
    for id in 1..=many {
        stream
            .write_all(get(id, "priority", 1, deadline_ms).as_bytes())
            .await
            .unwrap();
        let mut said = Vec::new();
        while !said.ends_with(b"\r\n\r\n") {
            said.push(stream.read_u8().await.unwrap());
        }
        let head = String::from_utf8_lossy(&said).to_lowercase();
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
        all.push((id, status, String::from_utf8_lossy(&body).into_owned()));
    }
    all
}

#[tokio::test]
async fn what_comes_behind_an_answer_is_nobodys() {
    for behind in [
        (|id| vec![whole(id), whole(id)]) as fn(&str) -> Vec<Vec<u8>>,
        |id| vec![[whole(id), whole(id)].concat()],
        |id| vec![whole(id), Vec::new(), Vec::new(), whole(id)],
        |id| vec![whole(id), b"noise".to_vec()],
    ] {
        let address = node(behind).await;
        let fronts = start(address, address, "priority", 1_000).await;
        for (id, status, body) in ask_all(fronts.http, 200, 3_000).await {
            assert_eq!((status.as_str(), body), ("200", format!("{id:016x}")));
        }
    }
}

/// A node whose first answer comes like this, and all further ones whole.
async fn first(spoilt: fn(&str) -> Vec<Vec<u8>>) -> SocketAddr {
    let mut before = 0;
    node(move |id| {
        before += 1;
        if before == 1 {
            spoilt(id)
        } else {
            vec![whole(id)]
        }
    })
    .await
}

/// Asks twice; both times the right answer must come, long before the client's minute is over.
async fn served_soon(address: SocketAddr, what: &str) {
    let fronts = start(address, address, "priority", 1_000).await;
    let began = Instant::now();
    for (id, status, body) in ask_all(fronts.http, 2, 60_000).await {
        assert_eq!(
            (status.as_str(), body),
            ("200", format!("{id:016x}")),
            "{what}"
        );
    }
    assert!(
        began.elapsed() < Duration::from_secs(15),
        "{what}: {:?}",
        began.elapsed()
    );
}

#[tokio::test]
async fn a_spoilt_answer_is_a_failed_attempt_and_soon() {
    for (what, spoilt) in [
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
        ("endless news", |_| {
            vec![b"HTTP/1.1 103 Early\r\n\r\n".repeat(1_000); 64]
        }),
        ("too much promised", |id| {
            vec![format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{id}").into_bytes()]
        }),
        ("3 GB", |_| {
            [
                vec![b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_vec()],
                vec![vec![b'x'; 1 << 16]; 64],
            ]
            .concat()
        }),
        ("no end", |id| {
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
        served_soon(first(spoilt).await, what).await;
    }
}

#[tokio::test]
async fn a_good_answer_with_more_to_it_is_served() {
    let word = |id: &str| {
        let news = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n".to_vec();
        let load = format!(
            "X-Load: \u{e9}\u{fe} inflight=many,,=\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        vec![news, b"HTTP/1.1 200 OK\r\n".to_vec(), load.into_bytes()]
    };
    let address = node(word).await;
    let fronts = start(address, address, "priority", 1_000).await;
    for (id, status, body) in ask_all(fronts.http, 3, 60_000).await {
        assert_eq!((status.as_str(), body), ("200", format!("{id:016x}")));
    }
}
