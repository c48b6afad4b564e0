//! The door over sockets on loopback.

use lupinrack_admin::call::Call;
use lupinrack_admin::{run, Answer, CALLERS_MOST};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn door(figures: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(run(listener, move |call| async move {
        match call {
            Call::Status => Answer::No("ending".into()),
            Call::Stats => Answer::Lines(figures.into()),
            Call::Fleet => Answer::No("no fleet".into()),
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
async fn each_call_gets_its_answer_and_the_connection_ends() {
    let at = door("lb_concurrent 14\n").await;
    assert_eq!(ask(at, b"status\r\n").await, "400 ending\n");
    assert_eq!(ask(at, b"stats\n").await, "200 OK\nlb_concurrent 14\nEOF\n");
    assert_eq!(
        ask(at, b"what\n").await,
        "400 no such call; there are: status, stats, fleet\n"
    );
    let empty = door("").await;
    assert_eq!(ask(empty, b"stats\n").await, "400 there are no figures\n");
}

#[tokio::test]
async fn a_whole_call_is_answered_while_silent_callers_hold_all_places() {
    let at = door("lb_concurrent 14\n").await;
    let mut silent = Vec::new();
    for _ in 0..3 * CALLERS_MOST {
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(b"sta").await.unwrap();
        silent.push(stream);
    }
    let asked = tokio::time::Instant::now();
    assert!(ask(at, b"stats\n").await.starts_with("200"));
    // Those hold on for two seconds each; none of that is waited for.
    assert!(asked.elapsed().as_millis() < 1_000);
    // The eldest made way: its connection is at its end, and nothing was said to it.
    let mut rest = Vec::new();
    let _ = silent[0].read_to_end(&mut rest).await;
    assert!(rest.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_caller_without_a_whole_line_hears_so_after_a_while() {
    let at = door("lb_concurrent 14\n").await;
    assert_eq!(ask(at, b"sta").await, "400 no whole line in time\n");
}
