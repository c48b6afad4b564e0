//! Accepts client connections, answers readiness checks, and starts a task for each request.

use crate::client_slots::ClientSlots;
use crate::client_stream::{self, ClientConnection, ClientStream};
use crate::intake::{self, IntakeError, OpenIds};
use crate::memory_budget::MemoryPool;
use crate::request::{self, FinalResponse};
use crate::upstream::Upstream;
use axum::body::Body;
use axum::extract::{Request as AxumRequest, State};
use axum::routing::get;
use axum::Router;
use futures_util::FutureExt;
use http::{header, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use lupinrack_front_settings::FrontSettings;
use lupinrack_graceful_shutdown::{reached, Phase};
use lupinrack_metrics::{Metrics, RequestGuard, RequestResult};
use lupinrack_request_engine::EngineHandle;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, Instant};
use tracing::Instrument;

/// How long the queue of new connections is polled before it is closed. One poll of the runtime's I/O driver is needed to
/// see whether a connection waits in it.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(2);
/// How long connections stay open after the queue of new ones is closed. A request that arrives just after its connection
/// closed has to be sent again to another front.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// The wait after a failed accept. Accepts fail when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The longest `Retry-After` of a request that found no memory for its body. Other large bodies hold the memory for as
/// long as they take.
const MAX_NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What serving a request needs.
#[derive(Clone)]
pub struct Front {
    /// The request engine.
    pub engine: EngineHandle,
    /// Sends requests to the nodes.
    pub upstream: Upstream,
    /// The current settings.
    pub settings: watch::Receiver<Arc<FrontSettings>>,
    /// The phase of the graceful shutdown.
    pub phase: watch::Receiver<Phase>,
    /// The ids of all open requests.
    pub ids: OpenIds,
    /// The memory for large bodies.
    pub memory: MemoryPool,
    /// The metrics of requests.
    pub metrics: Metrics,
    /// From this phase on no connection is accepted, and each response is the last on its connection.
    pub close_phase: Phase,
}

/// Accepts connections, at most `max_connections` open at once, until the front is closing. Then finishes the requests
/// that were received.
pub async fn run(listener: TcpListener, front: Front, max_connections: usize) {
    let (mut phase, connection_phase, close_phase) =
        (front.phase.clone(), front.phase.clone(), front.close_phase);
    let app = Router::new()
        .route("/health/ready", get(readiness))
        .fallback(handle_request)
        .with_state(front);
    let connections = GracefulShutdown::new();
    let slots = ClientSlots::new(max_connections);
    // An accepted connection is served even if the shutdown begins while it waits for its slot.
    let serve = async |number: u64, stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        let (stream, connection) = ClientStream::new(stream, connection_phase.clone());
        let slot = slots.take(number, &connection).await;
        let service = ConnectionService {
            app: TowerToHyperService::new(app.clone()),
            connection,
        };
        let server = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(client_stream::MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let server = connections.watch(server);
        tokio::spawn(async move {
            if let Err(e) = server.await {
                tracing::debug!("connection: {e}");
            }
            drop(slot);
        });
    };
    let mut number = 0;
    loop {
        let accepted = tokio::select! {
            biased;
            // If another process accepts from the same queue, that process takes the connections left in it.
            () = reached(&mut phase, close_phase) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve(number, stream).await,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
        number += 1;
    }
    // Closing the listener resets the connections in its queue, and their requests would be lost. So the queue is polled
    // for a moment, and then emptied.
    if close_phase >= Phase::Draining {
        let accept_until = Instant::now() + FINAL_ACCEPT_TIME;
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout_at(accept_until, listener.accept()).await
        {
            serve(number, stream).await;
            number += 1;
        }
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            serve(number, stream).await;
            number += 1;
        }
    }
    drop(listener);
    tokio::select! {
        () = reached(&mut phase, Phase::Draining) => {}
        () = slots.all_free() => {}
    }
    // A request that is in flight to an idle connection is still served if it arrives now.
    tokio::time::sleep(CLOSE_DELAY).await;
    connections.shutdown().await;
}

/// Runs the application for the requests of one connection.
struct ConnectionService {
    app: TowerToHyperService<Router>,
    connection: ClientConnection,
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        request.extensions_mut().insert(self.connection.clone());
        let (response, connection) = (self.app.call(request), self.connection.clone());
        Box::pin(async move {
            let mut response = response.await?;
            // If the request is not complete, or its end is unknown, the following bytes of this connection must not be
            // taken for another request.
            let streamed = response.extensions_mut().remove::<IsStreamed>().is_some();
            if !(if streamed {
                connection.start_streaming()
            } else {
                connection.finish_request()
            }) {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        })
    }
}

