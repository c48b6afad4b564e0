//! The gate on a client's connection, between the socket and the HTTP library.
//!
//! It hands on one request at a time: a head only once it is whole, no more body than the head promises, and the
//! next head only after the answer. So a connection is always in one known [`Stage`], its times run from bytes that
//! really came, and one that holds no request can be closed for another client. It also looks at what the library
//! passes over in silence: it drops a `Content-Length` beside a `Transfer-Encoding`, and takes equal lengths twice.

use bytes::BytesMut;
use lupinrack_graceful_shutdown::Phase;
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant, Sleep};

/// The longest head.
pub const HEAD_MOST: usize = 16 << 10;
/// The most header fields; the library's own bound.
const FIELDS_MOST: usize = 100;
/// How long a connection may be without a request. Clients that ask once and keep their connection for good, or
/// connect and say nothing, must not hold the places of those that have something to ask.
const IDLE: Duration = Duration::from_secs(2);
/// How long a request may take to come whole, from its first byte; a connection's first one, from the connect.
const WHOLE: Duration = Duration::from_millis(2_800);
/// What a body must bring, on the whole, once that time is over: half of the pace that clients may go at.
const PACE: u64 = 32_000;
/// How long a body may rest.
const REST: Duration = Duration::from_millis(2_500);
/// How long an answer may rest on its way out.
const LEAVE: Duration = Duration::from_secs(10);
/// How long, and for how many bytes, a client that is still sending is heard out after its answer: closed with
/// input unread, the connection would be reset, and the answer lost on its way.
const LINGER: Duration = Duration::from_secs(2);
const LINGER_MOST: usize = 64 << 20;
/// Bytes read at once, and reads in one turn: a client at full speed must not keep the thread from the others.
const PIECE: usize = 16 << 10;
const PIECES: usize = 16;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Between requests, or within a head.
    Head,
    /// Within a body; this much of it is to come.
    Body(u64),
    /// The request is whole; its answer is awaited.
    Answer,
    /// Whatever comes belongs to the last request of this connection: its end is for the library to find, or it
    /// cannot be told.
    Last,
}

/// How a head frames its body.
enum Framed {
    Length(u64),
    Chunked,
    /// Lengths that contradict each other, so that the body may hide another request.
    Doubtful,
}

/// The bytes of one connection on their way to the library.
#[derive(Debug)]
pub struct Framing {
    stage: Stage,
    held: BytesMut,
    /// How much of what is held may be handed on.
    passing: usize,
    doubtful: bool,
    /// No answer has gone out on this connection yet.
    first: bool,
    /// When the connection came up, its last answer went out, or the first byte after that came.
    since: Instant,
    /// Body bytes that came, and when the last of them did.
    body: (u64, Instant),
    /// An answer is on its way that passes on as it comes.
    passing_on: bool,
    /// Its place is wanted for another client.
    closing: bool,
    /// More came ahead of its turn than is kept: it was read, so that the client's end shows, and dropped. No request can be told
    /// behind it.
    flooded: bool,
    reader: Option<Waker>,
}

impl Framing {
    /// A connection that came up now.
    pub fn new(now: Instant) -> Self {
        Framing {
            stage: Stage::Head,
            held: BytesMut::new(),
            passing: 0,
            doubtful: false,
            first: true,
            since: now,
            body: (0, now),
            passing_on: false,
            closing: false,
            flooded: false,
            reader: None,
        }
    }

    /// Where the connection stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes bytes that came.
    pub fn feed(&mut self, now: Instant, bytes: &[u8]) {
        if self.stage == Stage::Head && self.held.is_empty() && !self.first {
            self.since = now;
        }
        if self.stage == Stage::Answer && self.held.len() >= HEAD_MOST {
            self.flooded = true;
            return;
        }
        if matches!(self.stage, Stage::Body(_) | Stage::Last) {
            self.body = (self.body.0 + bytes.len() as u64, now);
        }
        self.held.extend_from_slice(bytes);
        self.advance(bytes.contains(&b'\n'));
    }

    /// Takes what may be handed on, at most this much.
    pub fn hand_on(&mut self, most: usize) -> BytesMut {
        let n = self.passing.min(most);
        self.passing -= n;
        self.held.split_to(n)
    }

    /// The answer is on its way. True: the request had come whole, and the next may follow.
    pub fn answered(&mut self, now: Instant) -> bool {
        let whole = self.stage == Stage::Answer && !self.flooded;
        self.passing_on = false;
        // What was dropped may have been half a request: this answer is the last.
        self.closing |= self.flooded;
        if self.flooded {
            self.held.truncate(self.passing);
            self.stage = Stage::Head;
        }
        if whole {
            (self.stage, self.since, self.first, self.body) = (Stage::Head, now, false, (0, now));
            self.advance(true);
        }
        whole
    }

