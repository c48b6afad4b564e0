//! A client's connection, between the socket and hyper.
//!
//! [`ClientStream`] hands one request at a time to hyper: a head only once it is complete, no more body than the head
//! declares, and the next head only after the response. So a connection is always in one known [`Stage`], its timeouts run
//! from bytes that were received, and a connection without a request can be closed to make room for another client.
//!
//! It also detects what hyper accepts silently: hyper drops a `Content-Length` beside a `Transfer-Encoding`, and accepts
//! two equal lengths.

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

/// The longest head of a request.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most header fields; hyper has the same limit.
const MAX_HEADER_FIELDS: usize = 100;
/// How long a connection may stay open without a request. Clients that keep their connection after one request, or connect
/// and send nothing, must not hold the slots of clients that have a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a request may take to arrive, from its first byte; the first request of a connection, from the connect.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_800);
/// The average rate at which a body must arrive once [`REQUEST_TIMEOUT`] is over: half of the lowest rate that clients may
/// send at.
const MIN_BODY_BYTES_PER_S: u64 = 32_000;
/// How long a body may pause.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a client may take no bytes of its response.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long, and for how many bytes, input is still read after the last response. Closing a socket with unread input resets
/// the connection, and the client would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_BYTES: usize = 64 << 20;
/// The bytes of one read, and the most reads in one poll: a client that sends at full speed must not keep the thread from
/// the other clients.
const READ_BUFFER_BYTES: usize = 16 << 10;
const MAX_READS_PER_POLL: usize = 16;

/// What a connection receives next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A head: the connection is idle, or part of a head has arrived.
    Head,
    /// A body, of which this many bytes are missing.
    Body(u64),
    /// Nothing: the request is complete, and its response is not sent yet.
    AwaitingResponse,
    /// The rest of the connection's last request. Only hyper can find its end, or nobody can.
    Unframed,
}

/// How a head declares the length of its body.
enum BodyFraming {
    Length(u64),
    Chunked,
    /// The lengths contradict each other, so that the body may hide another request.
    Contradictory,
}

/// Splits the bytes of one connection into requests.
#[derive(Debug)]
pub struct RequestFraming {
    stage: Stage,
    buffer: BytesMut,
    /// How many bytes at the front of the buffer may be handed to hyper.
    ready_bytes: usize,
    contradictory_lengths: bool,
    /// Whether no response was sent on this connection yet.
    is_first_request: bool,
    /// When the connection was accepted, its last response was sent, or the first byte after that was received.
    waiting_since: Instant,
    /// The number of body bytes received, and when the last of them were.
    body_received: (u64, Instant),
    /// Whether a response is being streamed.
    streaming_response: bool,
    /// Whether the connection has to close to make room for another client.
    closing: bool,
    /// Whether more was received ahead of its turn than the buffer may hold. The excess was read, so that the end of the
    /// client's input is noticed, and dropped. No further request can be recognized after it.
    overflowed: bool,
    read_waker: Option<Waker>,
}

