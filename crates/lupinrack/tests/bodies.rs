//! Bodies and answers beyond 64 KiB: passed on as they come, whole or told to be cut, within one budget of memory.

mod common;

use common::front::{room, start, Fronts};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// A byte that says where in which body it stands.
fn byte(seed: usize, at: usize) -> u8 {
    (at.wrapping_mul(31).wrapping_add(seed * 7) % 251) as u8
}

/// The pattern comes round after 251 bytes.
fn bytes(seed: usize, length: usize) -> Vec<u8> {
    let period: Vec<u8> = (0..251).map(|at| byte(seed, at)).collect();
    let mut all = period.repeat(length / 251 + 1);
    all.truncate(length);
    all
}

/// How a stand-in node words an answer.
#[derive(Clone, Copy)]
enum Wording {
    Length,
    Chunked,
    Close,
    /// The length is said, and only half of it comes.
    Half,
    /// Nothing is said, the first chunk comes, and the rest an hour later.
    Rests,
}

/// A node that answers each request with the body that its id names, in pieces of an odd size, and each write with the
/// sum of its body.
async fn node(wording: Wording, length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                loop {
                    let mut head = Vec::new();
                    while !head.ends_with(b"\r\n\r\n") {
                        let Ok(b) = stream.read_u8().await else {
                            return;
                        };
                        head.push(b);
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
                        let right = body.iter().enumerate().all(|(at, b)| *b == byte(seed, at));
                        let said = format!("{} {right}", body.len());
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{said}",
                            said.len()
                        );
                        stream.write_all(answer.as_bytes()).await.unwrap();
                        continue;
                    }
                    let framing = match wording {
                        Wording::Length | Wording::Half => format!("Content-Length: {length}\r\n"),
                        Wording::Chunked | Wording::Rests => {
                            "Transfer-Encoding: chunked\r\n".into()
                        }
                        Wording::Close => "Connection: close\r\n".into(),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
                    if stream.write_all(head.as_bytes()).await.is_err() {
                        return;
                    }
                    for (number, piece) in bytes(seed, length).chunks(40_013).enumerate() {
                        let chunked = matches!(wording, Wording::Chunked | Wording::Rests);
                        let mut piece = piece.to_vec();
                        if chunked {
                            let size = format!("{:x};of=odd\r\n", piece.len());
                            piece = [size.as_bytes(), &piece, b"\r\n"].concat();
                        }
                        if stream.write_all(&piece).await.is_err()
                            || matches!(wording, Wording::Half) && number * 40_013 > length / 2
                        {
                            return;
                        }
                        if matches!(wording, Wording::Rests) {
                            sleep(Duration::from_secs(3_600)).await;
                        }
                    }
                    if matches!(wording, Wording::Chunked) {
                        let _ = stream.write_all(b"0\r\nX-Trailer: yes\r\n\r\n").await;
                    }
                    if matches!(wording, Wording::Close) {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn front(wording: Wording, length: usize) -> Fronts {
    let address = node(wording, length).await;
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

/// A whole answer: its status and its body; none where it was cut off.
async fn answer(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
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
        let mut piece = vec![0; size + 2];
        stream.read_exact(&mut piece).await.ok()?;
        if size == 0 {
            return Some((status, body));
        }
        body.extend_from_slice(&piece[..size]);
    }
}

#[tokio::test]
async fn a_long_answer_arrives_byte_for_byte_however_it_is_framed_and_the_connection_goes_on() {
    for wording in [Wording::Length, Wording::Chunked, Wording::Close] {
        let fronts = front(wording, 3_000_000).await;
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        for seed in 0..3 {
            stream.write_all(get(seed).as_bytes()).await.unwrap();
            let (status, body) = answer(&mut stream).await.expect("a whole answer");
            assert!(
                status == 200 && body == bytes(seed, 3_000_000),
                "{status} {}",
                body.len()
            );
        }
    }
}

#[tokio::test]
async fn an_answer_about_as_long_as_is_collected_arrives_whole_wherever_its_end_falls() {
    for wording in [Wording::Length, Wording::Chunked, Wording::Close] {
        for length in [65_535, 65_536, 65_537, 66_000, 80_026, 80_027] {
            let fronts = front(wording, length).await;
            for seed in 0..8 {
                let mut stream = TcpStream::connect(fronts.http).await.unwrap();
                stream.write_all(get(seed).as_bytes()).await.unwrap();
                let (status, body) = answer(&mut stream).await.expect("a whole answer");
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
async fn a_client_that_closes_its_side_once_it_has_asked_gets_all_of_a_long_answer() {
    let fronts = front(Wording::Length, 6_000_000).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream.write_all(get(1).as_bytes()).await.unwrap();
    let mut first = [0; 4];
    stream.read_exact(&mut first).await.unwrap();
    stream.shutdown().await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(&bytes(1, 6_000_000)), "{}", rest.len());
}

#[tokio::test]
async fn requests_sent_ahead_are_served_though_their_client_is_slow_to_read() {
    const MANY: usize = 150;
    let fronts = front(Wording::Length, 60_000).await;
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    let all: String = (0..MANY).map(get).collect();
    stream.write_all(all.as_bytes()).await.unwrap();
    // What the system's buffers cannot hold stands in the front meanwhile, its request long answered.
    sleep(Duration::from_millis(3_500)).await;
    for seed in 0..MANY {
        let (status, body) = answer(&mut stream)
            .await
            .unwrap_or_else(|| panic!("cut off at {seed}"));
        assert!(
            status == 200 && body == bytes(seed, 60_000),
            "{seed}: {status}"
        );
    }
}

#[tokio::test]
async fn an_answer_that_breaks_off_is_told_by_a_broken_frame() {
    for wording in [Wording::Half, Wording::Rests] {
        let fronts = front(wording, 300_000).await;
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream.write_all(get(1).as_bytes()).await.unwrap();
        let came = timeout(Duration::from_secs(15), answer(&mut stream))
            .await
            .expect("not held for good");
        assert!(
            came.is_none_or(|(status, _)| status != 200),
            "never a false whole"
        );
    }
}

#[tokio::test]
async fn long_answers_to_slow_readers_stay_within_the_budget_while_short_requests_are_served() {
    const LENGTH: usize = 6_000_000;
    let fronts = front(Wording::Length, LENGTH).await;
    let mut slow = Vec::new();
    for seed in 0..12 {
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream.write_all(get(seed).as_bytes()).await.unwrap();
        slow.push((seed, stream));
    }
    sleep(Duration::from_millis(300)).await;
    let free = fronts.room.free_bytes();
    let all = room().free_bytes();
    assert!(
        free > 0 && free < all,
        "held while they crawl: {free} of {all}"
    );
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    let head = put(99, "Content-Length: 5");
    stream
        .write_all(&[head.as_bytes(), &bytes(99, 5)].concat())
        .await
        .unwrap();
    let (status, body) = timeout(Duration::from_secs(5), answer(&mut stream))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        (status, body.as_slice()),
        (200, b"5 true".as_slice()),
        "a short one is served meanwhile"
    );
    let mut whole = 0;
    for (seed, mut stream) in slow {
        let came = answer(&mut stream).await;
        whole += usize::from(
            came.is_some_and(|(status, body)| status == 200 && body == bytes(seed, LENGTH)),
        );
    }
    assert_eq!(whole, 12);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(fronts.room.free_bytes(), all, "all of it is given back");
}

#[tokio::test]
async fn a_large_body_passes_on_whole_with_a_length_or_in_chunks_and_slowly() {
    let fronts = front(Wording::Length, 5).await;
    let body = bytes(7, 400_000);
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(put(7, "Content-Length: 400000\r\nExpect: 100-continue").as_bytes())
        .await
        .unwrap();
    let mut go = [0; 25];
    stream.read_exact(&mut go).await.unwrap();
    assert_eq!(&go, b"HTTP/1.1 100 Continue\r\n\r\n");
    // Slower than a request may come whole, and as fast as a client may go.
    for piece in body.chunks(40_000) {
        stream.write_all(piece).await.unwrap();
        sleep(Duration::from_millis(400)).await;
    }
    assert_eq!(
        answer(&mut stream).await,
        Some((200, b"400000 true".to_vec()))
    );

    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(put(7, "Transfer-Encoding: CHUNKED").as_bytes())
        .await
        .unwrap();
    for piece in body.chunks(33_333) {
        let size = format!("{:X};a=\"b\"\r\n", piece.len());
        stream
            .write_all(&[size.as_bytes(), piece, b"\r\n"].concat())
            .await
            .unwrap();
    }
    stream.write_all(b"0\r\nX-Sum: 1\r\n\r\n").await.unwrap();
    assert_eq!(
        answer(&mut stream).await,
        Some((200, b"400000 true".to_vec()))
    );
}

#[tokio::test]
async fn a_body_without_room_is_refused_with_a_time_to_come_back_and_small_ones_are_served() {
    let fronts = front(Wording::Length, 5).await;
    let mut all = Default::default();
    assert!(
        fronts
            .room
            .reserve_body(&mut all, fronts.room.budget().max_body_bytes())
            .await
    );
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(put(1, "Content-Length: 100000").as_bytes())
        .await
        .unwrap();
    let mut said = vec![0; 400];
    let n = timeout(Duration::from_secs(5), stream.read(&mut said))
        .await
        .expect("soon")
        .unwrap();
    let said = String::from_utf8_lossy(&said[..n]).to_lowercase();
    assert!(
        said.starts_with("http/1.1 503") && said.contains("retry-after: 0.500"),
        "{said}"
    );
    let mut stream = TcpStream::connect(fronts.http).await.unwrap();
    stream
        .write_all(&[put(2, "Content-Length: 5").as_bytes(), &bytes(2, 5)].concat())
        .await
        .unwrap();
    assert_eq!(answer(&mut stream).await, Some((200, b"5 true".to_vec())));
}

#[tokio::test]
async fn a_body_that_trickles_or_never_fits_hears_so_soon() {
    let fronts = front(Wording::Length, 5).await;
    for framing in [
        "Content-Length: 60000000",
        "Content-Length: 400000",
        "Transfer-Encoding: chunked",
    ] {
        let mut stream = TcpStream::connect(fronts.http).await.unwrap();
        stream.write_all(put(3, framing).as_bytes()).await.unwrap();
        stream.write_all(b"4\r\nabcd\r\n").await.unwrap();
        let came = timeout(Duration::from_secs(5), answer(&mut stream))
            .await
            .expect("in time");
        assert!(
            came.is_some_and(|(status, _)| [408, 413].contains(&status)),
            "{framing}"
        );
    }
    assert_eq!(fronts.room.free_bytes(), room().free_bytes());
}
