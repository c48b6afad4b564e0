//! Validates a client's request, reads the fields that the policy needs, and reads its body. Everything else is forwarded
//! unchanged.

use crate::memory_budget::{BodyAdmission, MemoryPool, MemoryReservation};
use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use lupinrack_front_settings::FrontSettings;
use lupinrack_policy::*;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
const PLAN: HeaderName = HeaderName::from_static("x-plan");
const IO: HeaderName = HeaderName::from_static("x-io");
const RETRY: HeaderName = HeaderName::from_static("x-retry");

/// Why a request is rejected before the policy sees it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntakeError {
    /// A required header is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header appears twice, or its value is invalid.
    #[error("{0} cannot be read")]
    Unreadable(&'static str),
    /// The path does not begin with the name of a class in the settings.
    #[error("the path names no known class")]
    UnknownClass,
    /// The path's last segment is not a key.
    #[error("the path's last part is not 16 hexadecimal digits")]
    InvalidKey,
    /// The settings have no plan of this name.
    #[error("x-plan names no known plan")]
    UnknownPlan,
    /// The class does not allow this method.
    #[error("the class is not used with this method")]
    WrongMethod,
    /// The body is longer than this front can ever hold.
    #[error("the body is longer than this front can hold")]
    BodyTooLong,
    /// There is no memory for the body at present. The client may safely retry.
    #[error("there is no room for the body now")]
    NoMemory,
    /// The connection failed before the body was complete.
    #[error("the body broke off")]
    BodyTruncated,
    /// The lengths contradict each other, so that the body may hide another request.
    #[error("content-length and transfer-encoding contradict each other")]
    ContradictoryLengths,
    /// Another request with this id is open. A node could not distinguish the two.
    #[error("a request with this x-request-id is open")]
    DuplicateId,
    /// The body was not received in time.
    #[error("the body did not come in time")]
    BodyTimeout,
}

impl IntakeError {
    /// The response status for this error.
    pub fn status(&self) -> StatusCode {
        match self {
            IntakeError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            IntakeError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            IntakeError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            IntakeError::DuplicateId => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The ids of all open requests of this front.
#[derive(Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<HeaderValue>>>);

/// An id in use. Dropping this releases it.
pub struct OpenId(OpenIds, HeaderValue);

impl OpenIds {
    /// Marks an id as in use, or returns `None` if it already is.
    pub fn take(&self, id: &HeaderValue) -> Option<OpenId> {
        let is_new = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone());
        is_new.then(|| OpenId(self.clone(), id.clone()))
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0
             .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.1);
    }
}

/// The part of a request that each attempt forwards to its node.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: http::uri::PathAndQuery,
    /// The request's id.
    pub id: HeaderValue,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// The memory reserved for a large body.
    pub reservation: Arc<MemoryReservation>,
}

/// Parses the head. Returns the policy's view of the request, without its deadline, and the time that the client allows
/// until the deadline.
pub fn parse_head(
    settings: &FrontSettings,
    parts: &http::request::Parts,
) -> Result<(Request, Duration), IntakeError> {
    let path = parts.uri.path();
    let first_segment = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let class = settings
        .class(first_segment)
        .ok_or(IntakeError::UnknownClass)?;
    let last_segment = path.rsplit('/').next().unwrap_or("");
    let key = parse_hex16(last_segment).ok_or(IntakeError::InvalidKey)?;
    let plan = single_value(&parts.headers, &PLAN)?.ok_or(IntakeError::Missing("x-plan"))?;
    let plan = settings
        .plans
        .iter()
        .position(|p| p == plan)
        .ok_or(IntakeError::UnknownPlan)?;
    let deadline =
        single_value(&parts.headers, &DEADLINE)?.ok_or(IntakeError::Missing("x-deadline"))?;
    let time_to_deadline = parse_duration(deadline).ok_or(IntakeError::Unreadable("x-deadline"))?;
    let io = single_value(&parts.headers, &IO)?.ok_or(IntakeError::Missing("x-io"))?;
    let io = parse_io(io, settings.policy.max_units).ok_or(IntakeError::Unreadable("x-io"))?;
    let is_client_retry = single_value(&parts.headers, &RETRY)?.is_some_and(|v| v.trim() == "1");
    single_value(&parts.headers, &REQUEST_ID)?
        .filter(|v| !v.is_empty())
        .ok_or(IntakeError::Missing("x-request-id"))?;
    let has_idempotency_key = single_value(&parts.headers, &IDEMPOTENCY_KEY)?.is_some();
    let rules = &settings.policy.classes[class];
    if matches!(rules.idempotence, Idempotence::Deduplicated { .. }) && !has_idempotency_key {
        return Err(IntakeError::Missing("idempotency-key"));
    }
    let method_allowed = match settings.writes.get(class).copied().flatten() {
        Some(true) => parts.method == Method::PUT,
        Some(false) => parts.method == Method::GET,
        // The settings do not say whether this class writes; the client's choice is accepted.
        None => [Method::PUT, Method::GET].contains(&parts.method),
    };
    if !method_allowed {
        return Err(IntakeError::WrongMethod);
    }
    let request = Request {
        id: RequestId(0),
        class: class as u16,
        plan: plan as u32,
        volume: io.volume,
        hosts: io.hosts,
        units: io.units,
        key: (key != 0).then_some(Key(key)),
        shard: io.shard,
        client_deadline: 0,
        is_client_retry,
        shard_unknown: false,
    };
    Ok((request, time_to_deadline))
}

