//! Sends one attempt of a request, or one health probe, to a storage node and reports its outcome.
//!
//! The outcome tells the policy whether the node may have run the request. The request certainly did not run if it was
//! never completely written to the connection, or if the node says so with `x-not-run: 1`.
//!
//! A short response is collected completely before the client gets any of it. If it breaks off, the policy can still retry.
//! A long response is streamed to the client while it arrives and is never retried.

use crate::intake::{ForwardedRequest, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};
use crate::memory_budget::{
    MemoryPool, MemoryReservation, MAX_RESPONSE_BYTES, MAX_UNRESERVED_BYTES, STREAM_BUFFER_BYTES,
};
use crate::request::ClientWait;
use crate::upstream_connection::{
    ConnectError, ConnectionPool, ExchangeError, OutgoingRequest, UpstreamConnection,
};
use bytes::Bytes;
use http::{header, HeaderMap, Request as HttpRequest, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use lupinrack_extent_map::Version;
use lupinrack_front_settings::{micros, FrontSettings};
use lupinrack_metrics::Metrics;
use lupinrack_policy::*;
use lupinrack_request_engine::{Attempt, Clock};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Sleep;

/// An idle connection is kept for this many tenths of the node's idle timeout. A request written to a connection that the
/// node has just closed would be reset.
const IDLE_TIMEOUT_TENTHS: Micros = 6;

/// A response whose declared length makes it long is streamed to the client once this many bytes of its body have arrived.
/// If only the head of a response arrives, the request can still be retried.
const MIN_BYTES_BEFORE_STREAMING: usize = 1;
/// How long before the attempt's timeout a response that may be long is streamed, however little of it has arrived. It is a
/// little longer than the time by which the policy answers an open request before its client gives up.
const STREAM_BEFORE_TIMEOUT: Duration = Duration::from_millis(30);

/// Sends requests to storage nodes over pooled connections.
#[derive(Clone)]
pub struct Upstream {
    pool: ConnectionPool,
    clock: Clock,
    load_columns: std::sync::Arc<[String]>,
    metrics: Metrics,
    memory: MemoryPool,
}

/// The result of one attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The complete body of a response that was collected before the client got any of it; empty otherwise.
    pub body: Bytes,
    /// The number of body bytes received, if the response was streamed to the client.
    pub streamed_bytes: Option<u64>,
    /// The load report in the response, if there was one.
    pub load: Option<LoadReport>,
    /// The node's version of the extent map, if it refused the request because another shard holds the data.
    pub map_version: Option<Version>,
}

/// A response that is streamed to the client before all of it has arrived.
#[derive(Debug)]
pub struct StartedResponse {
    /// The number of the attempt.
    pub attempt_number: u16,
    /// The declared length of the body, if the node sent one.
    pub length: Option<u64>,
    /// The part of the body received so far.
    pub received: Vec<Bytes>,
    /// The rest of the body as it arrives. An empty chunk marks the end.
    pub chunks: mpsc::Receiver<Result<Bytes, ResponseTruncated>>,
}

/// A response broke off after part of it was sent to the client.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response broke off")]
pub struct ResponseTruncated;

/// How far [`Upstream::exchange`] collected a response.
enum Collected {
    /// The response is complete.
    Complete(AttemptResult),
    /// The attempt's timeout passed before the response was complete.
    TimedOut,
    /// The response has status 200 and is long, or may be: the rest has to be streamed.
    Partial {
        length: Option<u64>,
        received: Vec<Bytes>,
        load: Option<LoadReport>,
        body: Incoming,
    },
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            body: Bytes::new(),
            streamed_bytes: None,
            load: None,
            map_version: None,
        }
    }
}

impl Upstream {
    /// Creates an upstream with at most `max_connections` connections to all nodes together.
    pub fn new(
        settings: &FrontSettings,
        clock: Clock,
        max_connections: usize,
        memory: MemoryPool,
        metrics: Metrics,
    ) -> Self {
        let duration = |us: Micros| Duration::from_micros(us.max(1) as u64);
        let pool = ConnectionPool::new(
            max_connections,
            duration(settings.connect_timeout),
            duration(settings.node_idle_timeout * IDLE_TIMEOUT_TENTHS / 10),
        );
        Upstream {
            pool,
            clock,
            load_columns: settings.load_columns.clone().into(),
            metrics,
            memory,
        }
    }

