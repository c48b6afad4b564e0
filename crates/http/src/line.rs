//! Connections to nodes, and those kept for the next attempt.
//!
//! The library's pooled client hands a connection on as soon as an answer is whole. What a node then sends behind it
//! (a second copy, noise) becomes the answer to the next request: a stand-in that does so has the wrong body served at
//! once (`tests/spoilt.rs`). So connections are the library's own, one by one, and a kept one is looked at before it
//! is used again.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use lupinrack_metrics::Figures;
use lupinrack_request_engine::SendPermit;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

/// The longest head of an answer.
const HEAD_MOST: usize = 16 << 10;
/// The most bytes of one answer, with all that is said ahead of it: what never ends must end here.
const ANSWER_MOST: usize = 128 << 10;
/// How long an answer that has begun may rest before it counts as broken off. Nodes stand still for up to 0.24 s.
const STALL: Duration = Duration::from_millis(300);
/// The same for one that is passed on as it comes.
const PASSING_STALL: Duration = Duration::from_secs(6);
/// How long a connection rests before it is used again. A second answer comes right behind the first, or some milliseconds later;
/// nothing in it tells whose it is, so that one which comes later still would be the next request's.
const REST: Duration = Duration::from_millis(50);
/// Idle connections kept for each node; the module's own bound on requests out there is not above this.
const IDLE_MOST: usize = 24;
/// How often those that idled for too long are looked for.
const SWEEP: Duration = Duration::from_secs(1);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// All descriptors for connections to nodes are in use.
    #[error("no descriptor is free for a connection")]
    NoRoom,
    /// It did not come up.
    #[error("the connection did not come up: {0}")]
    Connect(#[from] io::Error),
    /// It did not come up in time.
    #[error("the connection did not come up in time")]
    Late,
    /// The library refused it.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// What has passed on a connection in the exchange that is under way.
#[derive(Debug)]
struct Passed {
    written: usize,
    /// The request was handed to the system whole.
    flushed: bool,
    /// To be counted once that is so.
    count: Option<Figures>,
    read: usize,
    /// The most that may be read; an answer that is passed on as it comes has its own bound.
    most: usize,
    /// The bytes read end where a head ends, so that nothing has begun or only what is said ahead of an answer.
    between: bool,
    tail: [u8; 4],
    last: Instant,
}

impl Passed {
    fn nothing() -> Self {
        Passed {
            written: 0,
            flushed: false,
            count: None,
            read: 0,
            most: ANSWER_MOST,
            between: true,
            tail: [0; 4],
            last: Instant::now(),
        }
    }

    fn read(&mut self, bytes: &[u8]) {
        self.read += bytes.len();
        self.last = Instant::now();
        for b in &bytes[bytes.len().saturating_sub(4)..] {
            self.tail.rotate_left(1);
            self.tail[3] = *b;
        }
        self.between = self.tail == *b"\r\n\r\n";
    }
}

/// A socket that the library reads and writes while its owner looks on.
#[derive(Debug)]
struct Wire {
    stream: TcpStream,
    passed: Mutex<Passed>,
}

impl Wire {
    fn passed(&self) -> MutexGuard<'_, Passed> {
        self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing has come that nobody asked for, and the node has not closed.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let seen = socket2::SockRef::from(&self.stream).peek(&mut byte);
        seen.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes once the socket takes something, and counts it.
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.passed().written += written.as_ref().copied().unwrap_or(0);
                    return Poll::Ready(written);
                }
            }
        }
    }

    /// Ends once an answer has begun and rests for so long; `begun`: its head is there.
    async fn stalled(&self, begun: bool, rest: Duration) {
        loop {
            let (last, under_way) = {
                let passed = self.passed();
                (passed.last, begun || !passed.between)
            };
            let now = Instant::now();
            if under_way && now >= last + rest {
                return;
            }
            sleep_until(if under_way { last + rest } else { now + rest }).await;
        }
    }
}

