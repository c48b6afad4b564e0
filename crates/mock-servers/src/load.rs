//! A mock client. It sends requests to fronts over pooled connections, one at a time on each, sends none twice except where an idle
//! connection turns out to be closed, and reports the outcome of each.

use crate::http1::Reader;
use crate::node::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// A request that a client sends.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request ID, unique to the request.
    pub id: String,
    /// The traffic class, which is the first path segment.
    pub class: &'static str,
    /// Whether the request writes. Writes carry an idempotency key.
    pub writes: bool,
    /// The name of the client's plan.
    pub plan: &'static str,
    /// The volume that it addresses.
    pub volume: u64,
    /// The key within the volume.
    pub key: u64,
    /// The cost in units.
    pub units: u32,
    /// The shard that the client expects to hold the key; -1 for a new object.
    pub shard: i64,
    /// Number of fronts that the volume's clients use.
    pub hosts: u32,
    /// The deadline that the request carries.
    pub deadline: Duration,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered with the node's response to this request.
    Served,
    /// Rejected with status 429 or 503.
    Refused,
    /// Answered with any other status.
    Failed,
    /// No answer by the deadline plus `DEADLINE_GRACE`, a connection that closed without one, or the response to another
    /// request.
    Lost,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RequestCounts {
    /// Requests sent.
    pub requests: u64,
    /// Answered with the node's response to the request.
    pub served: u64,
    /// Rejected without running; a retry is safe.
    pub refused: u64,
    /// Answered with a failure.
    pub failed: u64,
    /// Never answered, or answered with the response to another request.
    pub lost: u64,
}

impl RequestCounts {
    /// Counts an outcome and returns whether the request was served.
    pub fn count(&mut self, outcome: RequestOutcome) -> bool {
        self.requests += 1;
        *match outcome {
            RequestOutcome::Served => &mut self.served,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Lost => &mut self.lost,
        } += 1;
        outcome == RequestOutcome::Served
    }
}

/// Draws a request from the standard traffic mix: its class, whether it writes, and its units.
pub fn mix(rng: &mut fastrand::Rng) -> (&'static str, bool, u32) {
    match rng.u32(0..100) {
        0..=54 => ("read", false, 1),
        55..=84 => ("new-write", true, 2),
        _ => ("bulk-read", false, 4),
    }
}

/// How long after its deadline a client still waits before it counts a request as lost.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Idle connections by front, with the time since which each is idle.
type IdleConnections = HashMap<SocketAddr, Vec<(TcpStream, Instant)>>;

/// The clients' connection pool.
#[derive(Clone, Default)]
pub struct Clients {
    idle: Arc<Mutex<IdleConnections>>,
}

impl Clients {
    /// Sends a request to a front and returns its outcome and latency.
    pub async fn send(
        &self,
        front: SocketAddr,
        request: &ClientRequest,
    ) -> (RequestOutcome, Duration) {
        let sent_at = Instant::now();
        let outcome = timeout(
            request.deadline + DEADLINE_GRACE,
            self.exchange(front, request),
        )
        .await;
        (
            outcome.unwrap_or(None).unwrap_or(RequestOutcome::Lost),
            sent_at.elapsed(),
        )
    }

    async fn exchange(&self, front: SocketAddr, request: &ClientRequest) -> Option<RequestOutcome> {
        // Fronts close connections that idle for 2 s, so one that idled for less than 1 s is still open.
        let idle_connection = lock(&self.idle)
            .entry(front)
            .or_default()
            .pop()
            .filter(|(_, idle_since)| idle_since.elapsed() < Duration::from_secs(1));
        let send_on = |mut stream: TcpStream| async move {
            let _ = stream.set_nodelay(true);
            stream.write_all(request.head().as_bytes()).await.ok()?;
            let answer = Reader::default().next(&mut stream).await.ok()??;
            Some((stream, answer))
        };
        // If an idle connection closes while the request is sent, the request is sent once more on a new connection.
        let outcome = match idle_connection {
            Some((stream, _)) => send_on(stream).await,
            None => None,
        };
        let (stream, answer) = match outcome {
            Some(outcome) => outcome,
            None => send_on(TcpStream::connect(front).await.ok()?).await?,
        };
        if answer.field("connection") != Some("close") {
            lock(&self.idle)
                .entry(front)
                .or_default()
                .push((stream, Instant::now()));
        }
        Some(match answer.status() {
            200 if answer.body == format!("ran {}", request.id).as_bytes() => {
                RequestOutcome::Served
            }
            200 => RequestOutcome::Lost,
            429 | 503 => RequestOutcome::Refused,
            _ => RequestOutcome::Failed,
        })
    }
}

impl ClientRequest {
    fn head(&self) -> String {
        let (method, key_headers) = match self.writes {
            true => (
                "PUT",
                format!("Idempotency-Key: k-{}\r\nContent-Length: 0\r\n", self.id),
            ),
            false => ("GET", String::new()),
        };
        format!(
            "{method} /{}/{:016x}/{:016x} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Plan: {}\r\n\
             X-Deadline: {}m\r\n{key_headers}X-IO: volume={:016x},units={},shard={},hosts={}\r\n\r\n",
            self.class,
            self.volume,
            self.key,
            self.id,
            self.plan,
            self.deadline.as_millis(),
            self.volume,
            self.units,
            self.shard,
            self.hosts
        )
    }
}
