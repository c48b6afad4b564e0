//! Takes from a client's request the fields that the decisions need; all else stays as the bytes that came.

use crate::budget::{Entry, Hold, Room};
use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use lupinrack_front_settings::Told;
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

/// Why a request is turned down before the decisions see it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntakeError {
    /// A header is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header stands there twice, or cannot be read.
    #[error("{0} cannot be read")]
    Unreadable(&'static str),
    /// The path names no class of the settings.
    #[error("the path names no known class")]
    Class,
    /// The path's last part is not a piece of data.
    #[error("the path's last part is not 16 hexadecimal digits")]
    Key,
    /// The plan is not one of the settings'.
    #[error("x-plan names no known plan")]
    Plan,
    /// The class is not used with this method.
    #[error("the class is not used with this method")]
    Method,
    /// The body is longer than allowed.
    #[error("the body is longer than this front can hold")]
    TooLong,
    /// There is no memory for the body now; asking again is harmless.
    #[error("there is no room for the body now")]
    NoRoom,
    /// The body broke off.
    #[error("the body broke off")]
    Body,
    /// Its lengths contradict each other: a body may hide another request.
    #[error("content-length and transfer-encoding contradict each other")]
    Framing,
    /// Another request with this id is open. A node could not tell one from the other.
    #[error("a request with this x-request-id is open")]
    Open,
    /// The body did not come in time.
    #[error("the body did not come in time")]
    Slow,
}

impl IntakeError {
    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            IntakeError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            IntakeError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            IntakeError::Slow => StatusCode::REQUEST_TIMEOUT,
            IntakeError::Open => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The ids of all open requests of this front.
#[derive(Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<HeaderValue>>>);

/// An id in use, until it is dropped.
pub struct OpenId(OpenIds, HeaderValue);

impl OpenIds {
    /// Marks an id as in use; none where it is already.
    pub fn take(&self, id: &HeaderValue) -> Option<OpenId> {
        let new = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone());
        new.then(|| OpenId(self.clone(), id.clone()))
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

/// What passes on to a node unchanged.
#[derive(Clone, Debug)]
pub struct Parcel {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: http::uri::PathAndQuery,
    /// The request's id.
    pub id: HeaderValue,
    /// The idempotency key, where there is one.
    pub key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// The memory that it holds, where it is a large one.
    pub hold: Arc<Hold>,
}

/// Reads the head: what the decisions need, with the client's patience in place of the time it ends.
pub fn head(told: &Told, parts: &http::request::Parts) -> Result<(Request, Duration), IntakeError> {
    let path = parts.uri.path();
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let class = told.class(first).ok_or(IntakeError::Class)?;
    let last = path.rsplit('/').next().unwrap_or("");
    let key = hex16(last).ok_or(IntakeError::Key)?;
    let plan = text(&parts.headers, &PLAN)?.ok_or(IntakeError::Missing("x-plan"))?;
    let plan = told
        .plans
        .iter()
        .position(|p| p == plan)
        .ok_or(IntakeError::Plan)?;
    let deadline = text(&parts.headers, &DEADLINE)?.ok_or(IntakeError::Missing("x-deadline"))?;
    let patience = span(deadline).ok_or(IntakeError::Unreadable("x-deadline"))?;
    let io = text(&parts.headers, &IO)?.ok_or(IntakeError::Missing("x-io"))?;
    let io = extras(io, told.module.max_units).ok_or(IntakeError::Unreadable("x-io"))?;
    let is_client_retry = text(&parts.headers, &RETRY)?.is_some_and(|v| v.trim() == "1");
    text(&parts.headers, &REQUEST_ID)?
        .filter(|v| !v.is_empty())
        .ok_or(IntakeError::Missing("x-request-id"))?;
    let keyed = text(&parts.headers, &IDEMPOTENCY_KEY)?.is_some();
    let rules = &told.module.classes[class];
    if matches!(rules.idempotence, Idempotence::Deduplicated { .. }) && !keyed {
        return Err(IntakeError::Missing("idempotency-key"));
    }
    let fits = match told.writes.get(class).copied().flatten() {
        Some(true) => parts.method == Method::PUT,
        Some(false) => parts.method == Method::GET,
        // Not said for these classes: the client knows.
        None => [Method::PUT, Method::GET].contains(&parts.method),
    };
    if !fits {
        return Err(IntakeError::Method);
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
    Ok((request, patience))
}

/// Collects the body, as the budget allows, and puts together what passes on.
pub async fn parcel(
    parts: http::request::Parts,
    mut body: Body,
    room: &Room,
) -> Result<Parcel, IntakeError> {
    let (budget, mut hold) = (room.budget(), Hold::default());
    let length = body.size_hint().exact();
    match budget.body(length) {
        Entry::Small => {}
        Entry::TooLong => return Err(IntakeError::TooLong),
        // Unread until there is room: the client waits, and so do its bytes.
        Entry::Hold(bytes) if !room.raise(&mut hold, bytes).await => {
            return Err(IntakeError::NoRoom)
        }
        Entry::Hold(_) => {}
    }
    let known = length.and_then(|l| usize::try_from(l).ok()).unwrap_or(0);
    let mut whole = BytesMut::with_capacity(known);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(|_| IntakeError::Body)?.into_data() else {
            continue;
        };
        let bytes = whole.len() + piece.len();
        let held = budget
            .grown(bytes, hold.bytes())
            .ok_or(IntakeError::TooLong)?;
        if !room.raise(&mut hold, held).await {
            return Err(IntakeError::NoRoom);
        }
        whole.extend_from_slice(&piece);
    }
    let id = parts
        .headers
        .get(&REQUEST_ID)
        .cloned()
        .ok_or(IntakeError::Missing("x-request-id"))?;
    Ok(Parcel {
        method: parts.method,
        target: parts
            .uri
            .path_and_query()
            .cloned()
            .ok_or(IntakeError::Class)?,
        id,
        key: parts.headers.get(&IDEMPOTENCY_KEY).cloned(),
        body: whole.freeze(),
        hold: Arc::new(hold),
    })
}

/// A header's one value. Twice is an error: which of the two a node would take is not known.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, IntakeError> {
    let named = || match name.as_str() {
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
        return Err(IntakeError::Unreadable(named()));
    }
    first
        .to_str()
        .map(Some)
        .map_err(|_| IntakeError::Unreadable(named()))
}

struct Extras {
    volume: VolumeId,
    units: f64,
    shard: Option<Shard>,
    hosts: f64,
}

fn extras(value: &str, most: f64) -> Option<Extras> {
    let (mut volume, mut units, mut shard, mut hosts) = (None, None, None, None);
    for field in value.split(',') {
        let (name, v) = field.split_once('=')?;
        let v = v.trim();
        match name.trim() {
            "volume" => volume = Some(VolumeId(hex16(v)?)),
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
    let units = units.filter(|u| most <= 0.0 || *u <= most)?;
    let shard = u32::try_from(shard?).ok().map(Shard);
    Some(Extras {
        volume: volume?,
        units,
        shard,
        hosts: hosts?,
    })
}

/// Exactly 16 hexadecimal digits.
fn hex16(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A span with its unit, `480m` or `480000u`; at most a day.
pub fn span(text: &str) -> Option<Duration> {
    let text = text.trim();
    let unit = match text.chars().last()? {
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
        .checked_mul(unit)
        .filter(|us| *us <= 86_400_000_000)
        .map(Duration::from_micros)
}
