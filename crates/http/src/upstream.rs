//! One attempt at a node, and what its end proves.

use crate::intake::{Parcel, DEADLINE, IDEMPOTENCY_KEY, LONGEST_BODY, REQUEST_ID};
use crate::line::{Line, LineError, Lines, Spoilt};
use bytes::Bytes;
use http::{header, HeaderMap, Request as HttpRequest, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use lupinrack_core::{Attempt, Clock};
use lupinrack_extents::Version;
use lupinrack_figures::Figures;
use lupinrack_policy::*;
use lupinrack_settings::{micros, Told};
use std::net::SocketAddr;
use std::time::Duration;

/// Part of a node's idle time (in tenths) that a connection is kept here: any request written to one that the
/// node has just closed would end as a reset.
const IDLE_TENTHS: Micros = 6;

/// The way to the nodes.
#[derive(Clone)]
pub struct Upstream {
    lines: Lines,
    clock: Clock,
    columns: std::sync::Arc<[String]>,
    figures: Figures,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to pass on, where the outcome is served.
    pub body: Bytes,
    /// The load report that came along.
    pub load: Option<Load>,
    /// Where the outcome is that the data lies elsewhere: the version of the map by which it does.
    pub hint: Option<Version>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, body: Bytes::new(), load: None, hint: None }
    }
}

impl Upstream {
    /// Connections as the settings want them, at most this many.
    pub fn new(told: &Told, clock: Clock, most: usize, figures: Figures) -> Self {
        let span = |us: Micros| Duration::from_micros(us.max(1) as u64);
        let lines = Lines::new(most, span(told.connect_timeout), span(told.conn_idle * IDLE_TENTHS / 10));
        Upstream { lines, clock, columns: told.columns.clone().into(), figures }
    }

    /// Makes one attempt. Dropped, it closes the attempt's connection.
    pub async fn attempt(&self, parcel: Parcel, attempt: Attempt) -> Ended {
        let late = tokio::time::sleep_until(self.clock.instant(attempt.until));
        tokio::pin!(late);
        let line = tokio::select! {
            biased;
            // Told to drain while the connection was still coming up: this send must not go out any more.
            () = attempt.to.stopped(self.clock) => return Outcome::ConnectFailed.into(),
            line = self.lines.line(attempt.to.address) => line,
            () = &mut late => return Outcome::ConnectFailed.into(),
        };
        let mut line = match line {
            Ok(line) => line,
            Err(why) => return unconnected(&why).into(),
        };
        let left = (attempt.until - self.clock.now()).max(0);
        let mut request = HttpRequest::builder()
            .method(parcel.method)
            .uri(http::Uri::from(parcel.target))
            .header(header::HOST, attempt.to.address.to_string())
            .header(&REQUEST_ID, parcel.id);
        if let Some(key) = parcel.key {
            request = request.header(&IDEMPOTENCY_KEY, key);
        }
        let request = request.header(&DEADLINE, format!("{left}u")).body(Full::new(parcel.body));
        let Ok(request) = request else { return Outcome::Moot.into() };
        let exchange = tokio::select! {
            biased;
            end = self.exchange(&mut line, request, Some(self.figures.clone())) => end,
            () = &mut late => return if line.written() { Outcome::Timeout } else { Outcome::ConnectFailed }.into(),
        };
        self.settle(line, exchange).await
    }

    async fn exchange(
        &self,
        line: &mut Line,
        request: HttpRequest<Full<Bytes>>,
        count: Option<Figures>,
    ) -> Result<Ended, Spoilt> {
        line.exchange(request, count, |answer| async {
            let (head, body) = answer.into_parts();
            if head.headers.contains_key(header::TRANSFER_ENCODING)
                && head.headers.contains_key(header::CONTENT_LENGTH)
            {
                return Err(Spoilt::Lengths);
            }
            // The whole answer first: one that breaks off must not have begun at the client.
            let body = Limited::new(body, LONGEST_BODY).collect().await.map_err(Spoilt::Body)?;
            let not_run = head.headers.get("x-not-run").is_some_and(|v| v.as_bytes() == b"1");
            let moved = head.headers.get("x-extent-epoch");
            let hint = moved.and_then(|v| v.to_str().ok()?.parse().ok());
            let outcome = match head.status {
                StatusCode::OK => Outcome::Ok,
                StatusCode::SERVICE_UNAVAILABLE if not_run && moved.is_some() => Outcome::Moved,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
                _ => Outcome::Error,
            };
            Ok(Ended { outcome, body: body.to_bytes(), load: self.load(&head.headers), hint })
        })
        .await
    }

    /// What the end of an exchange proves; its connection is kept where the answer was whole.
    async fn settle(&self, line: Line, exchange: Result<Ended, Spoilt>) -> Ended {
        match exchange {
            Ok(ended) => {
                self.lines.keep(line).await;
                ended
            }
            Err(why) => {
                tracing::debug!("attempt: {why}");
                // Only where its last byte was never written did it provably not run.
                if line.written() { Outcome::Reset } else { Outcome::ConnectFailed }.into()
            }
        }
    }

    fn load(&self, headers: &HeaderMap) -> Option<Load> {
        headers.get("x-load").and_then(|v| v.to_str().ok()).and_then(|v| report(v, &self.columns))
    }

    /// Looks at a node once: whether it answers, how long that took, and its load report.
    pub async fn probe(&self, address: SocketAddr, patience: Duration) -> Ended {
        let path = if self.columns.is_empty() { "/health/live" } else { "/stats" };
        let request = HttpRequest::get(path).header(header::HOST, address.to_string()).body(Full::default());
        let Ok(request) = request else { return Outcome::Moot.into() };
        let late = tokio::time::sleep(patience);
        tokio::pin!(late);
        let line = tokio::select! {
            line = self.lines.line(address) => line,
            () = &mut late => return Outcome::ConnectFailed.into(),
        };
        let mut line = match line {
            Ok(line) => line,
            Err(why) => return unconnected(&why).into(),
        };
        let exchange = tokio::select! {
            end = self.exchange(&mut line, request, None) => end,
            () = &mut late => return Outcome::Timeout.into(),
        };
        let mut ended = self.settle(line, exchange).await;
        let text = std::str::from_utf8(&ended.body).unwrap_or("");
        ended.load = ended.load.or_else(|| report(text, &self.columns));
        ended
    }
}

/// Without a connection nothing was sent; where only our own descriptors are short, that tells nothing of the node.
fn unconnected(why: &LineError) -> Outcome {
    tracing::debug!("attempt: {why}");
    match why {
        LineError::NoRoom => Outcome::Moot,
        _ => Outcome::ConnectFailed,
    }
}

/// Reads a load report, `TEXT inflight=7, queue=2`; names are the settings' own or the protocol's.
fn report(text: &str, columns: &[String]) -> Option<Load> {
    let text = text.trim();
    let fields = text.strip_prefix("TEXT").unwrap_or(text);
    let mut load = Load::default();
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else { continue };
        let Some(x) = value.trim().parse::<f64>().ok().filter(|x| x.is_finite()) else { continue };
        match name.trim() {
            "outstanding" | "inflight" => load.outstanding = Some(x),
            "backlog" | "queue" => load.backlog = Some(x),
            "utilization" | "util" => load.utilization = Some(x),
            "recent_ms" | "latency_ms" => load.service_time = Some(micros(x)),
            "throughput" | "qps" => load.throughput = Some(x),
            "errors_per_s" | "eps" => load.errors = Some(x),
            _ => {}
        }
    }
    (!columns.is_empty() && load != Load::default()).then_some(load)
}
