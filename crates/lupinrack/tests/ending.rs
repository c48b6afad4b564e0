//! A planned end: clients send on every connection that stays open, up to the last moment, and keep coming with new ones.

mod common;

use common::front::{get, node, start};
use lupinrack::net::shutdown::Phase;
use lupinrack_fault_injection::local_fleet::LocalFleet;
use mock_servers::node::NodeConfig;
use mock_servers::settings::configuration;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// How one exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// An answer came whole; whether its connection stays.
    Answered { kept: bool },
    /// The connection ended before the first byte of an answer.
    Closed,
    /// It ended within the answer, or nothing came at all.
    Lost,
    /// It never came up.
    Refused,
}

async fn exchange(stream: &mut TcpStream, request: &str) -> End {
    if stream.write_all(request.as_bytes()).await.is_err() {
        return End::Closed;
    }
    let mut text = Vec::new();
    let whole = async {
        let mut piece = [0; 4096];
        loop {
            let head = String::from_utf8_lossy(&text).to_lowercase();
            if let Some((head, body)) = head.split_once("\r\n\r\n") {
                let length = head.split("content-length: ").nth(1);
                let length = length
                    .and_then(|l| l.split("\r\n").next()?.parse().ok())
                    .unwrap_or(0);
                if body.len() >= length {
                    return End::Answered {
                        kept: !head.contains("connection: close"),
                    };
                }
            }
            match stream.read(&mut piece).await {
                Ok(n) if n > 0 => text.extend_from_slice(&piece[..n]),
                _ if text.is_empty() => return End::Closed,
                _ => return End::Lost,
            }
        }
    };
    timeout(Duration::from_secs(10), whole)
        .await
        .unwrap_or(End::Lost)
}

#[tokio::test]
async fn what_waits_in_the_queue_when_it_closes_is_served() {
    let (address, _) = node("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello").await;
    let fronts = start(address, address, "priority", 2_000).await;
    // The queue fills while the front's one thread is kept from it, and then its end has come.
    let mut streams: Vec<std::net::TcpStream> = (0..20)
        .map(|_| std::net::TcpStream::connect(fronts.http).unwrap())
        .collect();
    for (i, stream) in streams.iter_mut().enumerate() {
        use std::io::Write;
        stream
            .write_all(get(100 + i as u32, "priority", 1, 2_000).as_bytes())
            .unwrap();
    }
    fronts.phase.send(Phase::Closing).unwrap();
    for stream in streams {
        stream.set_nonblocking(true).unwrap();
        let mut stream = TcpStream::from_std(stream).unwrap();
        assert_eq!(
            exchange(&mut stream, "").await,
            End::Answered { kept: false }
        );
    }
    timeout(Duration::from_secs(10), fronts.ended)
        .await
        .expect("it ends")
        .unwrap();
}

#[tokio::test]
async fn after_sigterm_what_is_sent_on_open_connections_is_answered_to_the_last() {
    let mut local_fleet = LocalFleet::new(env!("CARGO_BIN_EXE_lupinrack").into())
        .await
        .unwrap();
    local_fleet
        .node(NodeConfig {
            slots: 64,
            queue: 512,
            ..NodeConfig::default()
        })
        .await
        .unwrap();
    local_fleet.list(0, "SERVING");
    let config = configuration("ending", local_fleet.discovery.address, 7, 1);
    let mut front = local_fleet.front(0, config, String::new()).await.unwrap();
    let at: SocketAddr = front.addresses.clients.unwrap();
    let number = Arc::new(AtomicU32::new(1));
    let (tell, told) = watch::channel(None::<Instant>);
    let (over, ended) = watch::channel(false);
    let mut clients = JoinSet::new();
    // Connections that are kept for as long as they stay open, and others that are new each time.
    for kept in (0..12).map(|i| i < 8) {
        let (number, told, ended) = (number.clone(), told.clone(), ended.clone());
        clients.spawn(async move {
            let mut ends = Vec::new();
            let mut open: Option<TcpStream> = None;
            while !*ended.borrow() {
                let after = told.borrow().map(|t| t.elapsed());
                let mut stream = match open.take() {
                    Some(stream) => stream,
                    None => match TcpStream::connect(at).await {
                        Ok(stream) => stream,
                        Err(_) => {
                            ends.push((after, End::Refused));
                            break;
                        }
                    },
                };
                let end = exchange(
                    &mut stream,
                    &get(number.fetch_add(1, Relaxed), "priority", 1, 2_000),
                )
                .await;
                ends.push((after, end));
                open = Some(stream).filter(|_| kept && end == End::Answered { kept: true });
                sleep(Duration::from_millis(7)).await;
            }
            ends
        });
    }
    sleep(Duration::from_millis(500)).await;
    tell.send_replace(Some(Instant::now()));
    front.signal(Signal::SIGTERM);
    let status = front
        .wait_for_exit(Duration::from_secs(30))
        .await
        .expect("it ends by itself");
    over.send_replace(true);
    assert!(status.success(), "{status}");
    let ends: Vec<(Option<Duration>, End)> = clients.join_all().await.concat();
    let count = |of: fn(&End) -> bool| ends.iter().filter(|(_, e)| of(e)).count();
    let late = |by: u64| {
        move |after: &Option<Duration>| after.is_some_and(|a| a >= Duration::from_millis(by))
    };
    assert_eq!(count(|e| *e == End::Lost), 0, "no answer breaks off");
    // The settings' longest deadline is 4 s: clients are served for 2.7 s, on whatever connection they come.
    let early = ends
        .iter()
        .filter(|(after, e)| !late(2_000)(after) && !matches!(e, End::Answered { .. }));
    assert_eq!(early.count(), 0, "{ends:?}");
    assert!(ends
        .iter()
        .any(|(after, e)| late(1_500)(after) && *e == End::Answered { kept: true }));
    // A request may cross the close of its connection: once for each, and no more.
    assert!(count(|e| *e == End::Closed) <= 12, "{ends:?}");
}
