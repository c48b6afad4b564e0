//! One attempt at a node, and what its end proves.

use crate::budget::{Hold, Room, ANSWER_LONGEST, SMALL, WINDOW};
use crate::intake::{Parcel, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};
use crate::line::{Line, LineError, Lines, Sending, Spoilt};
use crate::request::Waiting;
use bytes::Bytes;
use http::{header, HeaderMap, Request as HttpRequest, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use lupinrack_extent_map::Version;
use lupinrack_front_settings::{micros, Told};
use lupinrack_metrics::Figures;
use lupinrack_policy::*;
use lupinrack_request_engine::{Attempt, Clock};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Sleep;

/// Part of a node's idle time (in tenths) that a connection is kept here: any request written to one that the
/// node has just closed would end as a reset.
const IDLE_TENTHS: Micros = 6;

/// What must be there of an answer that is said to be long before it begins to pass on: its head alone may be spoilt, and
/// it can still be made again.
const BEGINS: usize = 1;
/// How long before the client's end an answer that may be long begins to pass on, whatever is there of it. A little more
/// than the module takes to give up.
const LAST: Duration = Duration::from_millis(30);

/// The way to the nodes.
#[derive(Clone)]
pub struct Upstream {
    lines: Lines,
    clock: Clock,
    columns: std::sync::Arc<[String]>,
    figures: Figures,
    room: Room,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to pass on, where the outcome is served and it was collected whole.
    pub body: Bytes,
    /// Where the answer began to pass on before it was whole: how many bytes of it did.
    pub passed: Option<u64>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
    /// Where the outcome is that the data lies elsewhere: the version of the map by which it does.
    pub hint: Option<Version>,
}

/// An answer that begins to pass on before it is whole.
#[derive(Debug)]
pub struct Begun {
    /// Its attempt.
    pub number: u16,
    /// Its length, where the node gave one.
    pub length: Option<u64>,
    /// What was collected of it.
    pub taken: Vec<Bytes>,
    /// The rest, as it comes; an empty piece is its end.
    pub pieces: mpsc::Receiver<Result<Bytes, Cut>>,
}

/// An answer broke off after it had begun.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Cut;

/// What was taken of an answer.
enum Taken {
    Whole(Ended),
    /// Nothing of use by the end of the client's time.
    Late,
    Part {
        length: Option<u64>,
        taken: Vec<Bytes>,
        load: Option<LoadReport>,
        body: Incoming,
    },
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended {
            outcome,
            body: Bytes::new(),
            passed: None,
            load: None,
            hint: None,
        }
    }
}

impl Upstream {
    /// Connections as the settings want them, at most this many.
    pub fn new(told: &Told, clock: Clock, most: usize, room: Room, figures: Figures) -> Self {
        let span = |us: Micros| Duration::from_micros(us.max(1) as u64);
        let lines = Lines::new(
            most,
            span(told.connect_timeout),
            span(told.conn_idle * IDLE_TENTHS / 10),
        );
        Upstream {
            lines,
            clock,
            columns: told.columns.clone().into(),
            figures,
            room,
        }
    }

    /// Makes one attempt. Dropped, it closes the attempt's connection. An answer that is passed on as it comes is told to
    /// `begins`, and the attempt then lasts until all of it has passed. Nothing is written once its client waits no more.
    pub async fn attempt(
        &self,
        parcel: Parcel,
        attempt: Attempt,
        begins: mpsc::Sender<Begun>,
        mut waiting: Waiting,
    ) -> Ended {
        let late = tokio::time::sleep_until(self.clock.instant(attempt.until));
        tokio::pin!(late);
        let line = tokio::select! {
            biased;
            // Told to drain while the connection was still coming up: this send must not go out any more.
            () = attempt.to.stopped(self.clock) => return Outcome::ConnectFailed.into(),
            () = waiting.over() => return Outcome::NotSent.into(),
            line = self.lines.line(attempt.to.address) => line,
            () = &mut late => return Outcome::ConnectFailed.into(),
        };
        let mut line = match line {
            Ok(line) => line,
            Err(why) => return unconnected(&why).into(),
        };
        let left = (attempt.until - self.clock.now()).max(0);
        let mut request = HttpRequest::builder()
            .method(parcel.method)
            .uri(http::Uri::from(parcel.target))
            .header(header::HOST, attempt.to.address.to_string())
            .header(&REQUEST_ID, parcel.id);
        if let Some(key) = parcel.key {
            request = request.header(&IDEMPOTENCY_KEY, key);
        }
        let request = request
            .header(&DEADLINE, format!("{left}u"))
            .body(Full::new(parcel.body));
        let Ok(request) = request else {
            return Outcome::NotSent.into();
        };
        // The last look before the first byte: there is no wait between it and the write.
        if !waiting.now() {
            self.lines.keep(line).await;
            return Outcome::NotSent.into();
        }
        if self.clock.now() >= attempt.begin_by {
            // The connection came up too late, or this process was stopped meanwhile: the nodes may have forgotten what ran, and others
            // may use by now what this attempt drew on.
            return Outcome::Expired.into();
        }
        let sending = Sending::Attempt {
            request,
            permit: attempt.permit,
            figures: self.figures.clone(),
        };
        let ended = match self.exchange(&mut line, sending, late).await {
            Ok(Taken::Late) => {
                return if line.written() {
                    Outcome::Timeout
                } else {
                    Outcome::ConnectFailed
                }
                .into()
            }
            Ok(Taken::Whole(ended)) => Ok(ended),
            Ok(part) => match self.pass(&mut line, part, attempt.number, &begins).await {
                // Only what was passed on to its end leaves a connection that can be used again.
                ended if ended.outcome == Outcome::Ok => Ok(ended),
                ended => return ended,
            },
            Err(why) => Err(why),
        };
        self.settle(line, ended).await
    }

