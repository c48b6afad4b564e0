//! The life of one request, from its arrival to its one final answer and the end of its last attempt.

use crate::gate::Visit;
use crate::intake::Parcel;
use crate::passing::Passing;
use crate::upstream::{Begun, Ended, Upstream};
use axum::body::Body;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{header, HeaderValue, Response, StatusCode};
use lupinrack_graceful_shutdown::{reached, Phase};
use lupinrack_policy::*;
use lupinrack_request_engine::{EngineHandle, Order, RequestReporter};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// A final answer.
pub enum Answer {
    /// All of it.
    Whole(Response<Body>),
    /// Served, as it comes from the node.
    Passing(Passing),
}

/// The client of a request, until it has its final answer or has gone.
struct Client {
    answer: oneshot::Sender<Answer>,
    /// Ends with this: what was not sent by then never is.
    _waiting: watch::Sender<()>,
}

/// Whether a request's client still waits for its answer.
#[derive(Clone)]
pub struct Waiting {
    waiting: watch::Receiver<()>,
    visit: Option<Visit>,
}

impl Waiting {
    /// One that waits until the sender is dropped or its connection, if it is known, is closed.
    pub fn new(waiting: watch::Receiver<()>, visit: Option<Visit>) -> Self {
        Waiting { waiting, visit }
    }

    /// Ends once the client has its answer, or has gone.
    pub async fn over(&mut self) {
        while self.waiting.changed().await.is_ok() {}
    }

    /// The look in the moment of a send: nothing is sent for a client that has gone, whoever has heard of it yet.
    pub fn now(&self) -> bool {
        self.waiting.has_changed().is_ok() && !self.visit.as_ref().is_some_and(Visit::gone)
    }
}

/// Serves one request. `client` takes its one final answer; closed, the client has gone, as it has where `visit` says so.
pub async fn serve(
    core: EngineHandle,
    upstream: Upstream,
    mut phase: watch::Receiver<Phase>,
    request: Request,
    parcel: Parcel,
    (client, visit): (oneshot::Sender<Answer>, Option<Visit>),
) {
    // Taken: the module hears of it, and every order it gives comes back here.
    let span = tracing::Span::current();
    let mut ticket = core.open(request).await;
    let reporter = ticket.reporter();
    let (_waiting, waiting) = watch::channel(());
    let waiting = Waiting::new(waiting, visit);
    let mut client = Some(Client {
        answer: client,
        _waiting,
    });
    let mut attempts = FuturesUnordered::new();
    let (begins, mut begun) = mpsc::channel(1);
    let mut cancels: Vec<(u16, oneshot::Sender<()>)> = Vec::new();
    loop {
        tokio::select! {
            biased;
            // The client left before its answer. What is out still ends properly; what is not, never begins.
            () = closed(&mut client) => {
                client = None;
                reporter.client_gone().await;
            }
            order = ticket.next_order() => match order {
                // The module sends it out.
                Some(Order::Send(attempt)) => {
                    let (number, (cancel, cancelled)) = (attempt.number, oneshot::channel::<()>());
                    cancels.push((number, cancel));
                    span.record("attempt", number);
                    tracing::debug!(node = &*attempt.target.name, "sent");
                    let exchange = upstream.attempt(parcel.clone(), attempt, begins.clone(), waiting.clone());
                    attempts.push(async move {
                        tokio::select! {
                            ended = exchange => (number, ended),
                            Ok(()) = cancelled => (number, Outcome::Cancelled.into()),
                        }
                    });
                }
                Some(Order::Cancel(number)) => {
                    if let Some(at) = cancels.iter().position(|c| c.0 == number) {
                        let _ = cancels.swap_remove(at).1.send(());
                    }
                }
                // Answers are collected whole: no transfer here asks for more.
                Some(Order::Grant) => {}
                // The module has given up: the client hears at once.
                Some(Order::Reject(after)) => answer(&mut client, Answer::Whole(refused(after))),
                Some(Order::Fail) => answer(&mut client, Answer::Whole(failed())),
                // Over, with nothing out.
                None => return,
            },
            Some((number, ended)) = attempts.next() => {
                // One that began and ended in the same turn: its beginning stands here still, and comes first.
                if let Ok(begun) = begun.try_recv() {
                    begin(&mut client, &reporter, begun).await;
                }
                let Ended { outcome, body, passed, load, hint } = ended;
                tracing::debug!(attempt = number, ?outcome, "attempt ended");
                if let Some(bytes) = passed {
                    reporter.bytes_forwarded(bytes).await;
                } else if outcome == Outcome::Ok {
                    if client.is_some() {
                        reporter.bytes_forwarded(body.len() as u64).await;
                    }
                    answer(&mut client, Answer::Whole(Response::new(Body::from(body))));
                }
                // What began to pass on and stopped: its client went, or hears of it by a broken frame.
                if passed.is_some() && outcome != Outcome::Ok {
                    reporter.client_gone().await;
                }
                match outcome {
                    Outcome::WrongShard => reporter.wrong_shard(number, hint).await,
                    _ => reporter.attempt_ended(number, outcome, load).await,
                }
            }
            // An answer too long to be collected: from here on it belongs to the client, and is never made again.
            Some(begun) = begun.recv() => begin(&mut client, &reporter, begun).await,
            // The program must be out in a moment: whatever this waits for, its client hears now.
            () = reached(&mut phase, Phase::GraceExpired), if client.is_some() => {
                answer(&mut client, Answer::Whole(failed()));
                reporter.client_gone().await;
            }
        }
    }
}

/// Hands over an answer that passes on as it comes; where another was first, dropping it ends its attempt.
async fn begin(client: &mut Option<Client>, reporter: &RequestReporter, begun: Begun) {
    if let Some(client) = client.take() {
        reporter.response_started(begun.number).await;
        let Begun {
            length,
            taken,
            pieces,
            ..
        } = begun;
        let _ = client
            .answer
            .send(Answer::Passing(Passing::new(length, taken, pieces)));
    }
}

/// Hands over the final answer; of several only the first.
fn answer(client: &mut Option<Client>, answer: Answer) {
    if let Some(client) = client.take() {
        if let Answer::Whole(response) = &answer {
            tracing::debug!(status = response.status().as_u16(), "answered");
        }
        let _ = client.answer.send(answer);
    }
}

async fn closed(client: &mut Option<Client>) {
    match client {
        Some(client) => client.answer.closed().await,
        None => std::future::pending().await,
    }
}

/// Refused: asking again is harmless, after the time given.
pub(crate) fn refused(after: Option<Duration>) -> Response<Body> {
    let mut response = Response::new(Body::from("refused\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let hint = after.and_then(|t| HeaderValue::try_from(format!("{:.3}", t.as_secs_f64())).ok());
    if let Some(hint) = hint {
        response.headers_mut().insert(header::RETRY_AFTER, hint);
    }
    response
}

/// Failed: nothing is promised.
fn failed() -> Response<Body> {
    let mut response = Response::new(Body::from("failed\n"));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}