/// Reads the body within the memory budget, and returns what is forwarded to a node.
pub async fn read_body(
    parts: http::request::Parts,
    mut body: Body,
    memory: &MemoryPool,
) -> Result<ForwardedRequest, IntakeError> {
    let (budget, mut reservation) = (memory.budget(), MemoryReservation::default());
    let length = body.size_hint().exact();
    match budget.admit_body(length) {
        BodyAdmission::Unreserved => {}
        BodyAdmission::TooLong => return Err(IntakeError::BodyTooLong),
        // The body stays unread until there is memory for it; flow control then stops the client.
        BodyAdmission::Reserve(bytes) if !memory.reserve_body(&mut reservation, bytes).await => {
            return Err(IntakeError::NoMemory)
        }
        BodyAdmission::Reserve(_) => {}
    }
    let capacity = length.and_then(|l| usize::try_from(l).ok()).unwrap_or(0);
    let mut received = BytesMut::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_| IntakeError::BodyTruncated)?.into_data() else {
            continue;
        };
        let bytes = received.len() + chunk.len();
        let required_bytes = budget
            .required_reservation(bytes, reservation.bytes())
            .ok_or(IntakeError::BodyTooLong)?;
        if !memory.reserve_body(&mut reservation, required_bytes).await {
            return Err(IntakeError::NoMemory);
        }
        received.extend_from_slice(&chunk);
    }
    let id = parts
        .headers
        .get(&REQUEST_ID)
        .cloned()
        .ok_or(IntakeError::Missing("x-request-id"))?;
    Ok(ForwardedRequest {
        method: parts.method,
        target: parts
            .uri
            .path_and_query()
            .cloned()
            .ok_or(IntakeError::UnknownClass)?,
        id,
        idempotency_key: parts.headers.get(&IDEMPOTENCY_KEY).cloned(),
        body: received.freeze(),
        reservation: Arc::new(reservation),
    })
}

/// The only value of a header. A header that appears twice is an error, since it is unknown which value a node would use.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, IntakeError> {
    let static_name = || match name.as_str() {
        "x-plan" => "x-plan",
        "x-deadline" => "x-deadline",
        "x-io" => "x-io",
        "x-retry" => "x-retry",
        "idempotency-key" => "idempotency-key",
        _ => "x-request-id",
    };
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(IntakeError::Unreadable(static_name()));
    }
    first
        .to_str()
        .map(Some)
        .map_err(|_| IntakeError::Unreadable(static_name()))
}

/// The fields of the `x-io` header.
struct IoFields {
    volume: VolumeId,
    units: f64,
    shard: Option<Shard>,
    hosts: f64,
}

/// Parses the `x-io` header. `max_units` of 0 or less is no limit.
fn parse_io(value: &str, max_units: f64) -> Option<IoFields> {
    let (mut volume, mut units, mut shard, mut hosts) = (None, None, None, None);
    for field in value.split(',') {
        let (name, v) = field.split_once('=')?;
        let v = v.trim();
        match name.trim() {
            "volume" => volume = Some(VolumeId(parse_hex16(v)?)),
            "units" => units = v.parse::<f64>().ok().filter(|u| u.is_finite() && *u > 0.0),
            "shard" => {
                shard = v
                    .parse::<i64>()
                    .ok()
                    .filter(|s| *s >= -1 && *s <= i64::from(u32::MAX))
            }
            "hosts" => hosts = v.parse::<f64>().ok().filter(|h| h.is_finite() && *h >= 1.0),
            _ => {}
        }
    }
    let units = units.filter(|u| max_units <= 0.0 || *u <= max_units)?;
    let shard = u32::try_from(shard?).ok().map(Shard);
    Some(IoFields {
        volume: volume?,
        units,
        shard,
        hosts: hosts?,
    })
}

/// Parses exactly 16 hexadecimal digits.
fn parse_hex16(text: &str) -> Option<u64> {
    let is_hex16 = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex16
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// Parses a duration with its unit, milliseconds as `480m` or microseconds as `480000u`; at most a day.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let unit_us = match text.chars().last()? {
        'm' => 1_000,
        'u' => 1,
        _ => return None,
    };
    let digits = &text[..text.len() - 1];
    let number: u64 = Some(digits)
        .filter(|d| d.bytes().all(|b| b.is_ascii_digit()))?
        .parse()
        .ok()?;
    number
        .checked_mul(unit_us)
        .filter(|us| *us <= 86_400_000_000)
        .map(Duration::from_micros)
}
