//! A request as handlers see it.

use super::if_match::{decimal_number, IfMatch};
use bytes::Bytes;
use http::request::Parts;
use http::{header, HeaderMap, Method};

/// The field in which clients send their remaining time until the deadline, in milliseconds.
pub const DEADLINE_REMAINING: &str = "lupinrack-deadline-remaining";

/// A request that was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, as sent, without a query.
    pub path: String,
    /// The host, in lower case and without a port: that of an absolute target, or of the field `Host` (RFC 9112,
    /// section 3.2.2). Empty if there is none.
    pub host: String,
    /// The precondition.
    pub if_match: IfMatch,
    /// The client's remaining time until the deadline, in milliseconds; none if the field is missing.
    pub deadline_remaining_ms: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Builds a request from its header section and its body.
    pub(super) fn new(parts: &Parts, body: Bytes) -> Self {
        HttpRequest {
            method: parts.method.clone(),
            path: parts.uri.path().to_owned(),
            host: host(parts),
            if_match: IfMatch::of(&parts.headers),
            deadline_remaining_ms: deadline_remaining_ms(&parts.headers),
            body,
        }
    }
}

fn deadline_remaining_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(DEADLINE_REMAINING)?;
    decimal_number(value.to_str().ok()?.trim())
}

fn host(parts: &Parts) -> String {
    let of_field = || {
        let value = parts.headers.get(header::HOST)?;
        value.to_str().ok()
    };
    let of_target = parts.uri.authority().map(http::uri::Authority::as_str);
    let authority = of_target.or_else(of_field).unwrap_or("");
    without_port(authority.trim()).to_ascii_lowercase()
}

fn without_port(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    }
}