    /// Sends one attempt to its node and waits for its outcome.
    ///
    /// A response that has to be streamed is handed to `response_started`; the attempt then lasts until all of it has
    /// been passed on. The request is not sent if the client leaves before it is written. Dropping the future closes
    /// the attempt's connection.
    pub async fn attempt(
        &self,
        forwarded: ForwardedRequest,
        attempt: Attempt,
        response_started: mpsc::Sender<StartedResponse>,
        mut client: ClientWait,
    ) -> AttemptResult {
        let timeout = tokio::time::sleep_until(self.clock.instant(attempt.timeout_at));
        tokio::pin!(timeout);
        let connection = tokio::select! {
            biased;
            // The node's drain grace ended while the connection was being established: this attempt must not be sent.
            () = attempt.target.stopped(self.clock) => return Outcome::ConnectFailed.into(),
            () = client.ended() => return Outcome::NotSent.into(),
            connection = self.pool.connection(attempt.target.address) => connection,
            () = &mut timeout => return Outcome::ConnectFailed.into(),
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => return connect_outcome(&error).into(),
        };
        let remaining_us = (attempt.timeout_at - self.clock.now()).max(0);
        let mut request = HttpRequest::builder()
            .method(forwarded.method)
            .uri(http::Uri::from(forwarded.target))
            .header(header::HOST, attempt.target.address.to_string())
            .header(&REQUEST_ID, forwarded.id);
        if let Some(key) = forwarded.idempotency_key {
            request = request.header(&IDEMPOTENCY_KEY, key);
        }
        let request = request
            .header(&DEADLINE, format!("{remaining_us}u"))
            .body(Full::new(forwarded.body));
        let Ok(request) = request else {
            return Outcome::NotSent.into();
        };
        // The last check before the first byte is written; nothing is awaited between the check and the write.
        if !client.is_waiting() {
            self.pool.release(connection).await;
            return Outcome::NotSent.into();
        }
        if self.clock.now() >= attempt.begin_by {
            // The connection took too long, or this process was suspended. The nodes may have forgotten an earlier attempt
            // that they would deduplicate, and another front may be using the quota that this attempt was charged to.
            return Outcome::Expired.into();
        }
        let outgoing = OutgoingRequest::Attempt {
            request,
            permit: attempt.permit,
            metrics: self.metrics.clone(),
        };
        let result = match self.exchange(&mut connection, outgoing, timeout).await {
            Ok(Collected::TimedOut) => {
                return if connection.request_sent() {
                    Outcome::Timeout
                } else {
                    Outcome::ConnectFailed
                }
                .into()
            }
            Ok(Collected::Complete(result)) => Ok(result),
            Ok(partial) => match self
                .stream(&mut connection, partial, attempt.number, &response_started)
                .await
            {
                // A connection can be used again only if the streamed response was read to its end.
                result if result.outcome == Outcome::Ok => Ok(result),
                result => return result,
            },
            Err(error) => Err(error),
        };
        self.finish(connection, result).await
    }

