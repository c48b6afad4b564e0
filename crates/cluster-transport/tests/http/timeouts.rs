//! Slow clients and idle ones.

use crate::support::{echo, server, Client};
use http::Method;
use lupinrack_cluster_transport::http_server::{HttpLimits, HttpResponse};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_slow_head_is_rejected_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.status, 200);
    let began = Instant::now();
    client.send("GET / HTTP/1.1\r\nHo").await;
    assert_eq!(client.answer().await.status, 408);
    let took = began.elapsed();
    assert!(
        took >= Duration::from_millis(3000) && took < Duration::from_millis(3100),
        "{took:?}"
    );
    assert!(client.is_closed().await);
}

#[tokio::test(start_paused = true)]
async fn a_slow_body_is_rejected_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    let began = Instant::now();
    client
        .send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
        .await;
    let rejected = client.answer().await;
    assert_eq!((rejected.status, rejected.is_last()), (408, true));
    let took = began.elapsed();
    assert!(
        took >= Duration::from_millis(3000) && took < Duration::from_millis(3100),
        "{took:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_body_in_many_small_parts_is_rejected_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    client
        .send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n")
        .await;
    let began = Instant::now();
    let (mut input, mut output) = client.stream.split();
    let drops = async {
        while output.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    };
    let mut first = [0; 12];
    tokio::select! {
        _ = input.read_exact(&mut first) => {}
        () = drops => panic!("no answer"),
    }
    assert_eq!(&first, b"HTTP/1.1 408");
    assert!(began.elapsed() < Duration::from_millis(15_100));
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_in_time() {
    let server = echo(HttpLimits::default());
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.status, 200);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.status, 200);
    let began = Instant::now();
    assert!(client.is_closed().await);
    let took = began.elapsed();
    assert!(
        took >= Duration::from_millis(15_000) && took < Duration::from_millis(15_100),
        "{took:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_handled_is_not_aborted_by_timeouts() {
    let server = server(HttpLimits::default(), |_| async {
        tokio::time::sleep(Duration::from_secs(50)).await;
        HttpResponse::json("done")
    });
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::GET, "/", "").await.body, "done");
}