    /// Whether a request is open here, in part or whole.
    fn idle(&self) -> bool {
        self.stage == Stage::Head && self.held.is_empty()
    }

    /// When the patience with this stage is over. A body that goes on coming has as long as it takes at half the pace
    /// that clients may go at: what comes a byte at a time holds a place, and no more.
    fn due(&self) -> Instant {
        match self.stage {
            Stage::Head if self.held.is_empty() => self.since + IDLE,
            Stage::Body(_) | Stage::Last => {
                let at_pace =
                    self.since + WHOLE + Duration::from_micros(self.body.0 * 1_000_000 / PACE);
                at_pace.min((self.body.1 + REST).max(self.since + WHOLE))
            }
            _ => self.since + WHOLE,
        }
    }

    fn advance(&mut self, line: bool) {
        if self.stage == Stage::Head && line {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
            let mut head = httparse::Request::new(&mut fields);
            match head.parse(&self.held) {
                Ok(httparse::Status::Partial) => {}
                Ok(httparse::Status::Complete(length)) => {
                    self.stage = match framed(head.headers) {
                        Framed::Length(0) => Stage::Answer,
                        Framed::Length(body) => Stage::Body(body),
                        Framed::Chunked => Stage::Last,
                        Framed::Doubtful => {
                            self.doubtful = true;
                            Stage::Last
                        }
                    };
                    self.passing = length;
                }
                // The library says what is wrong with it, and that ends the connection.
                Err(_) => self.stage = Stage::Last,
            }
        }
        let rest = self.held.len() - self.passing;
        match &mut self.stage {
            Stage::Head if rest >= HEAD_MOST => {
                (self.stage, self.passing) = (Stage::Last, self.held.len())
            }
            Stage::Body(left) => {
                let more = usize::try_from(*left).unwrap_or(usize::MAX).min(rest);
                self.passing += more;
                *left -= more as u64;
                if *left == 0 {
                    self.stage = Stage::Answer;
                }
            }
            Stage::Last => self.passing = self.held.len(),
            _ => {}
        }
    }
}