    /// Sends a request and reads its response. A short response is collected completely, since one that breaks off can be
    /// retried while the client has none of it. A long one is returned as [`Collected::Partial`] to be streamed.
    async fn exchange(
        &self,
        connection: &mut UpstreamConnection,
        outgoing: OutgoingRequest,
        mut timeout: Pin<&mut Sleep>,
    ) -> Result<Collected, ExchangeError> {
        let response = tokio::select! {
            biased;
            response = connection.send(outgoing) => response?,
            () = &mut timeout => return Ok(Collected::TimedOut),
        };
        let (head, mut body) = response.into_parts();
        if head.headers.contains_key(header::TRANSFER_ENCODING)
            && head.headers.contains_key(header::CONTENT_LENGTH)
        {
            return Err(ExchangeError::ContradictoryLengths);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|l| l > MAX_RESPONSE_BYTES) {
            return Err(ExchangeError::TooLong);
        }
        // A response declared as long is streamed from its first bytes on: the client waits for them.
        let max_collected = if length.is_some_and(|l| l > MAX_UNRESERVED_BYTES as u64) {
            MIN_BYTES_BEFORE_STREAMING
        } else {
            MAX_UNRESERVED_BYTES + 1
        };
        let stream_at = tokio::time::sleep_until(timeout.deadline() - STREAM_BEFORE_TIMEOUT);
        tokio::pin!(stream_at);
        let may_be_long =
            head.status == StatusCode::OK && length.is_none_or(|l| l > MAX_UNRESERVED_BYTES as u64);
        let (mut received, mut received_bytes) = (Vec::new(), 0);
        while received_bytes < max_collected {
            let chunk = tokio::select! {
                biased;
                chunk = connection.next_chunk(&mut body) => chunk?,
                // A response that may be long and is still arriving is not aborted: it becomes the client's response
                // before the policy answers the client with a failure.
                () = &mut stream_at, if may_be_long => break,
                () = &mut timeout => return Ok(Collected::TimedOut),
            };
            let Some(chunk) = chunk else {
                return Ok(Collected::Complete(self.result_of(&head, received)));
            };
            received_bytes += chunk.len();
            received.push(chunk);
        }
        match head.status {
            StatusCode::OK => Ok(Collected::Partial {
                length,
                received,
                load: self.load_report(&head.headers),
                body,
            }),
            _ => Err(ExchangeError::TooLong),
        }
    }

    /// Derives the outcome of a complete response from its status and the `x-not-run` and `x-extent-epoch` headers.
    fn result_of(&self, head: &http::response::Parts, received: Vec<Bytes>) -> AttemptResult {
        let not_run = head
            .headers
            .get("x-not-run")
            .is_some_and(|v| v.as_bytes() == b"1");
        let extent_epoch = head.headers.get("x-extent-epoch");
        let map_version = extent_epoch.and_then(|v| v.to_str().ok()?.parse().ok());
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE if not_run && extent_epoch.is_some() => {
                Outcome::WrongShard
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        };
        let body = match <[Bytes; 1]>::try_from(received) {
            Ok([single]) => single,
            Err(chunks) => chunks.concat().into(),
        };
        AttemptResult {
            outcome,
            body,
            streamed_bytes: None,
            load: self.load_report(&head.headers),
            map_version,
        }
    }

    /// Streams a partially received response to the client as fast as the client reads it. It is never retried, so the
    /// attempt's timeout no longer applies.
    async fn stream(
        &self,
        connection: &mut UpstreamConnection,
        partial: Collected,
        attempt_number: u16,
        response_started: &mpsc::Sender<StartedResponse>,
    ) -> AttemptResult {
        let Collected::Partial {
            length,
            received,
            load,
            mut body,
        } = partial
        else {
            return Outcome::NotSent.into();
        };
        let mut reservation = MemoryReservation::default();
        if !self
            .memory
            .reserve_response(&mut reservation, STREAM_BUFFER_BYTES)
            .await
        {
            tracing::debug!("no memory to stream a long response");
            // The node answered; the shortage is this front's and must not count against the node.
            return Outcome::Cancelled.into();
        }
        let mut streamed_bytes = received.iter().map(|c| c.len() as u64).sum::<u64>();
        let (chunk_sender, chunks) = mpsc::channel(1);
        if response_started
            .send(StartedResponse {
                attempt_number,
                length,
                received,
                chunks,
            })
            .await
            .is_err()
        {
            return Outcome::Cancelled.into();
        }
        let outcome = loop {
            let chunk = tokio::select! {
                biased;
                // The client has left: the rest of the response is of no use.
                () = chunk_sender.closed() => break Outcome::Cancelled,
                chunk = connection.next_streamed_chunk(&mut body) => chunk,
            };
            let (message, end) = match chunk {
                Ok(Some(chunk)) if streamed_bytes + chunk.len() as u64 <= MAX_RESPONSE_BYTES => {
                    streamed_bytes += chunk.len() as u64;
                    (Ok(chunk), None)
                }
                // An empty chunk marks the end of the body.
                Ok(None) => (Ok(Bytes::new()), Some(Outcome::Ok)),
                // The client must be able to see that its response is incomplete.
                Ok(Some(_)) | Err(_) => (Err(ResponseTruncated), Some(Outcome::Reset)),
            };
            match (end, chunk_sender.send(message).await) {
                // A client that has all bytes of the declared length does not read the end marker.
                (Some(end), _) => break end,
                (None, Err(_)) => break Outcome::Cancelled,
                (None, Ok(())) => {}
            }
        };
        AttemptResult {
            load,
            streamed_bytes: Some(streamed_bytes),
            ..outcome.into()
        }
    }

