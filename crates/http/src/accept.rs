//! The listening end: connections, the readiness check, and the way of each request to its own task.

use crate::budget::Room;
use crate::gate::{self, Gate, Visit};
use crate::intake::{self, IntakeError, OpenIds};
use crate::places::Places;
use crate::request::{self, Answer};
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
use lupinrack_front_settings::Told;
use lupinrack_graceful_shutdown::{reached, Phase};
use lupinrack_metrics::{End, Figures, Life};
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

/// How long the queue of new connections is looked at before it closes: whether anybody waits in it is known only after a turn.
const LOOK: Duration = Duration::from_millis(2);
/// How long connections stay open once the queue of new ones is closed: a request that crosses the close has to be sent again elsewhere.
const HEARD: Duration = Duration::from_millis(20);

/// The wait after an accept that failed, as it does when descriptors run out.
const PAUSE: Duration = Duration::from_millis(20);

/// When one that found no memory for its body may come back, at the latest: large bodies hold it for as long as they take.
const BACK: Duration = Duration::from_millis(500);

/// What every request needs.
#[derive(Clone)]
pub struct Front {
    /// The core.
    pub core: EngineHandle,
    /// The way to the nodes.
    pub upstream: Upstream,
    /// The settings in use.
    pub told: watch::Receiver<Arc<Told>>,
    /// Whether the front is ending.
    pub phase: watch::Receiver<Phase>,
    /// The ids of all open requests.
    pub ids: OpenIds,
    /// Memory for large bodies.
    pub room: Room,
    /// What is counted of requests.
    pub figures: Figures,
    /// From this phase on no connection is taken and each answer is the last on its own.
    pub last: Phase,
}

