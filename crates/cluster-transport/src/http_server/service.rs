//! From a request to its answer.

use super::activity::Activity;
use super::limits::HttpLimits;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::state::Server;
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

/// What handles the requests of one connection.
pub(super) struct JsonService<F> {
    handler: Arc<F>,
    server: Arc<Server>,
    activity: Arc<Activity>,
}

impl<F> JsonService<F> {
    /// Passes requests to this handler.
    pub(super) fn new(handler: Arc<F>, server: Arc<Server>, activity: Arc<Activity>) -> Self {
        JsonService {
            handler,
            server,
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
        let (handler, server, activity) = (
            self.handler.clone(),
            self.server.clone(),
            self.activity.clone(),
        );
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let answer = match read_body(body, &server.limits.load()).await {
                Ok(body) => handler(HttpRequest::new(&parts, body)).await,
                Err(kind) => {
                    activity.leave_input();
                    HttpResponse::error(kind)
                }
            };
            activity.request_ended();
            Ok(answer.into_response(activity.has_input_left() || server.closes_after_answers()))
        })
    }
}

/// Reads a body within its bounds.
async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(ErrorKind::TooLarge);
    }
    let latest = Instant::now() + limits.idle_timeout();
    timeout_at(latest, collect(body, limits))
        .await
        .unwrap_or(Err(ErrorKind::TooSlow))
}

/// Collects the pieces of a body, each of which has to come in time.
async fn collect(mut body: Incoming, limits: &HttpLimits) -> Result<Bytes, ErrorKind> {
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
