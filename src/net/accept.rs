//! The listening end: connections, the readiness check, and the way of each request to its own task.

use crate::core::Handle;
use crate::net::intake::{self, IntakeError};
use crate::net::request;
use crate::net::shutdown::Phase;
use crate::net::upstream::Upstream;
use crate::settings::Told;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::routing::get;
use axum::Router;
use http::{header, HeaderValue, Response, StatusCode};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch, Semaphore};

/// How long a connection may be without a whole head, idle time included. Clients that ask once and keep their
/// connection for good, or connect and say nothing, must not hold the places of those that have something to ask.
const HEAD_PATIENCE: Duration = Duration::from_secs(2);
/// The most read ahead from one connection.
const READ_MOST: usize = 128 << 10;
/// The wait after an accept that failed, as it does when descriptors run out.
const PAUSE: Duration = Duration::from_millis(20);

/// What every request needs.
#[derive(Clone)]
pub struct Front {
    /// The core.
    pub core: Handle,
    /// The way to the nodes.
    pub upstream: Upstream,
    /// The settings.
    pub told: Arc<Told>,
    /// Whether the front is ending.
    pub phase: watch::Receiver<Phase>,
}

/// Takes connections, at most `most` at once, until the front is closing; then finishes what was taken.
pub async fn run(listener: TcpListener, front: Front, most: usize) {
    let mut phase = front.phase.clone();
    let app = Router::new().route("/health/ready", get(ready)).fallback(take).with_state(front);
    let connections = GracefulShutdown::new();
    let room = Arc::new(Semaphore::new(most));
    loop {
        let next = async {
            // A connection beyond the limit waits in the listen queue.
            let permit = room.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, stream) = tokio::select! {
            biased;
            next = next => next,
            _ = phase.wait_for(|p| *p == Phase::Closing) => break,
        };
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(app.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_PATIENCE)
            .max_buf_size(READ_MOST)
            .serve_connection(TokioIo::new(stream), service);
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!("connection: {e}");
            }
            drop(permit);
        });
    }
    drop(listener);
    connections.shutdown().await;
}

async fn ready(State(front): State<Front>) -> StatusCode {
    match *front.phase.borrow() {
        Phase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Takes one request from a client and waits for its final answer.
async fn take(State(front): State<Front>, request: Request) -> Response<Body> {
    let mut response = match admit(&front, request).await {
        Ok(answer) => answer.await.unwrap_or_else(|_| lost()),
        Err(why) => malformed(&why),
    };
    if *front.phase.borrow() != Phase::Ready {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request and gives it a task of its own, which outlives this connection where it must.
async fn admit(front: &Front, request: Request) -> Result<oneshot::Receiver<Response<Body>>, IntakeError> {
    let clock = front.core.clock;
    let came = clock.now();
    let (parts, body) = request.into_parts();
    let (mut wanted, patience) = intake::head(&front.told, &parts)?;
    wanted.give_up = came + patience.as_micros() as i64;
    let parcel = tokio::time::timeout(patience, intake::parcel(parts, body))
        .await
        .unwrap_or(Err(IntakeError::Slow))?;
    let (client, answer) = oneshot::channel();
    tokio::spawn(request::serve(front.core.clone(), front.upstream.clone(), wanted, parcel, client));
    Ok(answer)
}

fn malformed(why: &IntakeError) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{why}\n")));
    *response.status_mut() = why.status();
    response
}

/// The request's task ended without an answer; that is a defect, and the client hears that it failed.
fn lost() -> Response<Body> {
    tracing::error!("a request's task ended without an answer");
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
