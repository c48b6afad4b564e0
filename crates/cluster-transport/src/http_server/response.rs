//! A response as handlers give it.

use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use lupinrack_cluster_api::error::ErrorKind;

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The seconds of the field `Retry-After`.
    pub retry_after_s: Option<u32>,
    /// The field `Location`.
    pub location: Option<String>,
    /// The body, in JSON; empty for none.
    pub body: Bytes,
}

impl HttpResponse {
    /// A response with only a status.
    pub fn empty(status: u16) -> Self {
        HttpResponse {
            status,
            retry_after_s: None,
            location: None,
            body: Bytes::new(),
        }
    }

    /// Status 200 with a body in JSON.
    pub fn json(body: impl Into<Bytes>) -> Self {
        HttpResponse {
            body: body.into(),
            ..HttpResponse::empty(200)
        }
    }

    /// The response to an error of this kind, with its description.
    pub fn error(kind: ErrorKind) -> Self {
        let error = kind.http_error();
        let body = Bytes::from(format!("{{\"error\":\"{kind}\"}}"));
        HttpResponse {
            retry_after_s: error.retry_after_s,
            body,
            ..HttpResponse::empty(error.status)
        }
    }

    /// Status 307 (temporary redirect) to another address.
    pub fn redirect(location: impl Into<String>) -> Self {
        HttpResponse {
            location: Some(location.into()),
            ..HttpResponse::empty(307)
        }
    }

    /// The response as it is sent. Status 500 replaces an invalid status code; `Connection: close` says that it is the
    /// last one on its connection (RFC 9112, section 9.6).
    pub(super) fn into_response(self, persistence: Persistence) -> Response<Full<Bytes>> {
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
        let location = self.location.map(HeaderValue::from_maybe_shared);
        if let Some(Ok(location)) = location {
            headers.insert(header::LOCATION, location);
        }
        if persistence == Persistence::Close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Persistence {
    /// It stays open for further requests.
    KeepAlive,
    /// It is closed.
    Close,
}
