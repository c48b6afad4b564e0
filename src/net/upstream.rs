//! One attempt at a node, and what its end proves.

use crate::core::{Attempt, Clock};
use crate::net::intake::{Parcel, DEADLINE, IDEMPOTENCY_KEY, LONGEST_BODY, REQUEST_ID};
use crate::settings::{micros, Told};
use crate::*;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::{capture_connection, HttpConnector};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// Idle connections kept for each node; the module's own bound on requests out there is below this.
const IDLE_MOST: usize = 24;
/// Part of a node's idle time (in tenths) that a connection is kept here: any request written to one that the
/// node has just closed would end as a reset.
const IDLE_TENTHS: Micros = 6;

/// The way to the nodes.
#[derive(Clone)]
pub struct Upstream {
    client: Client<HttpConnector, Full<Bytes>>,
    clock: Clock,
    columns: std::sync::Arc<[String]>,
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
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, body: Bytes::new(), load: None }
    }
}

impl Upstream {
    /// Connections as the settings want them.
    pub fn new(told: &Told, clock: Clock) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_micros(told.connect_timeout.max(1) as u64)));
        let idle = Duration::from_micros((told.conn_idle * IDLE_TENTHS / 10).max(0) as u64);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(IDLE_MOST)
            // A resend that the module did not decide would be an attempt that nobody counts.
            .retry_canceled_requests(false)
            .build(connector);
        Upstream { client, clock, columns: told.columns.clone().into() }
    }

    /// Makes one attempt. Dropped, it closes the attempt's connection.
    pub async fn attempt(&self, parcel: Parcel, attempt: Attempt) -> Ended {
        let left = (attempt.until - self.clock.now()).max(0);
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(attempt.to.address.to_string())
            .path_and_query(parcel.target)
            .build();
        let request = uri.and_then(|uri| {
            let mut request =
                http::Request::builder().method(parcel.method).uri(uri).header(&REQUEST_ID, parcel.id);
            if let Some(key) = parcel.key {
                request = request.header(&IDEMPOTENCY_KEY, key);
            }
            request.header(&DEADLINE, format!("{left}u")).body(Full::new(parcel.body))
        });
        let Ok(mut request) = request else { return Outcome::Moot.into() };
        // The connection is chosen and the request handed to it in one step: while none is, nothing was written.
        let connection = capture_connection(&mut request);
        let written = || connection.connection_metadata().is_some();
        let exchange = self.exchange(request);
        tokio::pin!(exchange);
        let late = tokio::time::sleep_until(self.clock.instant(attempt.until));
        let drained = attempt.to.stopped(self.clock);
        tokio::pin!(drained);
        let mut told = false;
        let ended = async {
            tokio::pin!(late);
            loop {
                tokio::select! {
                    biased;
                    // Told to drain while the connection was still coming up: this send must not go out any more.
                    () = &mut drained, if !told => {
                        if !written() {
                            return Outcome::ConnectFailed.into();
                        }
                        told = true;
                    }
                    end = &mut exchange => return end.unwrap_or_else(|e| failed(&e, written()).into()),
                    () = &mut late => {
                        return if written() { Outcome::Timeout } else { Outcome::ConnectFailed }.into();
                    }
                }
            }
        };
        ended.await
    }

    async fn exchange(&self, request: http::Request<Full<Bytes>>) -> Result<Ended, Error> {
        let answer = self.client.request(request).await?;
        let (head, body) = answer.into_parts();
        let load = self.load(&head.headers);
        // The whole answer first: one that breaks off must not have begun at the client.
        let Ok(body) = Limited::new(body, LONGEST_BODY).collect().await else {
            return Ok(Outcome::Reset.into());
        };
        let not_run = head.headers.get("x-not-run").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
            _ => Outcome::Error,
        };
        Ok(Ended { outcome, body: body.to_bytes(), load })
    }

    fn load(&self, headers: &HeaderMap) -> Option<Load> {
        headers.get("x-load").and_then(|v| v.to_str().ok()).and_then(|v| report(v, &self.columns))
    }

    /// Looks at a node once: whether it answers, how long that took, and its load report.
    pub async fn probe(&self, address: SocketAddr, patience: Duration) -> Ended {
        let path = if self.columns.is_empty() { "/health/live" } else { "/stats" };
        let request = http::Request::get(format!("http://{address}{path}")).body(Full::default());
        let Ok(mut request) = request else { return Outcome::Moot.into() };
        let connection = capture_connection(&mut request);
        let written = || connection.connection_metadata().is_some();
        match tokio::time::timeout(patience, self.exchange(request)).await {
            Ok(Ok(mut ended)) => {
                let text = std::str::from_utf8(&ended.body).unwrap_or("");
                ended.load = ended.load.or_else(|| report(text, &self.columns));
                ended
            }
            Ok(Err(e)) => failed(&e, written()).into(),
            Err(_) if written() => Outcome::Timeout.into(),
            Err(_) => Outcome::ConnectFailed.into(),
        }
    }
}

/// What a failed exchange proves. Only where no byte can have been written did it never run; a request handed
/// back unsent is marked as canceled by the library.
fn failed(error: &Error, written: bool) -> Outcome {
    use std::error::Error as _;
    let unsent =
        error.source().and_then(|e| e.downcast_ref::<hyper::Error>()).is_some_and(|e| e.is_canceled());
    if error.is_connect() || !written || unsent {
        Outcome::ConnectFailed
    } else {
        Outcome::Reset
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
