//! One transfer (a file list or one file) as a request of the request engine, from its start to its end.

use lupinrack_policy::*;
use lupinrack_request_engine::{Attempt, Clock, EngineHandle, Order, RequestReporter};
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::Instrument;

/// How a transfer ended.
#[derive(Debug)]
pub enum TransferEnd<T> {
    /// The transfer is complete.
    Completed(T),
    /// Rejected by the balancer. The client may retry after the given time.
    Rejected(Option<Duration>),
    /// Failed: the balancer makes no further attempt.
    Failed,
    /// The attempt failed after its first bytes were forwarded, so there is no retry.
    Interrupted,
    /// The client closed its connection.
    ClientGone,
}

/// Converts the bytes of a transfer into request units.
#[derive(Clone, Copy, Debug)]
pub struct TransferCost {
    /// Bytes that count as one unit.
    pub bytes_per_unit: u64,
    /// Most units requested at once.
    pub max_units: f64,
    /// Expected bytes of the transfer, 0 if unknown.
    pub expected_bytes: u64,
}

impl TransferCost {
    /// Units requested when the transfer starts: all of them, or the most that one request may have.
    pub fn initial_units(&self) -> f64 {
        self.units(self.expected_bytes)
    }

    fn units(&self, bytes: u64) -> f64 {
        (bytes.div_ceil(self.bytes_per_unit).max(1) as f64).min(self.max_units.floor().max(1.0))
    }
}

/// Connects an attempt to the request engine: reports the start of the response and the forwarded bytes, and acquires
/// units for the bytes that it moves.
pub struct AttemptMeter {
    /// Clock of the request engine.
    pub clock: Clock,
    reporter: RequestReporter,
    attempt: u16,
    response_started: Arc<AtomicBool>,
    cost: TransferCost,
    granted_bytes: u64,
    grants: mpsc::Receiver<()>,
}

impl AttemptMeter {
    /// Reports that bytes are forwarded to the client from now on. Returns true on the first call.
    pub async fn start_response(&mut self) -> bool {
        let first = !self.response_started.swap(true, Ordering::Relaxed);
        if first {
            self.reporter.response_started(self.attempt).await;
        }
        first
    }

    /// Reports bytes that were forwarded to the client.
    pub async fn bytes_forwarded(&self, bytes: u64) {
        self.reporter.bytes_forwarded(bytes).await;
    }

    /// Waits until units for `total_bytes` of this attempt are granted.
    pub async fn acquire_units(&mut self, total_bytes: u64) {
        while total_bytes > self.granted_bytes {
            let units = self
                .cost
                .units(self.cost.expected_bytes.max(total_bytes) - self.granted_bytes);
            self.reporter.request_units(units).await;
            if self.grants.recv().await.is_none() {
                // The transfer has ended, and `drive` drops this attempt.
                return std::future::pending().await;
            }
            self.granted_bytes += units as u64 * self.cost.bytes_per_unit;
        }
    }
}

/// Runs one transfer. `client_gone` completes when the client closes its connection; `start_attempt` starts one attempt.
pub async fn run<T, F: Future<Output = (Outcome, T)>>(
    engine: &EngineHandle,
    request: Request,
    cost: TransferCost,
    client_gone: impl Future<Output = ()>,
    start_attempt: impl Fn(Attempt, AttemptMeter) -> F,
) -> TransferEnd<T> {
    let span = request_span(&request);
    drive(
        engine,
        request,
        cost,
        client_gone,
        start_attempt,
        span.clone(),
    )
    .instrument(span)
    .await
}

fn request_span(request: &Request) -> tracing::Span {
    let (class, volume) = (request.class, format_args!("{:016x}", request.volume.0));
    tracing::debug_span!("request", class, volume, attempt = tracing::field::Empty)
}

/// Carries out the orders of the request engine until the transfer ends.
async fn drive<T, F: Future<Output = (Outcome, T)>>(
    engine: &EngineHandle,
    request: Request,
    cost: TransferCost,
    client_gone: impl Future<Output = ()>,
    start_attempt: impl Fn(Attempt, AttemptMeter) -> F,
    span: tracing::Span,
) -> TransferEnd<T> {
    let mut handle = engine
        .open(Request {
            units: cost.initial_units(),
            ..request
        })
        .await;
    let reporter = handle.reporter();
    let response_started = Arc::new(AtomicBool::new(false));
    let mut running = None;
    tokio::pin!(client_gone);
    let end = loop {
        let (in_flight, grants): (Option<u16>, Option<mpsc::Sender<()>>) = match &running {
            Some((number, grant, _)) => (Some(*number), Some(mpsc::Sender::clone(grant))),
            None => (None, None),
        };
        tokio::select! {
            biased;
            // Checked first: no attempt starts after the client has closed its connection.
            () = &mut client_gone => {
                reporter.client_gone().await;
                break TransferEnd::ClientGone;
            }
            order = handle.next_order() => match order {
                // The response is streamed to one client connection, so a hedge is never sent.
                Some(Order::Send(attempt)) if in_flight.is_some() => {
                    reporter.attempt_ended(attempt.number, Outcome::NotSent, None).await;
                }
                Some(Order::Send(attempt)) => {
                    let (number, (grant, grants)) = (attempt.number, mpsc::channel(1));
                    span.record("attempt", number);
                    let granted_bytes = cost.initial_units() as u64 * cost.bytes_per_unit;
                    let (response_started, reporter) = (response_started.clone(), reporter.clone());
                    let meter = AttemptMeter { clock: engine.clock, reporter, attempt: number, response_started, cost, granted_bytes, grants };
                    running = Some((number, grant, Box::pin(start_attempt(attempt, meter))));
                }
                Some(Order::Cancel(number)) if in_flight == Some(number) => {
                    running = None;
                    reporter.attempt_ended(number, Outcome::Cancelled, None).await;
                    if response_started.load(Ordering::Relaxed) {
                        break TransferEnd::Interrupted;
                    }
                }
                Some(Order::Cancel(_)) => {}
                Some(Order::Grant) => {
                    if let Some(grants) = grants {
                        let _ = grants.try_send(());
                    }
                }
                Some(Order::Reject(retry_after)) => break TransferEnd::Rejected(retry_after),
                Some(Order::Fail) | None => break TransferEnd::Failed,
            },
            (outcome, value) = async {
                match &mut running {
                    Some((_, _, attempt)) => attempt.await,
                    None => std::future::pending().await,
                }
            } => {
                running = None;
                reporter.attempt_ended(in_flight.unwrap_or(0), outcome, None).await;
                match outcome {
                    Outcome::Ok => break TransferEnd::Completed(value),
                    _ if response_started.load(Ordering::Relaxed) => break TransferEnd::Interrupted,
                    _ => {}
                }
            }
        }
    };
    // Cancel the attempt that is still in flight. Dropping it closes its connection.
    if let Some((number, ..)) = running {
        reporter
            .attempt_ended(number, Outcome::Cancelled, None)
            .await;
        if response_started.load(Ordering::Relaxed) && !matches!(end, TransferEnd::ClientGone) {
            return TransferEnd::Interrupted;
        }
    }
    end
}