/// How the head frames its body, where nothing speaks against it.
fn framed(fields: &[httparse::Header]) -> Framed {
    let all = |name: &str| -> Vec<&[u8]> {
        fields
            .iter()
            .filter(|f| f.name.eq_ignore_ascii_case(name))
            .map(|f| f.value.trim_ascii())
            .collect()
    };
    match (
        all("content-length").as_slice(),
        all("transfer-encoding").as_slice(),
    ) {
        ([], []) => Framed::Length(0),
        ([length], []) => {
            let plain = std::str::from_utf8(length)
                .ok()
                .filter(|l| l.bytes().all(|b| b.is_ascii_digit()));
            plain
                .and_then(|l| l.parse().ok())
                .map_or(Framed::Doubtful, Framed::Length)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Framed::Chunked,
        _ => Framed::Doubtful,
    }
}

/// One client's connection, as those see it who do not own its socket.
#[derive(Clone, Debug)]
pub struct Visit {
    framing: Arc<Mutex<Framing>>,
    stream: Weak<TcpStream>,
}

impl Visit {
    fn framing(&self) -> MutexGuard<'_, Framing> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the client has closed, by a look at the socket itself: what the system knows by now, though the connection's own
    /// task has not had its turn. A client that closed its side has gone.
    pub fn gone(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Whether the lengths of the request in hand contradict each other.
    pub fn doubtful(&self) -> bool {
        self.framing().doubtful
    }

    /// When the request in hand must have come whole.
    pub fn due(&self) -> Instant {
        self.framing().due()
    }

    /// An answer begins to pass on; true: the request in hand has come whole.
    pub fn passes_on(&self) -> bool {
        let mut framing = self.framing();
        framing.passing_on = true;
        framing.stage == Stage::Answer && !framing.flooded
    }

    /// The answer is on its way; false: the connection cannot serve another request.
    pub fn answered(&self) -> bool {
        let mut f = self.framing();
        // The library does not look for the next request by itself: it waits for a wake-up from the last look.
        if let Some(reader) = f.reader.take() {
            reader.wake();
        }
        f.answered(Instant::now())
    }

    /// Since when the connection has no whole head in hand, if so; true: and nothing of one.
    pub fn waiting(&self) -> Option<(bool, Instant)> {
        let f = self.framing();
        (f.stage == Stage::Head && !f.closing).then(|| (f.idle(), f.since))
    }

    /// Closes the connection unless a whole request comes first.
    pub fn close(&self) {
        let mut f = self.framing();
        f.closing = true;
        if let Some(reader) = f.reader.take() {
            reader.wake();
        }
    }
}

/// The connection's socket, as the library sees it.
pub struct Gate {
    stream: Arc<TcpStream>,
    visit: Visit,
    phase: watch::Receiver<Phase>,
    patience: Pin<Box<Sleep>>,
    /// Nothing more comes from the client, or nothing more is wanted.
    ended: bool,
    /// Our side is closed.
    finished: bool,
    heard_out: usize,
    /// Since when the client takes nothing.
    stuck: Option<Instant>,
}

impl Gate {
    /// A gate on a connection that came up now.
    pub fn new(stream: TcpStream, phase: watch::Receiver<Phase>) -> (Gate, Visit) {
        let framing = Framing::new(Instant::now());
        let patience = Box::pin(sleep_until(framing.due()));
        let stream = Arc::new(stream);
        let visit = Visit {
            framing: Arc::new(Mutex::new(framing)),
            stream: Arc::downgrade(&stream),
        };
        let gate = Gate {
            stream,
            visit: visit.clone(),
            phase,
            patience,
            ended: false,
            finished: false,
            heard_out: 0,
            stuck: None,
        };
        (gate, visit)
    }

    fn patience_over(&mut self, cx: &mut Context<'_>, due: Instant) -> bool {
        if self.patience.deadline() != due {
            self.patience.as_mut().reset(due);
        }
        self.patience.as_mut().poll(cx).is_ready()
    }

    fn poll_piece(&self, cx: &mut Context<'_>, piece: &mut [u8]) -> Poll<Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(piece) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = &mut *self;
        let visit = this.visit.clone();
        for _ in 0..PIECES {
            let mut framing = visit.framing();
            if framing.passing > 0 {
                out.put_slice(&framing.hand_on(out.remaining()));
                return Poll::Ready(Ok(()));
            }
            framing.reader = Some(cx.waker().clone());
            let mut piece = [0; PIECE];
            match this.poll_piece(cx, &mut piece) {
                // What was sent ahead waits for its turn; the library looks again after its answer.
                Poll::Ready(Ok(n)) if n > 0 => {
                    framing.feed(Instant::now(), &piece[..n]);
                    continue;
                }
                // A client may close its side once it has asked. The library would take that for one that has gone and cut off
                // what is on its way; one that has gone shows when it is written to.
                Poll::Ready(Ok(_)) if framing.passing_on => {
                    this.ended = true;
                    return Poll::Pending;
                }
                Poll::Ready(end) => {
                    this.ended = true;
                    return Poll::Ready(end.map(|_| ()));
                }
                Poll::Pending => {}
            }
            let (due, closing) = (framing.due(), framing.closing);
            // While the front is ending, a client cannot come back on another connection.
            let kept = framing.idle() && *this.phase.borrow() == Phase::NotReady;
            // The last of an answer may still wait for its client: to the library, an end now would be a client that has gone,
            // and it would cut the answer off.
            let over = this.stuck.is_none() && (closing || (!kept && this.patience_over(cx, due)));
            if framing.stage == Stage::Head && over {
                // To the library this is a client that closed between two requests. Nothing is owed to it; but what one sends that
                // sent too much must be heard out, or its answer is reset away.
                this.ended = !framing.flooded;
                return Poll::Ready(Ok(()));
            }
            return Poll::Pending;
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(e)) => break Poll::Ready(Err(e)),
                Poll::Pending => break Poll::Pending,
            }
            match self.stream.try_write(bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => break Poll::Ready(written),
            }
        };
        if let done @ Poll::Ready(_) = written {
            // A connection is idle from the last byte of its answer on.
            let mut framing = self.visit.framing();
            if framing.idle() {
                framing.since = Instant::now();
            }
            drop(framing);
            self.stuck = None;
            return done;
        }
        // A client that takes nothing of its answer must not hold its place for good.
        let due = *self.stuck.get_or_insert_with(Instant::now) + LEAVE;
        if self.patience_over(cx, due) {
            return Poll::Ready(Err(Error::new(
                ErrorKind::TimedOut,
                "the client takes no answer",
            )));
        }
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = &mut *self;
        if !this.finished {
            socket2::SockRef::from(&*this.stream).shutdown(std::net::Shutdown::Write)?;
            this.finished = true;
            this.patience.as_mut().reset(Instant::now() + LINGER);
        }
        let idle = {
            let framing = this.visit.framing();
            framing.idle() && !framing.flooded
        };
        if this.ended || idle {
            return Poll::Ready(Ok(()));
        }
        for _ in 0..PIECES {
            match this.poll_piece(cx, &mut [0; PIECE]) {
                Poll::Ready(Ok(n)) if n > 0 => this.heard_out += n,
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending if this.patience.as_mut().poll(cx).is_ready() => {
                    return Poll::Ready(Ok(()))
                }
                Poll::Pending => return Poll::Pending,
            }
            if this.heard_out > LINGER_MOST {
                return Poll::Ready(Ok(()));
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
