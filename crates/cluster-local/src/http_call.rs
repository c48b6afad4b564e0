//! Calls of the operator and of clients.

use bytes::Bytes;
use http::{header, Method, Request};
use lupinrack_cluster_transport::http_client;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a call may take.
const CALL_WITHIN: Duration = Duration::from_secs(3);

/// A call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The `Host` header; the address where it is empty.
    pub host: String,
    /// The version in `If-Match`.
    pub if_match: Option<u64>,
    /// The body, as JSON.
    pub body: String,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Whether the call succeeded.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Makes a call; none where no answer came.
pub async fn exchange(address: SocketAddrV4, call: &Call) -> Option<Answer> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path);
    if !call.host.is_empty() {
        request = request.header(header::HOST, &call.host);
    }
    if let Some(version) = call.if_match {
        request = request.header(header::IF_MATCH, version);
    }
    let request = request.header(header::CONTENT_TYPE, "application/json");
    let request = request.body(Bytes::from(call.body.clone())).ok()?;
    let answer = http_client::call(address, request, CALL_WITHIN)
        .await
        .ok()?;
    Some(Answer {
        status: answer.status().as_u16(),
        body: answer.into_body(),
    })
}
