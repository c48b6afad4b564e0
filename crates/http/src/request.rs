//! Follows one request until its client has the final response and its last attempt has ended.

use crate::client_stream::ClientConnection;
use crate::intake::ForwardedRequest;
use crate::streamed_response::StreamedResponse;
use crate::upstream::{AttemptResult, StartedResponse, Upstream};
use axum::body::Body;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{header, HeaderValue, Response, StatusCode};
use lupinrack_graceful_shutdown::{reached, Phase};
use lupinrack_policy::*;
use lupinrack_request_engine::{EngineHandle, Order, RequestReporter};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// A final response.
pub enum FinalResponse {
    /// The complete response.
    Complete(Response<Body>),
    /// A successful response that is streamed from the node.
    Streamed(StreamedResponse),
}

/// A client that still waits for its final response.
struct WaitingClient {
    response_sender: oneshot::Sender<FinalResponse>,
    /// Dropping this ends the [`ClientWait`] of all attempts, so that none is sent later.
    _wait_sender: watch::Sender<()>,
}

/// Tells whether a request's client still waits for its response.
#[derive(Clone)]
pub struct ClientWait {
    ended: watch::Receiver<()>,
    connection: Option<ClientConnection>,
}

impl ClientWait {
    /// A client that waits until the sender of `ended` is dropped or its connection, if it is known, is closed.
    pub fn new(ended: watch::Receiver<()>, connection: Option<ClientConnection>) -> Self {
        ClientWait { ended, connection }
    }

    /// Completes once the client has its response or its request's task has noticed that it left.
    pub async fn ended(&mut self) {
        while self.ended.changed().await.is_ok() {}
    }

    /// Whether the client waits at this moment. Also checks the client's socket, so that nothing is sent for a client that
    /// has left unnoticed.
    pub fn is_waiting(&self) -> bool {
        self.ended.has_changed().is_ok()
            && !self
                .connection
                .as_ref()
                .is_some_and(ClientConnection::client_left)
    }
}