/// Marks a response that is streamed. Its connection is free for the next request once all of it was sent.
#[derive(Clone, Copy)]
struct IsStreamed;

async fn readiness(State(front): State<Front>) -> StatusCode {
    match *front.phase.borrow() {
        Phase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Handles one client request, up to its final response.
async fn handle_request(State(front): State<Front>, request: AxumRequest) -> Response<Body> {
    let mut request_guard = None;
    let connection = request.extensions().get::<ClientConnection>().cloned();
    let mut response = match admit(&front, request, &mut request_guard).await {
        Ok(final_response) => match final_response.await {
            Ok(FinalResponse::Complete(response)) => response,
            Ok(FinalResponse::Streamed(body)) => {
                let mut response =
                    Response::new(Body::new(body.with(request_guard.take(), connection)));
                response.extensions_mut().insert(IsStreamed);
                response
            }
            Err(_) => task_failed(),
        },
        Err(error) => {
            let settings = front.settings.borrow();
            rejected(
                &error,
                settings
                    .policy
                    .send_retry_after
                    .then_some(settings.policy.max_retry_after),
            )
        }
    };
    if let Some(request_guard) = request_guard {
        request_guard.finish(match response.status() {
            StatusCode::OK => RequestResult::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                RequestResult::Overload
            }
            _ => RequestResult::Error,
        });
    }
    if *front.phase.borrow() >= front.close_phase {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Validates a request, reads its body, and starts its task. The task outlives the connection if attempts are running.
async fn admit(
    front: &Front,
    request: AxumRequest,
    request_guard: &mut Option<RequestGuard>,
) -> Result<oneshot::Receiver<FinalResponse>, IntakeError> {
    let (parts, body) = request.into_parts();
    let connection = parts.extensions.get::<ClientConnection>().cloned();
    if connection
        .as_ref()
        .is_some_and(ClientConnection::has_contradictory_lengths)
    {
        return Err(IntakeError::ContradictoryLengths);
    }
    let settings = front.settings.borrow().clone();
    let (mut policy_request, time_to_deadline) = intake::parse_head(&settings, &parts)?;
    let class = settings
        .classes
        .get(usize::from(policy_request.class))
        .map_or("", String::as_str);
    let request_guard = request_guard.insert(front.metrics.start_request(class));
    let forwarded = tokio::select! {
        // A body that is complete counts as received in time, however late this task was polled.
        biased;
        forwarded = intake::read_body(parts, body, &front.memory) => forwarded?,
        () = request_timed_out(connection.clone()) => return Err(IntakeError::BodyTimeout),
    };
    // The request's deadline and latency run from its last byte, however slowly it arrived.
    request_guard.received();
    policy_request.client_deadline = front.engine.clock.now() + time_to_deadline.as_micros() as i64;
    let open_id = front
        .ids
        .take(&forwarded.id)
        .ok_or(IntakeError::DuplicateId)?;
    let (response_sender, final_response) = oneshot::channel();
    let (engine, upstream, phase) = (
        front.engine.clone(),
        front.upstream.clone(),
        front.phase.clone(),
    );
    let (id, volume) = (forwarded.id.to_str().unwrap_or(""), policy_request.volume.0);
    let span = tracing::debug_span!("request", id, class, volume = %format_args!("{volume:016x}"), attempt = tracing::field::Empty);
    let serving = request::serve(
        engine,
        upstream,
        phase,
        policy_request,
        forwarded,
        (response_sender, connection),
    )
    .instrument(span);
    tokio::spawn(async move {
        serving.await;
        drop(open_id);
    });
    Ok(final_response)
}

/// Completes once the request has not been received in time. Its deadline moves on while body bytes arrive.
async fn request_timed_out(connection: Option<ClientConnection>) {
    let Some(connection) = connection else {
        return std::future::pending().await;
    };
    loop {
        let deadline = connection.request_deadline();
        if deadline <= Instant::now() {
            return;
        }
        sleep_until(deadline).await;
    }
}

/// The response to a request that was rejected before the policy saw it. `max_retry_after_us` is the setting's limit of
/// `Retry-After`, if clients are sent one.
fn rejected(error: &IntakeError, max_retry_after_us: Option<i64>) -> Response<Body> {
    let mut response = match (error, max_retry_after_us) {
        (IntakeError::NoMemory, Some(max_us)) => request::refused(Some(
            Duration::from_micros(max_us.max(0) as u64).min(MAX_NO_MEMORY_RETRY_AFTER),
        )),
        _ => Response::new(Body::from(format!("{error}\n"))),
    };
    *response.status_mut() = error.status();
    response
}

/// The response to a request whose task ended without one. That is a bug in this program.
fn task_failed() -> Response<Body> {
    tracing::error!("a request's task ended without a response");
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