    /// Returns the connection to the pool after a complete response, and turns an error into the outcome that it proves.
    async fn finish(
        &self,
        connection: UpstreamConnection,
        exchange: Result<AttemptResult, ExchangeError>,
    ) -> AttemptResult {
        match exchange {
            Ok(result) => {
                self.pool.release(connection).await;
                result
            }
            Err(error) => {
                tracing::debug!("attempt: {error}");
                // The node cannot have run a request whose last byte was never written.
                if connection.request_sent() {
                    Outcome::Reset
                } else {
                    Outcome::ConnectFailed
                }
                .into()
            }
        }
    }

    /// Reads the load report in the `x-load` header.
    fn load_report(&self, headers: &HeaderMap) -> Option<LoadReport> {
        headers
            .get("x-load")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| parse_load_report(v, &self.load_columns))
    }

    /// Sends one health probe to a node. Where nodes report their load, the probe fetches the load report as well.
    pub async fn probe(&self, address: SocketAddr, timeout: Duration) -> AttemptResult {
        let path = if self.load_columns.is_empty() {
            "/health/live"
        } else {
            "/stats"
        };
        let request = HttpRequest::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::default());
        let Ok(request) = request else {
            return Outcome::NotSent.into();
        };
        let timeout = tokio::time::sleep(timeout);
        tokio::pin!(timeout);
        let connection = tokio::select! {
            connection = self.pool.connection(address) => connection,
            () = &mut timeout => return Outcome::ConnectFailed.into(),
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => return connect_outcome(&error).into(),
        };
        let collected = match self
            .exchange(&mut connection, OutgoingRequest::Probe(request), timeout)
            .await
        {
            Ok(Collected::TimedOut) => return Outcome::Timeout.into(),
            Ok(Collected::Complete(result)) => Ok(result),
            Ok(Collected::Partial { .. }) => Err(ExchangeError::TooLong),
            Err(error) => Err(error),
        };
        let mut result = self.finish(connection, collected).await;
        let text = std::str::from_utf8(&result.body).unwrap_or("");
        result.load = result
            .load
            .or_else(|| parse_load_report(text, &self.load_columns));
        result
    }
}

/// The outcome of an attempt that got no connection, so that nothing was sent. A shortage of this front's own descriptors
/// says nothing about the node and is no failed connection.
fn connect_outcome(error: &ConnectError) -> Outcome {
    tracing::debug!("attempt: {error}");
    match error {
        ConnectError::NoDescriptor => Outcome::NotSent,
        _ => Outcome::ConnectFailed,
    }
}

/// Parses a load report such as `TEXT inflight=7, queue=2`. Each value is accepted under its name in the settings and under
/// its name in the protocol. `None` if the settings list no load columns, or the text has no known value.
fn parse_load_report(text: &str, load_columns: &[String]) -> Option<LoadReport> {
    let text = text.trim();
    let fields = text.strip_prefix("TEXT").unwrap_or(text);
    let mut load = LoadReport::default();
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else {
            continue;
        };
        let Some(value) = value.trim().parse::<f64>().ok().filter(|x| x.is_finite()) else {
            continue;
        };
        match name.trim() {
            "outstanding" | "inflight" => load.outstanding = Some(value),
            "backlog" | "queue" => load.backlog = Some(value),
            "utilization" | "util" => load.utilization = Some(value),
            "recent_ms" | "latency_ms" => load.service_time = Some(micros(value)),
            "throughput" | "qps" => load.throughput = Some(value),
            "errors_per_s" | "eps" => load.errors = Some(value),
            _ => {}
        }
    }
    (!load_columns.is_empty() && load != LoadReport::default()).then_some(load)
}
