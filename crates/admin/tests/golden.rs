//! Golden file of the admin interface: each call and each form of answer.

use lupinrack_admin::call::{Call, Line, MAX_LINE_BYTES};
use lupinrack_admin::{run, Answer};
use lupinrack_golden_files::{path, GoldenFile};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn start_admin(without_metrics: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(run(listener, move |received| async move {
        match received {
            Call::Status => Answer::Ok("ready"),
            Call::Stats if without_metrics => Answer::Lines(String::new()),
            Call::Stats => Answer::Lines("lb_concurrent 14\nlb_dispatches 15\n".into()),
            Call::Fleet => Answer::Error("[fleet] is off".into()),
        }
    }));
    address
}

async fn call(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(line).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn calls_and_answers_match_the_golden_file() {
    let (with_metrics, without_metrics) = (start_admin(false).await, start_admin(true).await);
    let mut examples = GoldenFile::open(path!("answers.txt"));
    // Exactly the limit and without a line end: already too long.
    let long = [b'a'; MAX_LINE_BYTES];
    for (name, address, line) in [
        ("status", with_metrics, &b"status\n"[..]),
        ("stats", with_metrics, b"stats\n"),
        ("fleet", with_metrics, b"fleet\n"),
        ("status_with_return", with_metrics, b"status\r\n"),
        ("stats_without_figures", without_metrics, b"stats\n"),
        ("unknown", with_metrics, b"reboot\n"),
        ("empty", with_metrics, b"\n"),
        ("not_text", with_metrics, b"\xff\n"),
        ("long", with_metrics, &long),
    ] {
        examples.add(name, format!("{:?}", call(address, line).await));
    }
    examples.check();
}

#[test]
fn each_line_parses_to_its_call() {
    let read = |line: &str| Line::default().feed(line.as_bytes());
    assert_eq!(read("status\n"), Some(Ok(Call::Status)));
    assert_eq!(read("stats\n"), Some(Ok(Call::Stats)));
    assert_eq!(read("fleet\n"), Some(Ok(Call::Fleet)));
}
