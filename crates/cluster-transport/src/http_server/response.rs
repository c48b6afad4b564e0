//! An answer as handlers give it.

use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use lupinrack_cluster_api::error::ErrorKind;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// Seconds for `Retry-After`.
    pub retry_after_s: Option<u32>,
    /// Where to go, for `Location`.
    pub location: Option<String>,
    /// The body, in JSON; empty for none.
    pub body: Bytes,
}

impl HttpResponse {
    /// A status and nothing else.
    pub fn empty(status: u16) -> Self {
        HttpResponse {
            status,
            retry_after_s: None,
            location: None,
            body: Bytes::new(),
        }
    }

    /// 200 with a body in JSON.
    pub fn json(body: impl Into<Bytes>) -> Self {
        HttpResponse {
            body: body.into(),
            ..HttpResponse::empty(200)
        }
    }

    /// The answer to an error of this kind, with its description.
    pub fn error(kind: ErrorKind) -> Self {
        let error = kind.http_error();
        let body = Bytes::from(format!("{{\"error\":\"{kind}\"}}"));
        HttpResponse {
            retry_after_s: error.retry_after_s,
            body,
            ..HttpResponse::empty(error.status)
        }
    }

    /// 307 to another address.
    pub fn redirect(location: impl Into<String>) -> Self {
        HttpResponse {
            location: Some(location.into()),
            ..HttpResponse::empty(307)
        }
    }

    /// The answer as it is sent; 500 where it cannot be.
    pub(super) fn into_response(self, close: bool) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body.clone()));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        if !self.body.is_empty() {
            headers.insert(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            );
        }
        if let Some(seconds) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(location) = self
            .location
            .and_then(|text| HeaderValue::from_maybe_shared(text).ok())
        {
            headers.insert(header::LOCATION, location);
        }
        if close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