    /// Sends a request and takes its answer: whole, where it is short, so that one that breaks off has not begun at the
    /// client; else as it comes.
    async fn exchange(
        &self,
        line: &mut Line,
        sending: Sending,
        mut late: Pin<&mut Sleep>,
    ) -> Result<Taken, Spoilt> {
        let answer = tokio::select! {
            biased;
            answer = line.begin(sending) => answer?,
            () = &mut late => return Ok(Taken::Late),
        };
        let (head, mut body) = answer.into_parts();
        if head.headers.contains_key(header::TRANSFER_ENCODING)
            && head.headers.contains_key(header::CONTENT_LENGTH)
        {
            return Err(Spoilt::Lengths);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|l| l > ANSWER_LONGEST) {
            return Err(Spoilt::Endless);
        }
        // One that is said to be long begins as soon as it is seen to come: the client waits for its first bytes.
        let enough = if length.is_some_and(|l| l > SMALL as u64) {
            BEGINS
        } else {
            SMALL + 1
        };
        let soon = tokio::time::sleep_until(late.deadline() - LAST);
        tokio::pin!(soon);
        let may_be_long = head.status == StatusCode::OK && length.is_none_or(|l| l > SMALL as u64);
        let (mut taken, mut held) = (Vec::new(), 0);
        while held < enough {
            let piece = tokio::select! {
                biased;
                piece = line.piece(&mut body) => piece?,
                // What the node is still giving is not cut off where it may be long: it is the client's before the module
                // answers in its place.
                () = &mut soon, if may_be_long => break,
                () = &mut late => return Ok(Taken::Late),
            };
            let Some(piece) = piece else {
                return Ok(Taken::Whole(self.ended(&head, taken)));
            };
            held += piece.len();
            taken.push(piece);
        }
        match head.status {
            StatusCode::OK => Ok(Taken::Part {
                length,
                taken,
                load: self.load(&head.headers),
                body,
            }),
            _ => Err(Spoilt::Endless),
        }
    }