/// Serves one request. `response_sender` takes the final response; it is closed if the client has left. `connection` is
/// the client's connection, if it is known.
pub async fn serve(
    engine: EngineHandle,
    upstream: Upstream,
    mut phase: watch::Receiver<Phase>,
    request: Request,
    forwarded: ForwardedRequest,
    (response_sender, connection): (oneshot::Sender<FinalResponse>, Option<ClientConnection>),
) {
    // From here on the policy knows the request, and its orders for it arrive at the ticket.
    let span = tracing::Span::current();
    let mut ticket = engine.open(request).await;
    let reporter = ticket.reporter();
    let (_wait_sender, wait) = watch::channel(());
    let wait = ClientWait::new(wait, connection);
    let mut client = Some(WaitingClient {
        response_sender,
        _wait_sender,
    });
    let mut attempts = FuturesUnordered::new();
    let (response_started, mut started_responses) = mpsc::channel(1);
    let mut cancel_senders: Vec<(u16, oneshot::Sender<()>)> = Vec::new();
    loop {
        tokio::select! {
            biased;
            // The client left before its response. Running attempts are still ended in order; no other one is sent.
            () = client_left(&mut client) => {
                client = None;
                reporter.client_gone().await;
            }
            order = ticket.next_order() => match order {
                Some(Order::Send(attempt)) => {
                    let (number, (cancel, cancelled)) = (attempt.number, oneshot::channel::<()>());
                    cancel_senders.push((number, cancel));
                    span.record("attempt", number);
                    tracing::debug!(node = &*attempt.target.name, "sent");
                    let exchange = upstream.attempt(forwarded.clone(), attempt, response_started.clone(), wait.clone());
                    attempts.push(async move {
                        tokio::select! {
                            result = exchange => (number, result),
                            Ok(()) = cancelled => (number, Outcome::Cancelled.into()),
                        }
                    });
                }
                Some(Order::Cancel(number)) => {
                    if let Some(index) = cancel_senders.iter().position(|c| c.0 == number) {
                        let _ = cancel_senders.swap_remove(index).1.send(());
                    }
                }
                // No transfer of this front asks to move more units, so no grant is awaited.
                Some(Order::Grant) => {}
                // The policy gave up: the client gets its response now, whatever is still running.
                Some(Order::Reject(retry_after)) => respond(&mut client, FinalResponse::Complete(refused(retry_after))),
                Some(Order::Fail) => respond(&mut client, FinalResponse::Complete(failed())),
                // The request is over and no attempt is running.
                None => return,
            },
            Some((number, result)) = attempts.next() => {
                // An attempt may start its response and end between two polls: the start is still in the channel and has
                // to be handled first.
                if let Ok(started) = started_responses.try_recv() {
                    stream_response(&mut client, &reporter, started).await;
                }
                let AttemptResult { outcome, body, streamed_bytes, load, map_version } = result;
                tracing::debug!(attempt = number, ?outcome, "attempt ended");
                if let Some(bytes) = streamed_bytes {
                    reporter.bytes_forwarded(bytes).await;
                } else if outcome == Outcome::Ok {
                    if client.is_some() {
                        reporter.bytes_forwarded(body.len() as u64).await;
                    }
                    respond(&mut client, FinalResponse::Complete(Response::new(Body::from(body))));
                }
                // A streamed response that stopped early is the end for its client: the client left, or sees that the
                // response is truncated.
                if streamed_bytes.is_some() && outcome != Outcome::Ok {
                    reporter.client_gone().await;
                }
                match outcome {
                    Outcome::WrongShard => reporter.wrong_shard(number, map_version).await,
                    _ => reporter.attempt_ended(number, outcome, load).await,
                }
            }
            // A response is too long to be collected: it now belongs to the client, and is never retried.
            Some(started) = started_responses.recv() => stream_response(&mut client, &reporter, started).await,
            // The process is about to exit: the client gets a response now, whatever is still running.
            () = reached(&mut phase, Phase::GraceExpired), if client.is_some() => {
                respond(&mut client, FinalResponse::Complete(failed()));
                reporter.client_gone().await;
            }
        }
    }
}

/// Hands a streamed response to the client. If the client already has one, dropping `started` ends its attempt.
async fn stream_response(
    client: &mut Option<WaitingClient>,
    reporter: &RequestReporter,
    started: StartedResponse,
) {
    if let Some(client) = client.take() {
        reporter.response_started(started.attempt_number).await;
        let StartedResponse {
            length,
            received,
            chunks,
            ..
        } = started;
        let _ = client
            .response_sender
            .send(FinalResponse::Streamed(StreamedResponse::new(
                length, received, chunks,
            )));
    }
}

/// Hands the final response to the client. Only the first one counts.
fn respond(client: &mut Option<WaitingClient>, response: FinalResponse) {
    if let Some(client) = client.take() {
        if let FinalResponse::Complete(response) = &response {
            tracing::debug!(status = response.status().as_u16(), "answered");
        }
        let _ = client.response_sender.send(response);
    }
}

/// Completes once a client that waits for its response leaves.
async fn client_left(client: &mut Option<WaitingClient>) {
    match client {
        Some(client) => client.response_sender.closed().await,
        None => std::future::pending().await,
    }
}

/// The response to a request that was refused: the client may safely retry it after the given time.
pub(crate) fn refused(retry_after: Option<Duration>) -> Response<Body> {
    let mut response = Response::new(Body::from("refused\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let value =
        retry_after.and_then(|t| HeaderValue::try_from(format!("{:.3}", t.as_secs_f64())).ok());
    if let Some(value) = value {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// The response to a request that failed: it may have run, or not.
fn failed() -> Response<Body> {
    let mut response = Response::new(Body::from("failed\n"));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}
