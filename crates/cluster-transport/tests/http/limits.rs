//! Limits on header sections, bodies and connections.

use crate::support::{echo, request, server, within, Client, ANY};
use http::Method;
use lupinrack_cluster_api::configuration::Limits;
use lupinrack_cluster_transport::http_server::{serve, HttpLimits, HttpResponse};
use lupinrack_cluster_transport::listen::bind_once;
use lupinrack_cluster_transport::shared_value::SharedValue;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

#[tokio::test]
async fn a_body_over_the_limit_is_rejected_and_the_client_sees_it() {
    let limits = HttpLimits {
        max_body_bytes: 1000,
        ..HttpLimits::default()
    };
    let server = echo(limits);
    let fits = "x".repeat(1000);
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::POST, "/", &fits).await.status, 200);

    // All of a large body is sent before the response is read.
    let large = "x".repeat(300_000);
    let mut client = Client::connect(&server).await;
    let rejected = client.ask(Method::POST, "/", &large).await;
    assert_eq!((rejected.status, rejected.is_last()), (413, true));
    assert!(client.is_closed().await);

    let mut client = Client::connect(&server).await;
    let chunk = format!("{:x}\r\n{}\r\n", 600, "x".repeat(600));
    client
        .send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    client.send(&chunk).await;
    client.send(&chunk).await;
    let rejected = client.answer().await;
    assert_eq!((rejected.status, rejected.is_last()), (413, true));
}

#[tokio::test]
async fn a_client_that_expects_100_continue_is_answered_before_it_sends() {
    let limits = HttpLimits {
        max_body_bytes: 1000,
        ..HttpLimits::default()
    };
    let server = echo(limits);
    let mut client = Client::connect(&server).await;
    client
        .send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n")
        .await;
    assert_eq!(client.answer().await.status, 413);

    let mut client = Client::connect(&server).await;
    client
        .send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        .await;
    assert_eq!(client.answer().await.status, 100);
    client.send("ab").await;
    assert_eq!(client.answer().await.body, "POST / ab");
}

#[tokio::test]
async fn a_head_over_the_limit_is_rejected() {
    for filler in [2000, 100_000] {
        let server = echo(HttpLimits {
            max_header_bytes: 1000,
            ..HttpLimits::default()
        });
        let mut client = Client::connect(&server).await;
        let text = format!(
            "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: {}\r\n\r\n",
            "x".repeat(filler)
        );
        client.send(&text).await;
        assert_eq!(client.answer().await.status, 431);
        assert!(client.is_closed().await);
    }
}

#[tokio::test]
async fn heads_up_to_the_limit_are_accepted() {
    let server = echo(HttpLimits {
        max_header_bytes: 40_000,
        ..HttpLimits::default()
    });
    let mut client = Client::connect(&server).await;
    let text = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: {}\r\n\r\n",
        "x".repeat(39_000)
    );
    client.send(&text).await;
    assert_eq!(client.answer().await.status, 200);
}

#[tokio::test]
async fn idle_connections_close_for_new_ones() {
    let server = echo(HttpLimits {
        max_connections: 2,
        ..HttpLimits::default()
    });
    let mut clients = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(&server).await;
        assert_eq!(
            client.ask(Method::GET, &format!("/{n}"), "").await.status,
            200
        );
        assert!(server.open_connections() <= 2);
        clients.push(client);
    }
}

#[tokio::test]
async fn busy_connections_are_not_closed_for_new_ones() {
    let go = Arc::new(Notify::new());
    let (wait, (begun, mut begins)) = (go.clone(), mpsc::channel(2));
    let limits = HttpLimits {
        max_connections: 1,
        ..HttpLimits::default()
    };
    let server = server(limits, move |_| {
        let (wait, begun) = (wait.clone(), begun.clone());
        async move {
            begun.send(()).await.unwrap();
            wait.notified().await;
            HttpResponse::empty(200)
        }
    });
    let mut first = Client::connect(&server).await;
    first.send(&request(Method::GET, "/", "")).await;
    within(begins.recv()).await;
    let mut second = Client::connect(&server).await;
    second.send(&request(Method::GET, "/", "")).await;
    go.notify_one();
    // The response is the last one on its connection, since another client waits.
    let answer = first.answer().await;
    assert_eq!((answer.status, answer.is_last()), (200, true));
    within(begins.recv()).await;
    go.notify_one();
    assert_eq!(second.answer().await.status, 200);
}

#[tokio::test]
async fn changed_limits_apply_to_the_next_request() {
    let limits = Arc::new(SharedValue::new(HttpLimits::default()));
    let handler = |_| async { HttpResponse::empty(200) };
    let server = serve(bind_once(ANY).unwrap(), limits.clone(), handler).unwrap();
    let mut client = Client::connect(&server).await;
    assert_eq!(client.ask(Method::POST, "/", "four").await.status, 200);
    limits.replace(Arc::new(HttpLimits {
        max_body_bytes: 3,
        ..HttpLimits::default()
    }));
    assert_eq!(client.ask(Method::POST, "/", "four").await.status, 413);
}

#[test]
fn limits_of_a_configuration_have_defaults() {
    let limits = HttpLimits::of(
        &Limits {
            max_body_bytes: 7,
            ..Limits::default()
        },
        9,
    );
    let expected = HttpLimits {
        max_body_bytes: 7,
        max_connections: 9,
        ..HttpLimits::default()
    };
    assert_eq!(limits, expected);
}