    fn ended(&self, head: &http::response::Parts, taken: Vec<Bytes>) -> Ended {
        let not_run = head
            .headers
            .get("x-not-run")
            .is_some_and(|v| v.as_bytes() == b"1");
        let moved = head.headers.get("x-extent-epoch");
        let hint = moved.and_then(|v| v.to_str().ok()?.parse().ok());
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE if not_run && moved.is_some() => Outcome::WrongShard,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        };
        let body = match <[Bytes; 1]>::try_from(taken) {
            Ok([one]) => one,
            Err(pieces) => pieces.concat().into(),
        };
        Ended {
            outcome,
            body,
            passed: None,
            load: self.load(&head.headers),
            hint,
        }
    }

    /// Passes on an answer that has begun, at the client's pace. It is never made again, so its deadline is over.
    async fn pass(
        &self,
        line: &mut Line,
        part: Taken,
        number: u16,
        begins: &mpsc::Sender<Begun>,
    ) -> Ended {
        let Taken::Part {
            length,
            taken,
            load,
            mut body,
        } = part
        else {
            return Outcome::NotSent.into();
        };
        let mut hold = Hold::default();
        if !self.room.pass(&mut hold, WINDOW).await {
            tracing::debug!("no memory for a long answer");
            // The node did its part; it tells nothing of it.
            return Outcome::Cancelled.into();
        }
        let mut passed = taken.iter().map(|p| p.len() as u64).sum::<u64>();
        let (to, pieces) = mpsc::channel(1);
        if begins
            .send(Begun {
                number,
                length,
                taken,
                pieces,
            })
            .await
            .is_err()
        {
            return Outcome::Cancelled.into();
        }
        let outcome = loop {
            let piece = tokio::select! {
                biased;
                // The client has gone: what the node still gives is of no use.
                () = to.closed() => break Outcome::Cancelled,
                piece = line.passing(&mut body) => piece,
            };
            let (say, end) = match piece {
                Ok(Some(piece)) if passed + piece.len() as u64 <= ANSWER_LONGEST => {
                    passed += piece.len() as u64;
                    (Ok(piece), None)
                }
                // The end is told by an empty piece.
                Ok(None) => (Ok(Bytes::new()), Some(Outcome::Ok)),
                // The client must be able to tell that it is not whole.
                Ok(Some(_)) | Err(_) => (Err(Cut), Some(Outcome::Reset)),
            };
            match (end, to.send(say).await) {
                // A client that has all that was promised looks no further.
                (Some(end), _) => break end,
                (None, Err(_)) => break Outcome::Cancelled,
                (None, Ok(())) => {}
            }
        };
        Ended {
            load,
            passed: Some(passed),
            ..outcome.into()
        }
    }

    /// What the end of an exchange proves; its connection is kept where the answer was whole.
    async fn settle(&self, line: Line, exchange: Result<Ended, Spoilt>) -> Ended {
        match exchange {
            Ok(ended) => {
                self.lines.keep(line).await;
                ended
            }
            Err(why) => {
                tracing::debug!("attempt: {why}");
                // Only where its last byte was never written did it provably not run.
                if line.written() {
                    Outcome::Reset
                } else {
                    Outcome::ConnectFailed
                }
                .into()
            }
        }
    }

    fn load(&self, headers: &HeaderMap) -> Option<LoadReport> {
        headers
            .get("x-load")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| report(v, &self.columns))
    }

    /// Looks at a node once: whether it answers, how long that took, and its load report.
    pub async fn probe(&self, address: SocketAddr, patience: Duration) -> Ended {
        let path = if self.columns.is_empty() {
            "/health/live"
        } else {
            "/stats"
        };
        let request = HttpRequest::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::default());
        let Ok(request) = request else {
            return Outcome::NotSent.into();
        };
        let late = tokio::time::sleep(patience);
        tokio::pin!(late);
        let line = tokio::select! {
            line = self.lines.line(address) => line,
            () = &mut late => return Outcome::ConnectFailed.into(),
        };
        let mut line = match line {
            Ok(line) => line,
            Err(why) => return unconnected(&why).into(),
        };
        let whole = match self
            .exchange(&mut line, Sending::Probe(request), late)
            .await
        {
            Ok(Taken::Late) => return Outcome::Timeout.into(),
            Ok(Taken::Whole(ended)) => Ok(ended),
            Ok(Taken::Part { .. }) => Err(Spoilt::Endless),
            Err(why) => Err(why),
        };
        let mut ended = self.settle(line, whole).await;
        let text = std::str::from_utf8(&ended.body).unwrap_or("");
        ended.load = ended.load.or_else(|| report(text, &self.columns));
        ended
    }
}

/// Without a connection nothing was sent; where only our own descriptors are short, that tells nothing of the node.
fn unconnected(why: &LineError) -> Outcome {
    tracing::debug!("attempt: {why}");
    match why {
        LineError::NoRoom => Outcome::NotSent,
        _ => Outcome::ConnectFailed,
    }
}

/// Reads a load report, `TEXT inflight=7, queue=2`; names are the settings' own or the protocol's.
fn report(text: &str, columns: &[String]) -> Option<LoadReport> {
    let text = text.trim();
    let fields = text.strip_prefix("TEXT").unwrap_or(text);
    let mut load = LoadReport::default();
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else {
            continue;
        };
        let Some(x) = value.trim().parse::<f64>().ok().filter(|x| x.is_finite()) else {
            continue;
        };
        match name.trim() {
            "outstanding" | "inflight" => load.outstanding = Some(x),
            "backlog" | "queue" => load.backlog = Some(x),
            "utilization" | "util" => load.utilization = Some(x),
            "recent_ms" | "latency_ms" => load.service_time = Some(micros(x)),
            "throughput" | "qps" => load.throughput = Some(x),
            "errors_per_s" | "eps" => load.errors = Some(x),
            _ => {}
        }
    }
    (!columns.is_empty() && load != LoadReport::default()).then_some(load)
}