struct Io(Arc<Wire>);

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let mut passed = self.0.passed();
            if passed.read > passed.most {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "an answer without an end",
                )));
            }
            match self.0.stream.try_read(out.initialize_unfilled()) {
                Ok(n) => {
                    passed.read(&out.initialize_unfilled()[..n]);
                    out.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.write(cx, |stream| stream.try_write(bytes))
    }

    /// A large body goes as it lies, without another copy.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.write(cx, |stream| stream.try_write_vectored(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The library flushes when it has nothing left to write.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut passed = self.0.passed();
        passed.flushed = passed.written > 0;
        if passed.flushed {
            if let Some(figures) = passed.count.take() {
                figures.dispatched();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// What is sent on a connection.
pub enum Sending {
    /// A client's request, for which the module gave a permit; the figures count it.
    Attempt {
        /// The request.
        request: http::Request<Full<Bytes>>,
        /// For this one sending; used up by it.
        permit: SendPermit,
        /// Where it is counted once it was handed to the system whole.
        figures: Figures,
    },
    /// A look at the node, which may be repeated.
    Probe(http::Request<Full<Bytes>>),
}

/// A connection to a node. Dropped, it closes at once.
pub struct Line {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    connection: http1::Connection<TokioIo<Io>, Full<Bytes>>,
    /// The connection has ended by itself.
    over: bool,
    wire: Arc<Wire>,
    /// Since when it rests.
    since: Instant,
    _permit: OwnedSemaphorePermit,
}

/// How an exchange came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Spoilt {
    /// The connection broke, or what came was no answer.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The answer began and went no further.
    #[error("the answer broke off")]
    Stalled,
    /// The answer is longer than any that is taken.
    #[error("the answer has no end")]
    Endless,
    /// The head gives the answer's length in two ways.
    #[error("the answer gives its length in two ways")]
    Lengths,
}

impl Line {
    /// Whether the request in hand was handed to the system whole. If not, it never ran.
    pub fn written(&self) -> bool {
        self.wire.passed().flushed
    }

    /// Sends what is given and waits for the head of its answer.
    pub async fn begin(&mut self, sending: Sending) -> Result<http::Response<Incoming>, Spoilt> {
        let (request, count) = match sending {
            Sending::Attempt {
                request,
                permit: SendPermit { .. },
                figures,
            } => (request, Some(figures)),
            Sending::Probe(request) => (request, None),
        };
        *self.wire.passed() = Passed {
            count,
            ..Passed::nothing()
        };
        let answer = self.sender.send_request(request);
        Ok(self.drive(false, STALL, answer).await??)
    }

    /// The next piece of an answer; none at its end.
    pub async fn piece(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Spoilt> {
        self.next(body, STALL).await
    }

    /// The same for an answer that is passed on as it comes, at its reader's pace: only the time in which it is read
    /// counts, and it is never made again, so that more patience costs nothing.
    pub async fn passing(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Spoilt> {
        {
            let mut passed = self.wire.passed();
            (passed.most, passed.last) = (usize::MAX, Instant::now());
        }
        self.next(body, PASSING_STALL).await
    }

    async fn next(&mut self, body: &mut Incoming, rest: Duration) -> Result<Option<Bytes>, Spoilt> {
        loop {
            match self.drive(true, rest, body.frame()).await? {
                None => return Ok(None),
                // Trailers end the answer and say nothing that passes on.
                Some(frame) => match frame?.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    Err(_) => {}
                },
            }
        }
    }

    /// Drives the connection until something that hangs on it is there, or the answer rests for too long.
    async fn drive<T>(
        &mut self,
        begun: bool,
        rest: Duration,
        waited: impl Future<Output = T>,
    ) -> Result<T, Spoilt> {
        let (connection, over) = (&mut self.connection, &mut self.over);
        tokio::pin!(waited);
        let driven = std::future::poll_fn(|cx| {
            *over = *over || Pin::new(&mut *connection).poll(cx).is_ready();
            waited.as_mut().poll(cx)
        });
        tokio::select! {
            biased;
            ended = driven => Ok(ended),
            () = self.wire.stalled(begun, rest) => Err(Spoilt::Stalled),
        }
    }
}

/// The connections that rest, and the bound on all.
#[derive(Clone)]
pub struct Lines {
    resting: Arc<Mutex<Resting>>,
    room: Arc<Semaphore>,
    connect: Duration,
    idle: Duration,
}

struct Resting {
    lines: HashMap<SocketAddr, Vec<Line>>,
    swept: Instant,
}

impl Lines {
    /// At most this many connections; how long one may take to come up, and how long one is kept.
    pub fn new(most: usize, connect: Duration, idle: Duration) -> Self {
        let resting = Resting {
            lines: HashMap::new(),
            swept: Instant::now(),
        };
        let room = Arc::new(Semaphore::new(most.max(1)));
        Lines {
            resting: Arc::new(Mutex::new(resting)),
            room,
            connect,
            idle,
        }
    }

    fn resting(&self) -> MutexGuard<'_, Resting> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to this address: one that has rested, or a new one.
    pub async fn line(&self, address: SocketAddr) -> Result<Line, LineError> {
        if let Some(line) = self.rested(address) {
            return Ok(line);
        }
        let _permit = self.permit()?;
        let stream = timeout(self.connect, TcpStream::connect(address))
            .await
            .map_err(|_| LineError::Late)??;
        stream.set_nodelay(true)?;
        let wire = Arc::new(Wire {
            stream,
            passed: Mutex::new(Passed::nothing()),
        });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .handshake(TokioIo::new(Io(wire.clone())))
            .await?;
        Ok(Line {
            address,
            sender,
            connection,
            over: false,
            wire,
            since: Instant::now(),
            _permit,
        })
    }

    /// The connection used last of those that have rested for long enough and are still sound.
    fn rested(&self, address: SocketAddr) -> Option<Line> {
        let (now, mut resting) = (Instant::now(), self.resting());
        let lines = resting.lines.get_mut(&address)?;
        while let Some(at) = lines.iter().rposition(|l| now >= l.since + REST) {
            let line = lines.remove(at);
            if now < line.since + self.idle && line.wire.quiet() {
                return Some(line);
            }
        }
        None
    }

    /// Room for one more connection; where there is none, the one that has rested for the longest closes.
    fn permit(&self) -> Result<OwnedSemaphorePermit, LineError> {
        if self.room.available_permits() == 0 {
            let mut resting = self.resting();
            let eldest = |lines: &Vec<Line>| lines.iter().map(|l| l.since).min();
            let oldest = resting
                .lines
                .iter()
                .filter_map(|(a, lines)| Some((eldest(lines)?, *a)))
                .min();
            if let Some((since, address)) = oldest {
                resting
                    .lines
                    .entry(address)
                    .or_default()
                    .retain(|l| l.since != since);
            }
        }
        self.room
            .clone()
            .try_acquire_owned()
            .map_err(|_| LineError::NoRoom)
    }

    /// Keeps a connection whose answer was whole for the next attempt, unless more has come than that answer.
    pub async fn keep(&self, mut line: Line) {
        let done = std::future::poll_fn(|cx| {
            Poll::Ready(Pin::new(&mut line.connection).poll(cx).is_ready())
        })
        .await;
        if done || !line.sender.is_ready() || !line.wire.quiet() {
            return;
        }
        line.since = Instant::now();
        let mut resting = self.resting();
        resting.sweep(line.since, self.idle);
        let lines = resting.lines.entry(line.address).or_default();
        if lines.len() < IDLE_MOST {
            lines.push(line);
        }
    }
}

impl Resting {
    /// Closes what has rested for too long, also at nodes that are gone.
    fn sweep(&mut self, now: Instant, idle: Duration) {
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.lines
                .values_mut()
                .for_each(|lines| lines.retain(|l| now < l.since + idle));
            self.lines.retain(|_, lines| !lines.is_empty());
        }
    }
}
