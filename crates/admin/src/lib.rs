//! The admin interface for operators: a second listener that reads one line per connection and writes one answer.
//!
//! Connections that have not sent a complete line are limited in number and time. When all slots are taken, the oldest of
//! them is closed, so that idle connections cannot block a complete call.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

pub mod call;

use call::{Call, InvalidCall, Line};
use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Most connections open at once.
pub const MAX_CONNECTIONS: usize = 32;
/// Timeout for receiving a complete line.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for writing the answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Success, with a one-word status.
    Ok(&'static str),
    /// Failure, with the reason.
    Error(String),
    /// Success, with lines that end with `EOF`.
    Lines(String),
}

impl Answer {
    fn text(&self) -> String {
        match self {
            Answer::Ok(status) => format!("200 {status}\n"),
            Answer::Error(reason) => format!("400 {reason}\n"),
            // A call for metrics that yields none is an error.
            Answer::Lines(lines) if lines.is_empty() => "400 there are no figures\n".into(),
            Answer::Lines(lines) => format!("200 OK\n{lines}EOF\n"),
        }
    }
}

struct Connection {
    line_received: Arc<AtomicBool>,
    task: AbortHandle,
}

/// Accepts connections and answers calls for as long as the future is polled.
pub async fn run<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Call) -> A + Clone + Send + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let mut connections: VecDeque<Connection> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        connections.retain(|c| !c.task.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            // A connection whose line is complete is answered shortly: evict one that still has to send its line, if any.
            let evicted = connections
                .iter()
                .position(|c| !c.line_received.load(Relaxed))
                .unwrap_or(0);
            if let Some(connection) = connections.remove(evicted) {
                connection.task.abort();
            }
        }
        let line_received = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(serve_connection(
            stream,
            answer.clone(),
            line_received.clone(),
        ))
        .abort_handle();
        connections.push_back(Connection {
            line_received,
            task,
        });
    }
}

async fn serve_connection<F, A>(mut stream: TcpStream, answer: F, line_received: Arc<AtomicBool>)
where
    F: Fn(Call) -> A,
    A: Future<Output = Answer>,
{
    let _ = stream.set_nodelay(true);
    let call = timeout(LINE_TIMEOUT, read_call(&mut stream))
        .await
        .unwrap_or(Err(InvalidCall::TimedOut));
    line_received.store(true, Relaxed);
    let answer = match call {
        Ok(call) => answer(call).await,
        Err(reason) => Answer::Error(reason.to_string()),
    };
    let write = async {
        stream.write_all(answer.text().as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(timeout(WRITE_TIMEOUT, write).await, Ok(Ok(()))) {
        tracing::debug!("failed to write the answer to an admin call");
    }
}

async fn read_call(stream: &mut TcpStream) -> Result<Call, InvalidCall> {
    let (mut line, mut buffer) = (Line::default(), [0; call::MAX_LINE_BYTES]);
    loop {
        // A read error is treated like the end of the stream.
        let n = stream.read(&mut buffer).await.unwrap_or(0);
        if let Some(call) = line.feed(&buffer[..n]) {
            return call;
        }
    }
}