impl RequestFraming {
    /// The framing of a connection accepted at `now`.
    pub fn new(now: Instant) -> Self {
        RequestFraming {
            stage: Stage::Head,
            buffer: BytesMut::new(),
            ready_bytes: 0,
            contradictory_lengths: false,
            is_first_request: true,
            waiting_since: now,
            body_received: (0, now),
            streaming_response: false,
            closing: false,
            overflowed: false,
            read_waker: None,
        }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes bytes that were received.
    pub fn feed(&mut self, now: Instant, bytes: &[u8]) {
        if self.stage == Stage::Head && self.buffer.is_empty() && !self.is_first_request {
            self.waiting_since = now;
        }
        if self.stage == Stage::AwaitingResponse && self.buffer.len() >= MAX_HEAD_BYTES {
            self.overflowed = true;
            return;
        }
        if matches!(self.stage, Stage::Body(_) | Stage::Unframed) {
            self.body_received = (self.body_received.0 + bytes.len() as u64, now);
        }
        self.buffer.extend_from_slice(bytes);
        self.advance(bytes.contains(&b'\n'));
    }

    /// Removes at most `max_bytes` of the bytes that may be handed to hyper.
    pub fn take_ready(&mut self, max_bytes: usize) -> BytesMut {
        let n = self.ready_bytes.min(max_bytes);
        self.ready_bytes -= n;
        self.buffer.split_to(n)
    }

    /// Notes that the response was handed to hyper. Returns whether the request was completely received, so that another
    /// one may follow.
    pub fn finish_request(&mut self, now: Instant) -> bool {
        let complete = self.stage == Stage::AwaitingResponse && !self.overflowed;
        self.streaming_response = false;
        // The bytes that were dropped may have been part of a request: this response is the last.
        self.closing |= self.overflowed;
        if self.overflowed {
            self.buffer.truncate(self.ready_bytes);
            self.stage = Stage::Head;
        }
        if complete {
            (
                self.stage,
                self.waiting_since,
                self.is_first_request,
                self.body_received,
            ) = (Stage::Head, now, false, (0, now));
            self.advance(true);
        }
        complete
    }

    /// Whether no part of a request is here.
    fn is_idle(&self) -> bool {
        self.stage == Stage::Head && self.buffer.is_empty()
    }

    /// When the current stage times out. A body that keeps arriving gets the time that it needs at
    /// [`MIN_BODY_BYTES_PER_S`]. A client that sends one byte at a time can hold its slot no longer than that.
    fn deadline(&self) -> Instant {
        match self.stage {
            Stage::Head if self.buffer.is_empty() => self.waiting_since + IDLE_TIMEOUT,
            Stage::Body(_) | Stage::Unframed => {
                let at_min_rate = self.waiting_since
                    + REQUEST_TIMEOUT
                    + Duration::from_micros(
                        self.body_received.0 * 1_000_000 / MIN_BODY_BYTES_PER_S,
                    );
                at_min_rate.min(
                    (self.body_received.1 + BODY_STALL_TIMEOUT)
                        .max(self.waiting_since + REQUEST_TIMEOUT),
                )
            }
            _ => self.waiting_since + REQUEST_TIMEOUT,
        }
    }

    /// Moves on to the next stage as far as the buffered bytes allow. `has_line_end` says that a line end was among the
    /// last bytes, without which no head can be complete.
    fn advance(&mut self, has_line_end: bool) {
        if self.stage == Stage::Head && has_line_end {
            let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
            let mut head = httparse::Request::new(&mut fields);
            match head.parse(&self.buffer) {
                Ok(httparse::Status::Partial) => {}
                Ok(httparse::Status::Complete(head_bytes)) => {
                    self.stage = match body_framing(head.headers) {
                        BodyFraming::Length(0) => Stage::AwaitingResponse,
                        BodyFraming::Length(body_bytes) => Stage::Body(body_bytes),
                        BodyFraming::Chunked => Stage::Unframed,
                        BodyFraming::Contradictory => {
                            self.contradictory_lengths = true;
                            Stage::Unframed
                        }
                    };
                    self.ready_bytes = head_bytes;
                }
                // Hyper reports what is wrong with the head and closes the connection.
                Err(_) => self.stage = Stage::Unframed,
            }
        }
        let unassigned_bytes = self.buffer.len() - self.ready_bytes;
        match &mut self.stage {
            Stage::Head if unassigned_bytes >= MAX_HEAD_BYTES => {
                (self.stage, self.ready_bytes) = (Stage::Unframed, self.buffer.len())
            }
            Stage::Body(missing_bytes) => {
                let more = usize::try_from(*missing_bytes)
                    .unwrap_or(usize::MAX)
                    .min(unassigned_bytes);
                self.ready_bytes += more;
                *missing_bytes -= more as u64;
                if *missing_bytes == 0 {
                    self.stage = Stage::AwaitingResponse;
                }
            }
            Stage::Unframed => self.ready_bytes = self.buffer.len(),
            _ => {}
        }
    }
}

/// How the head declares the length of its body. Everything but one plain length, one `chunked` or neither counts as
/// contradictory.
fn body_framing(fields: &[httparse::Header]) -> BodyFraming {
    let values_of = |name: &str| -> Vec<&[u8]> {
        fields
            .iter()
            .filter(|f| f.name.eq_ignore_ascii_case(name))
            .map(|f| f.value.trim_ascii())
            .collect()
    };
    match (
        values_of("content-length").as_slice(),
        values_of("transfer-encoding").as_slice(),
    ) {
        ([], []) => BodyFraming::Length(0),
        ([length], []) => {
            let digits = std::str::from_utf8(length)
                .ok()
                .filter(|l| l.bytes().all(|b| b.is_ascii_digit()));
            digits
                .and_then(|l| l.parse().ok())
                .map_or(BodyFraming::Contradictory, BodyFraming::Length)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => BodyFraming::Chunked,
        _ => BodyFraming::Contradictory,
    }
}

/// A handle to a client's connection for code that does not own its socket.
#[derive(Clone, Debug)]
pub struct ClientConnection {
    framing: Arc<Mutex<RequestFraming>>,
    stream: Weak<TcpStream>,
}

impl ClientConnection {
    fn framing(&self) -> MutexGuard<'_, RequestFraming> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the client has closed the connection or its sending side. The socket itself is asked, since the operating
    /// system may know before the connection's task has been polled.
    pub fn client_left(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Whether the lengths of the current request contradict each other.
    pub fn has_contradictory_lengths(&self) -> bool {
        self.framing().contradictory_lengths
    }

    /// When the current request must have been completely received.
    pub fn request_deadline(&self) -> Instant {
        self.framing().deadline()
    }

    /// Notes that a response starts to be streamed. Returns whether the current request was completely received.
    pub fn start_streaming(&self) -> bool {
        let mut framing = self.framing();
        framing.streaming_response = true;
        framing.stage == Stage::AwaitingResponse && !framing.overflowed
    }

    /// Notes that the response was handed to hyper. Returns whether the connection can serve another request.
    pub fn finish_request(&self) -> bool {
        let mut framing = self.framing();
        // Hyper does not poll for the next request by itself: it waits to be woken after its last read.
        if let Some(waker) = framing.read_waker.take() {
            waker.wake();
        }
        framing.finish_request(Instant::now())
    }

    /// If no complete head is here and the connection is not closing: whether no part of one is here either, and since
    /// when the connection has waited for it.
    pub fn waiting_for_head(&self) -> Option<(bool, Instant)> {
        let framing = self.framing();
        (framing.stage == Stage::Head && !framing.closing)
            .then(|| (framing.is_idle(), framing.waiting_since))
    }

    /// Closes the connection unless a complete head arrives first.
    pub fn close(&self) {
        let mut framing = self.framing();
        framing.closing = true;
        if let Some(waker) = framing.read_waker.take() {
            waker.wake();
        }
    }
}

/// The stream that hyper reads and writes in place of the client's socket.
pub struct ClientStream {
    stream: Arc<TcpStream>,
    connection: ClientConnection,
    phase: watch::Receiver<Phase>,
    timer: Pin<Box<Sleep>>,
    /// Whether the client sends no more, or no more is to be read.
    input_ended: bool,
    /// Whether the sending side of the socket is shut down.
    output_closed: bool,
    /// Bytes read while lingering.
    lingered_bytes: usize,
    /// Since when the client has taken no bytes of its response.
    write_blocked_since: Option<Instant>,
}

impl ClientStream {
    /// Wraps the socket of a connection accepted now.
    pub fn new(
        stream: TcpStream,
        phase: watch::Receiver<Phase>,
    ) -> (ClientStream, ClientConnection) {
        let framing = RequestFraming::new(Instant::now());
        let timer = Box::pin(sleep_until(framing.deadline()));
        let stream = Arc::new(stream);
        let connection = ClientConnection {
            framing: Arc::new(Mutex::new(framing)),
            stream: Arc::downgrade(&stream),
        };
        let client_stream = ClientStream {
            stream,
            connection: connection.clone(),
            phase,
            timer,
            input_ended: false,
            output_closed: false,
            lingered_bytes: 0,
            write_blocked_since: None,
        };
        (client_stream, connection)
    }

    /// Sets the timer to `deadline` and polls it; true if the deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>, deadline: Instant) -> bool {
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(cx).is_ready()
    }

    fn poll_socket_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = &mut *self;
        let connection = this.connection.clone();
        for _ in 0..MAX_READS_PER_POLL {
            let mut framing = connection.framing();
            if framing.ready_bytes > 0 {
                out.put_slice(&framing.take_ready(out.remaining()));
                return Poll::Ready(Ok(()));
            }
            framing.read_waker = Some(cx.waker().clone());
            let mut buffer = [0; READ_BUFFER_BYTES];
            match this.poll_socket_read(cx, &mut buffer) {
                // Bytes that were sent ahead stay in the buffer; hyper polls again after the response.
                Poll::Ready(Ok(n)) if n > 0 => {
                    framing.feed(Instant::now(), &buffer[..n]);
                    continue;
                }
                // A client may close its sending side after its request. Hyper would take that for a client that left, and
                // abort the streamed response. A client that really left is noticed by the next write.
                Poll::Ready(Ok(_)) if framing.streaming_response => {
                    this.input_ended = true;
                    return Poll::Pending;
                }
                Poll::Ready(end) => {
                    this.input_ended = true;
                    return Poll::Ready(end.map(|_| ()));
                }
                Poll::Pending => {}
            }
            let (deadline, closing) = (framing.deadline(), framing.closing);
            // While the front is ending, a client whose idle connection closes cannot connect again.
            let kept = framing.is_idle() && *this.phase.borrow() == Phase::NotReady;
            // While response bytes are still to be written, hyper must not see an end of the input: it would take that for
            // a client that left, and abort the response.
            let expired = this.write_blocked_since.is_none()
                && (closing || (!kept && this.poll_deadline(cx, deadline)));
            if framing.stage == Stage::Head && expired {
                // To hyper, the client closed its connection between two requests, so no response is due. After an
                // overflow the client's remaining input still has to be read, or a reset could destroy its last response.
                this.input_ended = !framing.overflowed;
                return Poll::Ready(Ok(()));
            }
            return Poll::Pending;
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncWrite for ClientStream {
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
            // The idle timeout starts with the last byte of the response.
            let mut framing = self.connection.framing();
            if framing.is_idle() {
                framing.waiting_since = Instant::now();
            }
            drop(framing);
            self.write_blocked_since = None;
            return done;
        }
        // A client that takes no bytes of its response must not keep its slot.
        let deadline =
            *self.write_blocked_since.get_or_insert_with(Instant::now) + RESPONSE_STALL_TIMEOUT;
        if self.poll_deadline(cx, deadline) {
            return Poll::Ready(Err(Error::new(
                ErrorKind::TimedOut,
                "the client stopped reading its response",
            )));
        }
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = &mut *self;
        if !this.output_closed {
            socket2::SockRef::from(&*this.stream).shutdown(std::net::Shutdown::Write)?;
            this.output_closed = true;
            this.timer.as_mut().reset(Instant::now() + LINGER_TIMEOUT);
        }
        let idle = {
            let framing = this.connection.framing();
            framing.is_idle() && !framing.overflowed
        };
        if this.input_ended || idle {
            return Poll::Ready(Ok(()));
        }
        for _ in 0..MAX_READS_PER_POLL {
            match this.poll_socket_read(cx, &mut [0; READ_BUFFER_BYTES]) {
                Poll::Ready(Ok(n)) if n > 0 => this.lingered_bytes += n,
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending if this.timer.as_mut().poll(cx).is_ready() => {
                    return Poll::Ready(Ok(()))
                }
                Poll::Pending => return Poll::Pending,
            }
            if this.lingered_bytes > MAX_LINGER_BYTES {
                return Poll::Ready(Ok(()));
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
