//! The admin interface over loopback sockets.

use lupinrack_admin::call::Call;
use lupinrack_admin::{run, Answer, MAX_CONNECTIONS};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn start_admin(metrics_text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(run(listener, move |received| async move {
        match received {
            Call::Status => Answer::Error("ending".into()),
            Call::Stats => Answer::Lines(metrics_text.into()),
            Call::Fleet => Answer::Error("no fleet".into()),
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
async fn each_call_is_answered_and_its_connection_closed() {
    let address = start_admin("lb_concurrent 14\n").await;
    assert_eq!(call(address, b"status\r\n").await, "400 ending\n");
    assert_eq!(
        call(address, b"stats\n").await,
        "200 OK\nlb_concurrent 14\nEOF\n"
    );
    assert_eq!(
        call(address, b"what\n").await,
        "400 no such call; there are: status, stats, fleet\n"
    );
    let empty = start_admin("").await;
    assert_eq!(call(empty, b"stats\n").await, "400 there are no figures\n");
}

#[tokio::test]
async fn a_complete_call_is_answered_while_idle_connections_hold_all_slots() {
    let address = start_admin("lb_concurrent 14\n").await;
    let mut idle = Vec::new();
    for _ in 0..3 * MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"sta").await.unwrap();
        idle.push(stream);
    }
    let started = tokio::time::Instant::now();
    assert!(call(address, b"stats\n").await.starts_with("200"));
    // An idle connection times out after two seconds; the call must not wait for that.
    assert!(started.elapsed().as_millis() < 1_000);
    // The oldest connection was evicted: it is closed without an answer.
    let mut received = Vec::new();
    let _ = idle[0].read_to_end(&mut received).await;
    assert!(received.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_line_is_answered_with_an_error_after_the_timeout() {
    let address = start_admin("lb_concurrent 14\n").await;
    assert_eq!(call(address, b"sta").await, "400 no whole line in time\n");
}
