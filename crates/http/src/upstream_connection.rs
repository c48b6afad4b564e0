//! Connections to storage nodes, and the pool of idle ones.
//!
//! Hyper's pooled client reuses a connection as soon as a response is complete. Bytes that a node sends after that response
//! (a second copy, garbage) would become the response to the next request: against a faulty node that does so, the wrong
//! body is served at once, as the integration tests with such nodes show. So this module drives hyper's connections one by
//! one, and checks an idle connection for unexpected bytes before it is used again.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use lupinrack_metrics::Metrics;
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

/// The longest head of a response.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most bytes read of a response that is collected, including interim (1xx) responses. This also ends a response
/// that would never end.
const MAX_COLLECTED_BYTES: usize = 128 << 10;
/// How long a response may pause after its first byte before it counts as broken off. Nodes pause for up to 0.24 s.
const COLLECT_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a response that is streamed.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a connection stays idle before it is used again. A faulty node sends a second response right after the first
/// or some milliseconds later. Nothing in it shows which request it belongs to: if it arrived after this delay, it would be
/// taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(50);
/// Idle connections kept for each node. The policy never allows more concurrent requests to a node than this.
const MAX_IDLE_PER_NODE: usize = 24;
/// How often connections that exceeded their idle timeout are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why no connection is available.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// All file descriptors for connections to nodes are in use.
    #[error("no file descriptor is free for a connection")]
    NoDescriptor,
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connect timeout passed.
    #[error("connecting timed out")]
    TimedOut,
    /// Hyper rejected the connection.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// What was written and read in the current exchange.
#[derive(Debug)]
struct Progress {
    written: usize,
    /// Whether the whole request was handed to the operating system.
    flushed: bool,
    /// Counts the request once it is flushed.
    dispatch_counter: Option<Metrics>,
    read: usize,
    /// The most bytes that may be read. A streamed response is limited by its reader instead.
    max_read: usize,
    /// Whether nothing was read yet or the bytes read end with a complete head: then only interim (1xx) responses have
    /// arrived.
    at_head_boundary: bool,
    last_four_bytes: [u8; 4],
    last_read_at: Instant,
}

impl Progress {
    fn new() -> Self {
        Progress {
            written: 0,
            flushed: false,
            dispatch_counter: None,
            read: 0,
            max_read: MAX_COLLECTED_BYTES,
            at_head_boundary: true,
            last_four_bytes: [0; 4],
            last_read_at: Instant::now(),
        }
    }

    fn record_read(&mut self, bytes: &[u8]) {
        self.read += bytes.len();
        self.last_read_at = Instant::now();
        for b in &bytes[bytes.len().saturating_sub(4)..] {
            self.last_four_bytes.rotate_left(1);
            self.last_four_bytes[3] = *b;
        }
        self.at_head_boundary = self.last_four_bytes == *b"\r\n\r\n";
    }
}

/// A socket that hyper reads and writes while its owner observes the progress.
#[derive(Debug)]
struct MonitoredStream {
    stream: TcpStream,
    progress: Mutex<Progress>,
}

impl MonitoredStream {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the connection is open and the node has sent no unexpected bytes.
    fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes as soon as the socket is writable, and counts the bytes written.
    fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.progress().written += written.as_ref().copied().unwrap_or(0);
                    return Poll::Ready(written);
                }
            }
        }
    }

    /// Completes once the response has started and nothing was read for `stall_timeout`. `head_received` says that the
    /// head was already parsed.
    async fn stalled(&self, head_received: bool, stall_timeout: Duration) {
        loop {
            let (last_read_at, started) = {
                let progress = self.progress();
                (
                    progress.last_read_at,
                    head_received || !progress.at_head_boundary,
                )
            };
            let now = Instant::now();
            if started && now >= last_read_at + stall_timeout {
                return;
            }
            sleep_until(if started {
                last_read_at + stall_timeout
            } else {
                now + stall_timeout
            })
            .await;
        }
    }
}

/// The side of a [`MonitoredStream`] that hyper owns.
struct StreamIo(Arc<MonitoredStream>);

