//! What a connection is doing, told by its socket and its service to whoever watches its time.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of a request has come.
    Idle,
    /// A part of a request's head has come.
    Head,
    /// A request is being read or answered.
    Busy,
}

const IDLE: u8 = 0;
const HEAD: u8 = 1;
const BUSY: u8 = 2;

/// What a connection is doing. All its users run in the connection's task.
#[derive(Default)]
pub(super) struct Activity {
    phase: AtomicU8,
    changes: AtomicU64,
    write_blocked: AtomicBool,
    input_ended: AtomicBool,
    input_left: AtomicBool,
}

impl Activity {
    /// The current phase.
    pub(super) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            IDLE => Phase::Idle,
            HEAD => Phase::Head,
            _ => Phase::Busy,
        }
    }

    /// Rises with each change of the phase.
    pub(super) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Whether no request is being read or answered, and all answers have gone out.
    pub(super) fn is_idle(&self) -> bool {
        self.phase() == Phase::Idle && !self.write_blocked.load(Ordering::Relaxed)
    }

    /// A request's head has come whole.
    pub(super) fn request_began(&self) {
        self.set(BUSY);
    }

    /// The answer to a request is there.
    pub(super) fn request_ended(&self) {
        self.set(IDLE);
    }

    /// A request was answered before it was read whole.
    pub(super) fn leave_input(&self) {
        self.input_left.store(true, Ordering::Relaxed);
    }

    /// Whether a request was answered before it was read whole.
    pub(super) fn has_input_left(&self) -> bool {
        self.input_left.load(Ordering::Relaxed)
    }

    /// Whether the client has sent all that it will.
    pub(super) fn has_input_ended(&self) -> bool {
        self.input_ended.load(Ordering::Relaxed)
    }

    fn received(&self, bytes: usize) {
        if bytes == 0 {
            self.input_ended.store(true, Ordering::Relaxed);
        } else if self.phase() == Phase::Idle {
            self.set(HEAD);
        }
    }

    fn set(&self, phase: u8) {
        self.phase.store(phase, Ordering::Relaxed);
        self.changes.fetch_add(1, Ordering::Relaxed);
    }
}

/// A socket that tells what comes and goes.
pub(super) struct ObservedStream {
    /// The socket.
    pub(super) stream: TcpStream,
    activity: Arc<Activity>,
}

impl ObservedStream {
    /// Observes this socket.
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        ObservedStream { stream, activity }
    }

    fn wrote(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity
            .write_blocked
            .store(result.is_pending(), Ordering::Relaxed);
        result
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = result {
            self.activity.received(buffer.filled().len() - before);
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.wrote(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.wrote(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
