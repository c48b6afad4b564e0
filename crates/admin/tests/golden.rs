//! A golden file of the door's talk: each line that may be asked, and each form of answer.

use lupinrack_admin::call::{Call, Line, LINE_MOST};
use lupinrack_admin::{run, Answer};
use lupinrack_golden_files::{path, GoldenFile};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn door(empty: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(run(listener, move |call| async move {
        match call {
            Call::Status => Answer::Yes("ready"),
            Call::Stats if empty => Answer::Lines(String::new()),
            Call::Stats => Answer::Lines("lb_concurrent 14\nlb_dispatches 15\n".into()),
            Call::Fleet => Answer::No("[fleet] is off".into()),
        }
    }));
    address
}

async fn ask(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(line).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn calls_and_answers_keep_their_form() {
    let (full, empty) = (door(false).await, door(true).await);
    let mut examples = GoldenFile::open(path!("answers.txt"));
    // A caller that ends its side within the line waits for no more: the line is as long as it came.
    let long = [b'a'; LINE_MOST];
    for (name, address, line) in [
        ("status", full, &b"status\n"[..]),
        ("stats", full, b"stats\n"),
        ("fleet", full, b"fleet\n"),
        ("status_with_return", full, b"status\r\n"),
        ("stats_without_figures", empty, b"stats\n"),
        ("unknown", full, b"reboot\n"),
        ("empty", full, b"\n"),
        ("not_text", full, b"\xff\n"),
        ("long", full, &long),
    ] {
        examples.add(name, format!("{:?}", ask(address, line).await));
    }
    examples.check();
}

#[test]
fn calls_are_read_from_their_words() {
    let read = |line: &str| Line::default().feed(line.as_bytes());
    assert_eq!(read("status\n"), Some(Ok(Call::Status)));
    assert_eq!(read("stats\n"), Some(Ok(Call::Stats)));
    assert_eq!(read("fleet\n"), Some(Ok(Call::Fleet)));
}
