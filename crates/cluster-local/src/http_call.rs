//! HTTP calls of the operator and of clients.

use bytes::Bytes;
use http::{header, Method, Request, StatusCode};
use lupinrack_cluster_transport::http_client;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A call.
#[derive(Clone, Debug, Default)]
pub(crate) struct HttpCall {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The `Host` header; if empty, the address of the server.
    pub(crate) host: String,
    /// The version in the `If-Match` header.
    pub(crate) if_match: Option<u64>,
    /// The body, as JSON.
    pub(crate) body: String,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    /// The status code.
    pub(crate) status: StatusCode,
    /// The body.
    pub(crate) body: Bytes,
}

impl HttpResponse {
    /// Whether the call succeeded.
    pub(crate) fn is_success(&self) -> bool {
        self.status.is_success()
    }
}

/// Sends a call and reads its response; `None` if no response comes in time.
pub(crate) async fn send(address: SocketAddrV4, call: &HttpCall) -> Option<HttpResponse> {
    let request = request(call)?;
    let response = http_client::call(address, request, CALL_TIMEOUT)
        .await
        .ok()?;
    Some(HttpResponse {
        status: response.status(),
        body: response.into_body(),
    })
}

fn request(call: &HttpCall) -> Option<Request<Bytes>> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path);
    if !call.host.is_empty() {
        request = request.header(header::HOST, &call.host);
    }
    if let Some(version) = call.if_match {
        request = request.header(header::IF_MATCH, version);
    }
    request
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(call.body.clone()))
        .ok()
}