impl AsyncRead for StreamIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let mut progress = self.0.progress();
            if progress.read > progress.max_read {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the response is longer than allowed",
                )));
            }
            match self.0.stream.try_read(out.initialize_unfilled()) {
                Ok(n) => {
                    progress.record_read(&out.initialize_unfilled()[..n]);
                    out.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for StreamIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, |stream| stream.try_write(bytes))
    }

    /// Writes a large body from its own buffer, without a copy into hyper's.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0
            .poll_write(cx, |stream| stream.try_write_vectored(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Marks the request as sent: hyper flushes when it has nothing left to write.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut progress = self.0.progress();
        progress.flushed = progress.written > 0;
        if progress.flushed {
            if let Some(metrics) = progress.dispatch_counter.take() {
                metrics.record_dispatch();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// A request to send on a connection.
pub enum OutgoingRequest {
    /// An attempt of a client's request, which the policy permitted. The metrics count it.
    Attempt {
        /// The request.
        request: http::Request<Full<Bytes>>,
        /// Permits this one send and is used up by it.
        permit: SendPermit,
        /// Counts the request once it is handed to the operating system.
        metrics: Metrics,
    },
    /// A health probe. It needs no permit, since it may be repeated.
    Probe(http::Request<Full<Bytes>>),
}

/// A connection to a storage node. Dropping it closes it at once.
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    connection: http1::Connection<TokioIo<StreamIo>, Full<Bytes>>,
    /// Whether hyper's connection future has completed.
    closed: bool,
    stream: Arc<MonitoredStream>,
    idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection broke, or the node sent no valid HTTP response.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response started but did not continue in time.
    #[error("the response stalled")]
    Stalled,
    /// The response is longer than allowed.
    #[error("the response is longer than allowed")]
    TooLong,
    /// The head has both a content length and a transfer encoding.
    #[error("the response has both content-length and transfer-encoding")]
    ContradictoryLengths,
}

impl UpstreamConnection {
    /// Whether the whole current request was handed to the operating system. If not, the node never ran it.
    pub fn request_sent(&self) -> bool {
        self.stream.progress().flushed
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        outgoing: OutgoingRequest,
    ) -> Result<http::Response<Incoming>, ExchangeError> {
        let (request, dispatch_counter) = match outgoing {
            OutgoingRequest::Attempt {
                request,
                permit: SendPermit { .. },
                metrics,
            } => (request, Some(metrics)),
            OutgoingRequest::Probe(request) => (request, None),
        };
        *self.stream.progress() = Progress {
            dispatch_counter,
            ..Progress::new()
        };
        let response = self.sender.send_request(request);
        Ok(self.drive(false, COLLECT_STALL_TIMEOUT, response).await??)
    }

    /// Reads the next chunk of a response that is collected, or `None` at its end.
    pub async fn next_chunk(
        &mut self,
        body: &mut Incoming,
    ) -> Result<Option<Bytes>, ExchangeError> {
        self.read_chunk(body, COLLECT_STALL_TIMEOUT).await
    }

    /// Reads the next chunk of a response that is streamed, or `None` at its end. The stall timeout starts with each call,
    /// so the time for which the client reads slowly does not count. The timeout is longer than for a collected response,
    /// since a streamed one is never retried and waiting loses nothing.
    pub async fn next_streamed_chunk(
        &mut self,
        body: &mut Incoming,
    ) -> Result<Option<Bytes>, ExchangeError> {
        {
            let mut progress = self.stream.progress();
            (progress.max_read, progress.last_read_at) = (usize::MAX, Instant::now());
        }
        self.read_chunk(body, STREAM_STALL_TIMEOUT).await
    }

    async fn read_chunk(
        &mut self,
        body: &mut Incoming,
        stall_timeout: Duration,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.drive(true, stall_timeout, body.frame()).await? {
                None => return Ok(None),
                Some(frame) => match frame?.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Trailers are not passed on.
                    Err(_) => {}
                },
            }
        }
    }

    /// Drives the connection until `awaited` completes, or fails once the response stalls.
    async fn drive<T>(
        &mut self,
        head_received: bool,
        stall_timeout: Duration,
        awaited: impl Future<Output = T>,
    ) -> Result<T, ExchangeError> {
        let (connection, closed) = (&mut self.connection, &mut self.closed);
        tokio::pin!(awaited);
        let driven = std::future::poll_fn(|cx| {
            *closed = *closed || Pin::new(&mut *connection).poll(cx).is_ready();
            awaited.as_mut().poll(cx)
        });
        tokio::select! {
            biased;
            output = driven => Ok(output),
            () = self.stream.stalled(head_received, stall_timeout) => Err(ExchangeError::Stalled),
        }
    }
}

/// The pool of idle connections. It also limits the number of all open connections.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

struct IdleConnections {
    by_node: HashMap<SocketAddr, Vec<UpstreamConnection>>,
    swept_at: Instant,
}

impl ConnectionPool {
    /// Creates a pool for at most `max_connections` open connections.
    pub fn new(max_connections: usize, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let idle = IdleConnections {
            by_node: HashMap::new(),
            swept_at: Instant::now(),
        };
        let permits = Arc::new(Semaphore::new(max_connections.max(1)));
        ConnectionPool {
            idle: Arc::new(Mutex::new(idle)),
            permits,
            connect_timeout,
            idle_timeout,
        }
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to the node at `address`, or opens a new one.
    pub async fn connection(
        &self,
        address: SocketAddr,
    ) -> Result<UpstreamConnection, ConnectError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let _permit = self.acquire_permit()?;
        let stream = timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        stream.set_nodelay(true)?;
        let stream = Arc::new(MonitoredStream {
            stream,
            progress: Mutex::new(Progress::new()),
        });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(StreamIo(stream.clone())))
            .await?;
        Ok(UpstreamConnection {
            address,
            sender,
            connection,
            closed: false,
            stream,
            idle_since: Instant::now(),
            _permit,
        })
    }

    /// Takes the most recently used connection that has been idle for at least [`REUSE_DELAY`] and is still usable.
    fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let (now, mut idle) = (Instant::now(), self.idle());
        let connections = idle.by_node.get_mut(&address)?;
        while let Some(index) = connections
            .iter()
            .rposition(|c| now >= c.idle_since + REUSE_DELAY)
        {
            let connection = connections.remove(index);
            if now < connection.idle_since + self.idle_timeout && connection.stream.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Acquires a permit for one more connection. If none is free, the connection that has been idle longest is closed.
    fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if self.permits.available_permits() == 0 {
            let mut idle = self.idle();
            let oldest_of = |connections: &Vec<UpstreamConnection>| {
                connections.iter().map(|c| c.idle_since).min()
            };
            let oldest = idle
                .by_node
                .iter()
                .filter_map(|(address, connections)| Some((oldest_of(connections)?, *address)))
                .min();
            if let Some((idle_since, address)) = oldest {
                idle.by_node
                    .entry(address)
                    .or_default()
                    .retain(|c| c.idle_since != idle_since);
            }
        }
        self.permits
            .clone()
            .try_acquire_owned()
            .map_err(|_| ConnectError::NoDescriptor)
    }

    /// Returns a connection after a complete response. It is closed instead if the node has sent more than that response.
    pub async fn release(&self, mut connection: UpstreamConnection) {
        let closed = std::future::poll_fn(|cx| {
            Poll::Ready(Pin::new(&mut connection.connection).poll(cx).is_ready())
        })
        .await;
        if closed || !connection.sender.is_ready() || !connection.stream.is_quiet() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle();
        idle.sweep(connection.idle_since, self.idle_timeout);
        let connections = idle.by_node.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_NODE {
            connections.push(connection);
        }
    }
}

impl IdleConnections {
    /// Closes the connections that exceeded the idle timeout, including those to nodes that are no longer listed.
    fn sweep(&mut self, now: Instant, idle_timeout: Duration) {
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.by_node
                .values_mut()
                .for_each(|connections| connections.retain(|c| now < c.idle_since + idle_timeout));
            self.by_node
                .retain(|_, connections| !connections.is_empty());
        }
    }
}
