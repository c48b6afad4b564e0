//! A request as handlers see it.

use bytes::Bytes;
use http::request::Parts;
use http::{header, HeaderMap, HeaderValue, Method};

/// The header in which clients give the milliseconds that they still wait.
pub const DEADLINE_REMAINING: &str = "lupinrack-deadline-remaining";

/// A request that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, as sent, without a query.
    pub path: String,
    /// The host, in lower case and without a port; empty where there was none.
    pub host: String,
    /// The number in `If-Match`, quoted or not.
    pub if_match: Option<u64>,
    /// Whether there is an `If-Match` that is not one number.
    pub if_match_malformed: bool,
    /// The milliseconds for which the client still waits.
    pub deadline_remaining_ms: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// From a head and the body that belongs to it.
    pub(super) fn new(parts: &Parts, body: Bytes) -> Self {
        let if_match = number_in_if_match(&parts.headers);
        HttpRequest {
            method: parts.method.clone(),
            path: parts.uri.path().to_owned(),
            host: host(parts),
            if_match: if_match.and_then(Result::ok),
            if_match_malformed: matches!(if_match, Some(Err(NotANumber))),
            deadline_remaining_ms: parts.headers.get(DEADLINE_REMAINING).and_then(number),
            body,
        }
    }
}

/// An `If-Match` that holds something else than one number.
#[derive(Clone, Copy)]
struct NotANumber;

fn number_in_if_match(headers: &HeaderMap) -> Option<Result<u64, NotANumber>> {
    let mut values = headers.get_all(header::IF_MATCH).iter();
    let first = values.next()?;
    let number = unquoted(first).filter(|_| values.next().is_none());
    Some(number.ok_or(NotANumber))
}

/// The number in a value, which may stand in quotes.
fn unquoted(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    let inner = text
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'));
    digits(inner.unwrap_or(text))
}

fn number(value: &HeaderValue) -> Option<u64> {
    digits(value.to_str().ok()?.trim())
}

/// A number of decimal digits alone: `parse` by itself would take a sign.
fn digits(text: &str) -> Option<u64> {
    let all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| all_digits)
}

/// The host of the request's target, or of its header.
fn host(parts: &Parts) -> String {
    let header = || {
        parts
            .headers
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
    };
    let authority = parts
        .uri
        .authority()
        .map(|authority| authority.as_str())
        .or_else(header)
        .unwrap_or("");
    without_port(authority.trim()).to_ascii_lowercase()
}

fn without_port(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    }
}
