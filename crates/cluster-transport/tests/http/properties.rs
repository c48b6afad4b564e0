//! Properties of the HTTP server for arbitrary bytes.

use crate::support::{echo, request, Client};
use http::Method;
use lupinrack_cluster_transport::http_server::HttpLimits;
use quickcheck::QuickCheck;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Cases of each property.
const CASES: u64 = 60;

fn run_case<T>(case: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(case)
}

#[test]
fn requests_are_answered_in_order_however_their_bytes_are_split() {
    fn holds(bodies: Vec<u16>, split_sizes: Vec<u8>) -> bool {
        run_case(async {
            let server = echo(HttpLimits::default());
            let mut client = Client::connect(&server).await;
            client.stream.set_nodelay(true).unwrap();
            let sizes: Vec<usize> = bodies.iter().map(|size| usize::from(*size) % 500).collect();
            let text = |(number, size): (usize, &usize)| {
                request(Method::POST, &format!("/{number}"), &"x".repeat(*size))
            };
            let all: String = sizes.iter().enumerate().map(text).collect();
            let mut rest = all.as_str();
            let mut split_sizes = split_sizes.iter().cycle();
            while !rest.is_empty() {
                let size = split_sizes
                    .next()
                    .map_or(rest.len(), |size| usize::from(*size) + 1)
                    .min(rest.len());
                client.send(&rest[..size]).await;
                tokio::task::yield_now().await;
                rest = &rest[size..];
            }
            for (number, size) in sizes.iter().enumerate() {
                let expected = format!("POST /{number} {}", "x".repeat(*size));
                assert_eq!(client.answer().await.body, expected);
            }
        });
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(Vec<u16>, Vec<u8>) -> bool);
}

#[test]
fn any_bytes_are_rejected_or_left_unanswered() {
    fn holds(bytes: Vec<u8>) -> bool {
        run_case(async {
            let server = echo(HttpLimits::default());
            let mut client = Client::connect(&server).await;
            client.stream.write_all(&bytes).await.unwrap();
            // Fails if the server has already closed the connection.
            let _ = client.stream.shutdown().await;
            let mut answer = Vec::new();
            let _ = client.stream.read_to_end(&mut answer).await;
            answer.is_empty() || answer.starts_with(b"HTTP/1.1 4")
        })
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}
