//! Request and response bodies beyond 64 KiB: streamed, complete or visibly truncated, and within one memory budget.

mod common;

use common::front::{memory_pool, start, Fronts};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The byte of a body at an offset.
fn byte(seed: usize, offset: usize) -> u8 {
    (offset.wrapping_mul(31).wrapping_add(seed * 7) % 251) as u8
}

/// A body, whose pattern repeats after 251 bytes.
fn bytes(seed: usize, length: usize) -> Vec<u8> {
    let period: Vec<u8> = (0..251).map(|offset| byte(seed, offset)).collect();
    let mut all = period.repeat(length / 251 + 1);
    all.truncate(length);
    all
}

/// How a mock node frames a response.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunked,
    Close,
    /// With a length, of which only half is sent.
    Half,
    /// Chunked; the rest follows the first chunk after an hour.
    Stalls,
}

/// A node that answers each read with the body that the request's id selects, in chunks of an odd size, and each write with
/// the length of its body and whether it is right.
async fn node(framing: Framing, length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                loop {
                    let mut head = Vec::new();
                    while !head.ends_with(b"\r\n\r\n") {
                        let Ok(byte_read) = stream.read_u8().await else {
                            return;
                        };
                        head.push(byte_read);
                    }
                    let head = String::from_utf8(head).unwrap().to_lowercase();
                    let field = |name: &str| {
                        Some(head.split(name).nth(1)?.split("\r\n").next()?.to_string())
                    };
                    let seed: usize = field("x-request-id: b").unwrap().parse().unwrap();
                    let mut body =
                        vec![0; field("content-length: ").map_or(0, |l| l.parse().unwrap())];
                    stream.read_exact(&mut body).await.unwrap();
                    if !body.is_empty() {
                        let matches = body
                            .iter()
                            .enumerate()
                            .all(|(offset, body_byte)| *body_byte == byte(seed, offset));
                        let result = format!("{} {matches}", body.len());
                        let response = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{result}",
                            result.len()
                        );
                        stream.write_all(response.as_bytes()).await.unwrap();
                        continue;
                    }
                    let framing_header = match framing {
                        Framing::Length | Framing::Half => format!("Content-Length: {length}\r\n"),
                        Framing::Chunked | Framing::Stalls => {
                            "Transfer-Encoding: chunked\r\n".into()
                        }
                        Framing::Close => "Connection: close\r\n".into(),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\n{framing_header}\r\n");
                    if stream.write_all(head.as_bytes()).await.is_err() {
                        return;
                    }
                    for (number, chunk) in bytes(seed, length).chunks(40_013).enumerate() {
                        let chunked = matches!(framing, Framing::Chunked | Framing::Stalls);
                        let mut chunk = chunk.to_vec();
                        if chunked {
                            let size = format!("{:x};of=odd\r\n", chunk.len());
                            chunk = [size.as_bytes(), &chunk, b"\r\n"].concat();
                        }
                        if stream.write_all(&chunk).await.is_err()
                            || matches!(framing, Framing::Half) && number * 40_013 > length / 2
                        {
                            return;
                        }
                        if matches!(framing, Framing::Stalls) {
                            sleep(Duration::from_secs(3_600)).await;
                        }
                    }
                    if matches!(framing, Framing::Chunked) {
                        let _ = stream.write_all(b"0\r\nX-Trailer: yes\r\n\r\n").await;
                    }
                    if matches!(framing, Framing::Close) {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn front(framing: Framing, length: usize) -> Fronts {
    let address = node(framing, length).await;
    start(address, address, "priority", 1_000).await
}

fn get(seed: usize) -> String {
    format!(
        "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Request-Id: b{seed}\r\nX-Plan: priority\r\n\
         X-Deadline: 20000m\r\nX-IO: volume=000000000000{:04x},units=1,shard=0,hosts=1\r\n\r\n",
        seed % 50
    )
}

fn put(seed: usize, framing: &str) -> String {
    format!(
        "PUT /new-write/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Request-Id: b{seed}\r\nX-Plan: priority\r\n\
         X-Deadline: 20000m\r\nIdempotency-Key: k{seed}\r\n{framing}\r\n\
         X-IO: volume=00000000000000{seed:02x},units=1,shard=-1,hosts=1\r\n\r\n"
    )
}

/// Reads a complete response: its status and body. `None` if it is truncated.
async fn read_response(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    if let Some(length) = head.split("content-length: ").nth(1) {
        let mut body = vec![0; length.split("\r\n").next().unwrap().parse().unwrap()];
        stream.read_exact(&mut body).await.ok()?;
        return Some((status, body));
    }
    let mut body = Vec::new();
    loop {
        let mut size = Vec::new();
        while !size.ends_with(b"\r\n") {
            size.push(stream.read_u8().await.ok()?);
        }
        let size = usize::from_str_radix(std::str::from_utf8(&size).unwrap().trim(), 16).unwrap();
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        if size == 0 {
            return Some((status, body));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

#[tokio::test]
async fn a_long_response_arrives_byte_for_byte_in_each_framing_and_keeps_the_connection() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        let fronts = front(framing, 3_000_000).await;
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        for seed in 0..3 {
            stream.write_all(get(seed).as_bytes()).await.unwrap();
            let (status, body) = read_response(&mut stream)
                .await
                .expect("a complete response");
            assert!(
                status == 200 && body == bytes(seed, 3_000_000),
                "{status} {}",
                body.len()
            );
        }
    }
}

#[tokio::test]
async fn a_response_near_the_collect_limit_arrives_completely() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for length in [65_535, 65_536, 65_537, 66_000, 80_026, 80_027] {
            let fronts = front(framing, length).await;
            for seed in 0..8 {
                let mut stream = TcpStream::connect(fronts.http).await.unwrap();
                stream.write_all(get(seed).as_bytes()).await.unwrap();
                let (status, body) = read_response(&mut stream)
                    .await
                    .expect("a complete response");
                assert!(
                    status == 200 && body == bytes(seed, length),
                    "{length}: {status}, {}",
                    body.len()
                );
            }
        }
    }
}

#[tokio::test]
async fn a_client_that_half_closes_after_its_request_gets_the_complete_response() {
    let fronts = front(Framing::Length, 6_000_000).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(get(1).as_bytes()).await.unwrap();
    let mut first = [0; 4];
    stream.read_exact(&mut first).await.unwrap();
    stream.shutdown().await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let mut remaining = Vec::new();
    stream.read_to_end(&mut remaining).await.unwrap();
    assert!(
        remaining.ends_with(&bytes(1, 6_000_000)),
        "{}",
        remaining.len()
    );
}

#[tokio::test]
async fn pipelined_requests_of_a_slow_reader_are_served() {
    const COUNT: usize = 150;
    let fronts = front(Framing::Length, 60_000).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    let all: String = (0..COUNT).map(get).collect();
    stream.write_all(all.as_bytes()).await.unwrap();
    // Responses that exceed the socket buffers wait in the front, although their requests have ended.
    sleep(Duration::from_millis(3_500)).await;
    for seed in 0..COUNT {
        let (status, body) = read_response(&mut stream)
            .await
            .unwrap_or_else(|| panic!("truncated at {seed}"));
        assert!(
            status == 200 && body == bytes(seed, 60_000),
            "{seed}: {status}"
        );
    }
}

#[tokio::test]
async fn a_truncated_response_is_visible_by_its_framing() {
    for framing in [Framing::Half, Framing::Stalls] {
        let fronts = front(framing, 300_000).await;
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream.write_all(get(1).as_bytes()).await.unwrap();
        let response = timeout(Duration::from_secs(15), read_response(&mut stream))
            .await
            .expect("the response ends in time");
        assert!(
            response.is_none_or(|(status, _)| status != 200),
            "a truncated response is never delivered as complete"
        );
    }
}

#[tokio::test]
async fn long_responses_to_slow_readers_stay_within_the_memory_budget() {
    const LENGTH: usize = 6_000_000;
    let fronts = front(Framing::Length, LENGTH).await;
    let mut slow_clients = Vec::new();
    for seed in 0..12 {
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream.write_all(get(seed).as_bytes()).await.unwrap();
        slow_clients.push((seed, stream));
    }
    sleep(Duration::from_millis(300)).await;
    let free = fronts.memory.free_bytes();
    let total = memory_pool().free_bytes();
    assert!(
        free > 0 && free < total,
        "reserved while the clients read slowly: {free} of {total}"
    );
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    let head = put(99, "Content-Length: 5");
    stream
        .write_all(&[head.as_bytes(), &bytes(99, 5)].concat())
        .await
        .unwrap();
    let (status, body) = timeout(Duration::from_secs(5), read_response(&mut stream))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        (status, body.as_slice()),
        (200, b"5 true".as_slice()),
        "a short request is served meanwhile"
    );
    let mut complete = 0;
    for (seed, mut stream) in slow_clients {
        let response = read_response(&mut stream).await;
        complete += usize::from(
            response.is_some_and(|(status, body)| status == 200 && body == bytes(seed, LENGTH)),
        );
    }
    assert_eq!(complete, 12);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(fronts.memory.free_bytes(), total, "all memory is released");
}

#[tokio::test]
async fn a_large_body_is_forwarded_with_a_length_or_in_chunks_and_slowly() {
    let fronts = front(Framing::Length, 5).await;
    let body = bytes(7, 400_000);
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(put(7, "Content-Length: 400000\r\nExpect: 100-continue").as_bytes())
        .await
        .unwrap();
    let mut continue_response = [0; 25];
    stream.read_exact(&mut continue_response).await.unwrap();
    assert_eq!(&continue_response, b"HTTP/1.1 100 Continue\r\n\r\n");
    // This takes longer than a request without progress may take, at a rate that a client may have.
    for chunk in body.chunks(40_000) {
        stream.write_all(chunk).await.unwrap();
        sleep(Duration::from_millis(400)).await;
    }
    assert_eq!(
        read_response(&mut stream).await,
        Some((200, b"400000 true".to_vec()))
    );

    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(put(7, "Transfer-Encoding: CHUNKED").as_bytes())
        .await
        .unwrap();
    for chunk in body.chunks(33_333) {
        let size = format!("{:X};a=\"b\"\r\n", chunk.len());
        stream
            .write_all(&[size.as_bytes(), chunk, b"\r\n"].concat())
            .await
            .unwrap();
    }
    stream.write_all(b"0\r\nX-Sum: 1\r\n\r\n").await.unwrap();
    assert_eq!(
        read_response(&mut stream).await,
        Some((200, b"400000 true".to_vec()))
    );
}

#[tokio::test]
async fn a_body_without_memory_is_rejected_with_retry_after_and_small_ones_are_served() {
    let fronts = front(Framing::Length, 5).await;
    let mut all = Default::default();
    assert!(
        fronts
            .memory
            .reserve_body(&mut all, fronts.memory.budget().max_body_bytes())
            .await
    );
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(put(1, "Content-Length: 100000").as_bytes())
        .await
        .unwrap();
    let mut response = vec![0; 400];
    let n = timeout(Duration::from_secs(5), stream.read(&mut response))
        .await
        .expect("soon")
        .unwrap();
    let response = String::from_utf8_lossy(&response[..n]).to_lowercase();
    assert!(
        response.starts_with("http/1.1 503") && response.contains("retry-after: 0.500"),
        "{response}"
    );
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(&[put(2, "Content-Length: 5").as_bytes(), &bytes(2, 5)].concat())
        .await
        .unwrap();
    assert_eq!(
        read_response(&mut stream).await,
        Some((200, b"5 true".to_vec()))
    );
}

#[tokio::test]
async fn a_slow_or_oversized_body_is_refused_soon() {
    let fronts = front(Framing::Length, 5).await;
    for framing in [
        "Content-Length: 60000000",
        "Content-Length: 400000",
        "Transfer-Encoding: chunked",
    ] {
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream.write_all(put(3, framing).as_bytes()).await.unwrap();
        stream.write_all(b"4\r\nabcd\r\n").await.unwrap();
        let response = timeout(Duration::from_secs(5), read_response(&mut stream))
            .await
            .expect("in time");
        assert!(
            response.is_some_and(|(status, _)| [408, 413].contains(&status)),
            "{framing}"
        );
    }
    assert_eq!(fronts.memory.free_bytes(), memory_pool().free_bytes());
}
