//! One connection: what is to be written to it, and its end.

use super::codec::{self, FrameError};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A buffer that grew beyond this is given back once it is written.
const KEPT_BYTES: usize = 128 * 1024;

/// Why a connection did not take a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushError {
    /// It is closed.
    Closed,
    /// The peer reads too slowly; the connection is closed by this.
    Overflow,
    /// The frame cannot be sent on any connection.
    Frame(FrameError),
}

/// What is to be written, and what became of the socket.
#[derive(Default)]
struct Outgoing {
    buffer: Vec<u8>,
    being_written: usize,
    closed: bool,
    failed: bool,
    last_received: Option<Instant>,
}

/// One connection, as its two tasks and the table of connections share it.
pub(super) struct Connection {
    /// Its number, unique in this process.
    pub(super) number: u64,
    /// Who is at the other end.
    pub(super) peer: PeerAddress,
    incarnation: OnceLock<u64>,
    outgoing: Mutex<Outgoing>,
    filled: Notify,
    closing: Notify,
}

impl Connection {
    /// A new open connection.
    pub(super) fn new(number: u64, peer: PeerAddress) -> Self {
        Connection {
            number,
            peer,
            incarnation: OnceLock::new(),
            outgoing: Mutex::default(),
            filled: Notify::new(),
            closing: Notify::new(),
        }
    }

    /// Queues a frame. With `bytes_most` or more not yet written, it closes the connection instead.
    pub(super) fn push(&self, frame: &Frame, bytes_most: usize) -> Result<(), PushError> {
        let mut outgoing = self.outgoing();
        if outgoing.closed {
            return Err(PushError::Closed);
        }
        if outgoing.buffer.len() + outgoing.being_written >= bytes_most {
            drop(outgoing);
            self.close();
            return Err(PushError::Overflow);
        }
        codec::append(&mut outgoing.buffer, frame).map_err(PushError::Frame)?;
        self.filled.notify_one();
        Ok(())
    }

    /// Queues a frame that is encoded already.
    pub(super) fn push_encoded(&self, bytes: &[u8]) {
        let mut outgoing = self.outgoing();
        if !outgoing.closed {
            outgoing.buffer.extend_from_slice(bytes);
            self.filled.notify_one();
        }
    }

    /// Swaps everything that is queued into `batch`, whose former content has been written; false if there is nothing.
    pub(super) fn take(&self, batch: &mut Vec<u8>) -> bool {
        batch.clear();
        if batch.capacity() > KEPT_BYTES {
            *batch = Vec::new();
        }
        let mut outgoing = self.outgoing();
        std::mem::swap(batch, &mut outgoing.buffer);
        outgoing.being_written = batch.len();
        !batch.is_empty()
    }

    /// Waits until something is queued.
    pub(super) async fn filled(&self) {
        self.filled.notified().await;
    }

    /// Ends the connection without writing what is queued; its tasks see it through [`Connection::closing`].
    pub(super) fn close(&self) {
        let mut outgoing = self.outgoing();
        outgoing.closed = true;
        outgoing.buffer = Vec::new();
        self.closing.notify_waiters();
    }

    /// Takes nothing more to write since the socket failed, and leaves it to be read to its end.
    pub(super) fn refuse_writes(&self) {
        let mut outgoing = self.outgoing();
        outgoing.failed = true;
        outgoing.closed = true;
        outgoing.buffer = Vec::new();
    }

    /// Ends the connection since its socket failed.
    pub(super) fn fail(&self) {
        self.outgoing().failed = true;
        self.close();
    }

    /// Whether its socket failed.
    pub(super) fn has_failed(&self) -> bool {
        self.outgoing().failed
    }

    /// Notes which life of the peer's process is at the other end.
    pub(super) fn set_incarnation(&self, incarnation: u64) {
        // The greeting comes once.
        let _ = self.incarnation.set(incarnation);
    }

    /// Whether another life of the peer's process is known to be at the other end.
    pub(super) fn is_of_other_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation
            .get()
            .is_some_and(|own| *own != incarnation)
    }

    /// Whether it was closed.
    pub(super) fn is_closed(&self) -> bool {
        self.outgoing().closed
    }

    /// Resolves when the connection is closed after this call; look at [`Connection::is_closed`] after it as well.
    pub(super) fn closing(&self) -> Notified<'_> {
        self.closing.notified()
    }

    /// Notes that bytes came in.
    pub(super) fn received(&self, now: Instant) {
        self.outgoing().last_received = Some(now);
    }

    /// When bytes came in last.
    pub(super) fn last_received(&self) -> Option<Instant> {
        self.outgoing().last_received
    }

    fn outgoing(&self) -> MutexGuard<'_, Outgoing> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
