//! Graceful shutdown while clients keep sending on every open connection and open new ones until the end.

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

/// The result of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeResult {
    /// A complete response; `kept`: whether its connection stays open.
    Answered { kept: bool },
    /// The connection was closed before the first byte of a response.
    Closed,
    /// The response was truncated or timed out.
    Lost,
    /// The connection could not be opened.
    Refused,
}

async fn exchange(stream: &mut TcpStream, request: &str) -> ExchangeResult {
    if stream.write_all(request.as_bytes()).await.is_err() {
        return ExchangeResult::Closed;
    }
    let mut text = Vec::new();
    let response = async {
        let mut buffer = [0; 4096];
        loop {
            let head = String::from_utf8_lossy(&text).to_lowercase();
            if let Some((head, body)) = head.split_once("\r\n\r\n") {
                let length = head.split("content-length: ").nth(1);
                let length = length
                    .and_then(|l| l.split("\r\n").next()?.parse().ok())
                    .unwrap_or(0);
                if body.len() >= length {
                    return ExchangeResult::Answered {
                        kept: !head.contains("connection: close"),
                    };
                }
            }
            match stream.read(&mut buffer).await {
                Ok(n) if n > 0 => text.extend_from_slice(&buffer[..n]),
                _ if text.is_empty() => return ExchangeResult::Closed,
                _ => return ExchangeResult::Lost,
            }
        }
    };
    timeout(Duration::from_secs(10), response)
        .await
        .unwrap_or(ExchangeResult::Lost)
}

#[tokio::test]
async fn connections_in_the_accept_queue_at_the_close_are_served() {
    let (address, _) = node("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello").await;
    let fronts = start(address, address, "priority", 2_000).await;
    // The accept queue fills while this test occupies the front's only thread; then the front closes.
    let mut streams: Vec<std::net::TcpStream> = (0..20)
        .map(|_| std::net::TcpStream::connect(fronts.http).unwrap())
        .collect();
    for (i, stream) in streams.iter_mut().enumerate() {
        use std::io::Write;
        stream
            .write_all(get(100 + i as u32, "priority", 1, 2_000).as_bytes())
            .unwrap();
    }
    fronts.phase.send(Phase::Draining).unwrap();
    for stream in streams {
        stream.set_nonblocking(true).unwrap();
        let mut stream = TcpStream::from_std(stream).unwrap();
        assert_eq!(
            exchange(&mut stream, "").await,
            ExchangeResult::Answered { kept: false }
        );
    }
    timeout(Duration::from_secs(10), fronts.task)
        .await
        .expect("the front ends")
        .unwrap();
}

#[tokio::test]
async fn after_sigterm_requests_on_open_connections_are_answered() {
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
    let front_address: SocketAddr = front.addresses.clients.unwrap();
    let next_id = Arc::new(AtomicU32::new(1));
    let (shutdown_sender, shutdown_started) = watch::channel(None::<Instant>);
    let (stop_sender, stopped) = watch::channel(false);
    let mut clients = JoinSet::new();
    // Some clients keep their connection for as long as it stays open; the others open one per request.
    for kept in (0..12).map(|i| i < 8) {
        let (next_id, shutdown_started, stopped) =
            (next_id.clone(), shutdown_started.clone(), stopped.clone());
        clients.spawn(async move {
            let mut results = Vec::new();
            let mut open_connection: Option<TcpStream> = None;
            while !*stopped.borrow() {
                let since_shutdown = shutdown_started.borrow().map(|t| t.elapsed());
                let mut stream = match open_connection.take() {
                    Some(stream) => stream,
                    None => match TcpStream::connect(front_address).await {
                        Ok(stream) => stream,
                        Err(_) => {
                            results.push((since_shutdown, ExchangeResult::Refused));
                            break;
                        }
                    },
                };
                let result = exchange(
                    &mut stream,
                    &get(next_id.fetch_add(1, Relaxed), "priority", 1, 2_000),
                )
                .await;
                results.push((since_shutdown, result));
                open_connection = Some(stream)
                    .filter(|_| kept && result == ExchangeResult::Answered { kept: true });
                sleep(Duration::from_millis(7)).await;
            }
            results
        });
    }
    sleep(Duration::from_millis(500)).await;
    shutdown_sender.send_replace(Some(Instant::now()));
    front.signal(Signal::SIGTERM);
    let status = front
        .wait_for_exit(Duration::from_secs(30))
        .await
        .expect("the front exits by itself");
    stop_sender.send_replace(true);
    assert!(status.success(), "{status}");
    let results: Vec<(Option<Duration>, ExchangeResult)> = clients.join_all().await.concat();
    let count = |predicate: fn(&ExchangeResult) -> bool| {
        results.iter().filter(|(_, e)| predicate(e)).count()
    };
    let at_least = |millis: u64| {
        move |since_shutdown: &Option<Duration>| {
            since_shutdown.is_some_and(|a| a >= Duration::from_millis(millis))
        }
    };
    assert_eq!(
        count(|e| *e == ExchangeResult::Lost),
        0,
        "no response is truncated or missing"
    );
    // The longest deadline in the settings is 4 s, so clients are served for 2.7 s, on old and new connections.
    let unserved = results.iter().filter(|(since_shutdown, e)| {
        !at_least(2_000)(since_shutdown) && !matches!(e, ExchangeResult::Answered { .. })
    });
    assert_eq!(unserved.count(), 0, "{results:?}");
    assert!(results
        .iter()
        .any(|(since_shutdown, e)| at_least(1_500)(since_shutdown)
            && *e == ExchangeResult::Answered { kept: true }));
    // A request may cross the close of its connection, at most once per client.
    assert!(count(|e| *e == ExchangeResult::Closed) <= 12, "{results:?}");
}
