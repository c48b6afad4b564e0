//! The service between hyper and the handler: reads a complete request and passes it to the handler.

use super::activity::Activity;
use super::limits::HttpLimits;
use super::request::HttpRequest;
use super::response::{HttpResponse, Persistence};
use super::state::ServerState;
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::service::Service;
use lupinrack_cluster_api::error::ErrorKind;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::time::{timeout, timeout_at, Instant};

/// Answers the requests of one connection.
pub(super) struct JsonService<F> {
    handler: Arc<F>,
    state: Arc<ServerState>,
    activity: Arc<Activity>,
}

impl<F> JsonService<F> {
    /// Passes requests to this handler.
    pub(super) fn new(handler: Arc<F>, state: Arc<ServerState>, activity: Arc<Activity>) -> Self {
        JsonService {
            handler,
            state,
            activity,
        }
    }
}

impl<F, A> Service<Request<Incoming>> for JsonService<F>
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        self.activity.request_began();
        let handler = self.handler.clone();
        let state = self.state.clone();
        let activity = self.activity.clone();
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let response = match read_body(body, &state.limits.load()).await {
                Ok(body) => handler(HttpRequest::new(&parts, body)).await,
                Err(kind) => {
                    activity.answered_early();
                    HttpResponse::error(kind)
                }
            };
            activity.request_ended();
            let closes = activity.has_unread_input() || state.closes_after_response();
            Ok(response.into_response(if closes {
                Persistence::Close
            } else {
                Persistence::KeepAlive
            }))
        })
    }
}

/// Reads a body within its limits.
async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(ErrorKind::TooLarge);
    }
    let deadline = Instant::now() + limits.idle_timeout();
    timeout_at(deadline, collect_frames(body, limits))
        .await
        .unwrap_or(Err(ErrorKind::TooSlow))
}

/// Collects the frames of a body, each of which must arrive in time.
async fn collect_frames(mut body: Incoming, limits: &HttpLimits) -> Result<Bytes, ErrorKind> {
    let expected = usize::try_from(body.size_hint().lower()).map_err(|_| ErrorKind::TooLarge)?;
    let mut collected = BytesMut::new();
    loop {
        let next = timeout(limits.header_timeout(), body.frame())
            .await
            .map_err(|_| ErrorKind::TooSlow)?;
        let Some(frame) = next else {
            return Ok(collected.freeze());
        };
        let Ok(data) = frame.map_err(|_| ErrorKind::Malformed)?.into_data() else {
            continue;
        };
        if collected.is_empty() && data.len() == expected {
            // The body came in one frame, which needs no copy.
            return Ok(data);
        }
        let total = collected.len() + data.len();
        if u64::try_from(total).unwrap_or(u64::MAX) > limits.max_body_bytes {
            return Err(ErrorKind::TooLarge);
        }
        collected.reserve(expected.saturating_sub(collected.len()).max(data.len()));
        collected.extend_from_slice(&data);
    }
}