/// Takes connections, at most `most` at once, until the front is closing; then finishes what was taken.
pub async fn run(listener: TcpListener, front: Front, most: usize) {
    let (mut phase, ending, last) = (front.phase.clone(), front.phase.clone(), front.last);
    let app = Router::new()
        .route("/health/ready", get(ready))
        .fallback(take)
        .with_state(front);
    let connections = GracefulShutdown::new();
    let places = Places::new(most);
    // A connection that was taken is served, also where the end comes while it waits for its place.
    let serve = async |number: u64, stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        let (gate, visit) = Gate::new(stream, ending.clone());
        let place = places.take(number, &visit).await;
        let service = Visited {
            app: TowerToHyperService::new(app.clone()),
            visit,
        };
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(gate::HEAD_MOST)
            .serve_connection(TokioIo::new(gate), service);
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!("connection: {e}");
            }
            drop(place);
        });
    };
    let mut number = 0;
    loop {
        let next = tokio::select! {
            biased;
            // Where another process takes from the same queue, what is left in it is left to that one.
            () = reached(&mut phase, last) => break,
            next = listener.accept() => next,
        };
        match next {
            Ok((stream, _)) => serve(number, stream).await,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
        number += 1;
    }
    // What the system took until now would be reset with the queue, its requests unheard: look at it once more, then take what is left.
    if last >= Phase::Draining {
        let until = Instant::now() + LOOK;
        while let Ok(Ok((stream, _))) = tokio::time::timeout_at(until, listener.accept()).await {
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
        () = places.empty() => {}
    }
    // A request that is on its way to a connection without one is heard, where it comes at once.
    tokio::time::sleep(HEARD).await;
    connections.shutdown().await;
}

/// The application, as one connection's clients see it.
struct Visited {
    app: TowerToHyperService<Router>,
    visit: Visit,
}

impl Service<Request<Incoming>> for Visited {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        request.extensions_mut().insert(self.visit.clone());
        let (answer, visit) = (self.app.call(request), self.visit.clone());
        Box::pin(async move {
            let mut response = answer.await?;
            // Answered before its request had come whole, or to an end that cannot be told: nothing that follows
            // on this connection may be taken for a request.
            let passing = response.extensions_mut().remove::<OnItsWay>().is_some();
            if !(if passing {
                visit.passes_on()
            } else {
                visit.answered()
            }) {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        })
    }
}

/// Marks an answer that is still coming: its connection is free once all of it has gone.
#[derive(Clone, Copy)]
struct OnItsWay;

async fn ready(State(front): State<Front>) -> StatusCode {
    match *front.phase.borrow() {
        Phase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Takes one request from a client and waits for its final answer.
async fn take(State(front): State<Front>, request: AxumRequest) -> Response<Body> {
    let mut life = None;
    let visit = request.extensions().get::<Visit>().cloned();
    let mut response = match admit(&front, request, &mut life).await {
        Ok(answer) => match answer.await {
            Ok(Answer::Whole(response)) => response,
            Ok(Answer::Passing(passing)) => {
                let mut response = Response::new(Body::new(passing.with(life.take(), visit)));
                response.extensions_mut().insert(OnItsWay);
                response
            }
            Err(_) => lost(),
        },
        Err(why) => {
            let told = front.told.borrow();
            malformed(
                &why,
                told.module
                    .send_retry_after
                    .then_some(told.module.max_retry_after),
            )
        }
    };
    if let Some(life) = life {
        life.end(match response.status() {
            StatusCode::OK => End::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => End::Overload,
            _ => End::Error,
        });
    }
    if *front.phase.borrow() >= front.last {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request and gives it a task of its own, which outlives this connection where it must.
async fn admit(
    front: &Front,
    request: AxumRequest,
    life: &mut Option<Life>,
) -> Result<oneshot::Receiver<Answer>, IntakeError> {
    let (parts, body) = request.into_parts();
    let visit = parts.extensions.get::<Visit>().cloned();
    if visit.as_ref().is_some_and(Visit::doubtful) {
        return Err(IntakeError::Framing);
    }
    let told = front.told.borrow().clone();
    let (mut wanted, patience) = intake::head(&told, &parts)?;
    let class = told
        .classes
        .get(usize::from(wanted.class))
        .map_or("", String::as_str);
    let life = life.insert(front.figures.life(class));
    let parcel = tokio::select! {
        // What is there counts, however late it was looked at.
        biased;
        parcel = intake::parcel(parts, body, &front.room) => parcel?,
        () = overdue(visit.clone()) => return Err(IntakeError::Slow),
    };
    // A request's time runs from its last byte, however slowly it came.
    life.taken();
    wanted.client_deadline = front.core.clock.now() + patience.as_micros() as i64;
    let one = front.ids.take(&parcel.id).ok_or(IntakeError::Open)?;
    let (client, answer) = oneshot::channel();
    let (core, upstream, phase) = (
        front.core.clone(),
        front.upstream.clone(),
        front.phase.clone(),
    );
    let (id, volume) = (parcel.id.to_str().unwrap_or(""), wanted.volume.0);
    let span = tracing::debug_span!("request", id, class, volume = %format_args!("{volume:016x}"), attempt = tracing::field::Empty);
    let life =
        request::serve(core, upstream, phase, wanted, parcel, (client, visit)).instrument(span);
    tokio::spawn(async move {
        life.await;
        drop(one);
    });
    Ok(answer)
}

/// Ends once the client has not sent its request as fast as it must. That moves on while its bytes come.
async fn overdue(visit: Option<Visit>) {
    let Some(visit) = visit else {
        return std::future::pending().await;
    };
    loop {
        let due = visit.due();
        if due <= Instant::now() {
            return;
        }
        sleep_until(due).await;
    }
}

/// The answer to a request that goes no further; `hint` is the longest time that clients stay away, where they hear of one.
fn malformed(why: &IntakeError, hint: Option<i64>) -> Response<Body> {
    let mut response = match (why, hint) {
        (IntakeError::NoRoom, Some(most)) => {
            request::refused(Some(Duration::from_micros(most.max(0) as u64).min(BACK)))
        }
        _ => Response::new(Body::from(format!("{why}\n"))),
    };
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
