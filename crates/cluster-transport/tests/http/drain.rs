//! The graceful shutdown of the HTTP server, and the reuse of its address.

use crate::support::{echo, request, server, within, Client, ANY};
use http::Method;
use lupinrack_cluster_transport::http_server::{
    DrainOutcome, DrainTimeouts, HttpLimits, HttpResponse,
};
use lupinrack_cluster_transport::listen::{bind, bind_once};
use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};

const WITHOUT_DELAY: DrainTimeouts = DrainTimeouts {
    accept_for: Duration::ZERO,
    response_timeout: Duration::from_secs(30),
};

#[tokio::test]
async fn a_request_in_flight_is_answered_and_idle_connections_are_closed() {
    let go = Arc::new(Notify::new());
    let (wait, (begun, mut begins)) = (go.clone(), mpsc::channel(1));
    let server = server(HttpLimits::default(), move |call| {
        let (wait, begun) = (wait.clone(), begun.clone());
        async move {
            if call.path == "/slow" {
                begun.send(()).await.unwrap();
                wait.notified().await;
            }
            HttpResponse::json(call.path)
        }
    });
    let mut idle = Client::connect(&server).await;
    assert_eq!(idle.ask(Method::GET, "/", "").await.status, 200);
    let mut busy = Client::connect(&server).await;
    busy.send(&request(Method::GET, "/slow", "")).await;
    within(begins.recv()).await;

    let handle = server.clone();
    let drain = tokio::spawn(async move { handle.drain(WITHOUT_DELAY).await });
    assert!(idle.is_closed().await);
    assert!(!drain.is_finished());
    assert!(TcpStream::connect(server.local_address()).await.is_err());
    go.notify_one();
    let answer = busy.answer().await;
    assert_eq!((answer.body.as_str(), answer.is_last()), ("/slow", true));
    assert!(busy.is_closed().await);
    assert_eq!(
        within(drain).await.unwrap(),
        DrainOutcome {
            aborted_connections: 0
        }
    );
}

#[tokio::test]
async fn a_request_that_is_being_read_is_answered() {
    let server = echo(HttpLimits::default());
    let mut head = Client::connect(&server).await;
    head.send("GET /head HTTP/1.1\r\nHo").await;
    let mut body = Client::connect(&server).await;
    body.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
        .await;
    let mut idle = Client::connect(&server).await;
    assert_eq!(idle.ask(Method::GET, "/", "").await.status, 200);

    let handle = server.clone();
    let drain = tokio::spawn(async move { handle.drain(WITHOUT_DELAY).await });
    assert!(idle.is_closed().await);
    head.send("st: h\r\n\r\n").await;
    body.send("cd").await;
    let (head, body) = (head.answer().await, body.answer().await);
    assert_eq!((head.body.as_str(), head.is_last()), ("GET /head ", true));
    assert_eq!(
        (body.body.as_str(), body.is_last()),
        ("POST /body abcd", true)
    );
    assert_eq!(
        within(drain).await.unwrap(),
        DrainOutcome {
            aborted_connections: 0
        }
    );
}

#[tokio::test]
async fn connections_are_accepted_for_a_while() {
    let server = echo(HttpLimits::default());
    let handle = server.clone();
    let mut old = Client::connect(&server).await;
    assert!(!old.ask(Method::GET, "/", "").await.is_last());
    let times = DrainTimeouts {
        accept_for: Duration::from_secs(3600),
        ..WITHOUT_DELAY
    };
    let drain = tokio::spawn(async move { handle.drain(times).await });
    tokio::task::yield_now().await;

    let mut new = Client::connect(&server).await;
    assert!(new.ask(Method::GET, "/", "").await.is_last());
    assert!(old.ask(Method::GET, "/", "").await.is_last());
    assert!(old.is_closed().await && new.is_closed().await);
    tokio::time::pause();
    assert_eq!(
        drain.await.unwrap(),
        DrainOutcome {
            aborted_connections: 0
        }
    );
}

#[tokio::test(start_paused = true)]
async fn requests_that_take_too_long_are_aborted() {
    let (begun, mut begins) = mpsc::channel(1);
    let server = server(HttpLimits::default(), move |_| {
        let begun = begun.clone();
        async move {
            begun.send(()).await.unwrap();
            pending().await
        }
    });
    let mut client = Client::connect(&server).await;
    client.send(&request(Method::GET, "/", "")).await;
    within(begins.recv()).await;
    assert_eq!(
        server.drain(WITHOUT_DELAY).await,
        DrainOutcome {
            aborted_connections: 1
        }
    );
    assert!(client.is_closed().await);
    assert_eq!(server.open_connections(), 0);
}

#[tokio::test]
async fn a_server_without_connections_drains_at_once() {
    let server = echo(HttpLimits::default());
    assert_eq!(
        within(server.drain(WITHOUT_DELAY)).await,
        DrainOutcome {
            aborted_connections: 0
        }
    );
}

#[tokio::test(start_paused = true)]
async fn an_address_is_bound_once_it_is_free() {
    let listener = bind_once(ANY).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("not IPv4")
    };
    assert_eq!(
        bind(address).await.unwrap_err().kind(),
        ErrorKind::AddrInUse
    );

    let waiting = tokio::spawn(bind(address));
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    drop(listener);
    assert_eq!(
        waiting.await.unwrap().unwrap().local_addr().unwrap(),
        SocketAddr::V4(address)
    );
}
