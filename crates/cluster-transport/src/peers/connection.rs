//! One connection: its queue of bytes to write, and how it ended.

use super::codec::{self, FrameError, MAX_IDLE_BUFFER_BYTES};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why a frame could not be queued on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushError {
    /// It is closed.
    Closed,
    /// The peer reads too slowly; the connection has been closed.
    Overflow,
    /// The frame cannot be sent on any connection.
    Frame(FrameError),
}

/// The bytes to write, and the state of the socket.
#[derive(Default)]
struct ConnectionState {
    /// Encoded frames that are not part of a write yet.
    queued: Vec<u8>,
    /// The number of bytes in the current write.
    bytes_being_written: usize,
    closed: bool,
    failed: bool,
    last_received: Option<Instant>,
}

/// One connection, shared by its two tasks and the table of connections.
pub(super) struct Connection {
    /// Its number, unique in this process.
    pub(super) number: u64,
    /// Where the process at the other end listens.
    pub(super) peer: PeerAddress,
    incarnation: OnceLock<u64>,
    state: Mutex<ConnectionState>,
    queue_filled: Notify,
    closing: Notify,
}

impl Connection {
    /// A new open connection.
    pub(super) fn new(number: u64, peer: PeerAddress) -> Self {
        Connection {
            number,
            peer,
            incarnation: OnceLock::new(),
            state: Mutex::default(),
            queue_filled: Notify::new(),
            closing: Notify::new(),
        }
    }

    /// Queues a frame.
    ///
    /// # Errors
    ///
    /// If the connection is closed or the frame is too large. Also if `max_unwritten_bytes` or more are not written
    /// yet; the connection is then closed.
    pub(super) fn push(&self, frame: &Frame, max_unwritten_bytes: usize) -> Result<(), PushError> {
        let mut state = self.state();
        if state.closed {
            return Err(PushError::Closed);
        }
        if state.queued.len() + state.bytes_being_written >= max_unwritten_bytes {
            drop(state);
            self.close();
            return Err(PushError::Overflow);
        }
        codec::append(&mut state.queued, frame).map_err(PushError::Frame)?;
        self.queue_filled.notify_one();
        Ok(())
    }

    /// Queues an encoded frame.
    pub(super) fn push_encoded(&self, bytes: &[u8]) {
        let mut state = self.state();
        if !state.closed {
            state.queued.extend_from_slice(bytes);
            self.queue_filled.notify_one();
        }
    }

    /// Swaps all queued bytes into `batch`, whose previous content has been written; false if nothing is queued.
    pub(super) fn take_queued(&self, batch: &mut Vec<u8>) -> bool {
        batch.clear();
        if batch.capacity() > MAX_IDLE_BUFFER_BYTES {
            *batch = Vec::new();
        }
        let mut state = self.state();
        std::mem::swap(batch, &mut state.queued);
        state.bytes_being_written = batch.len();
        !batch.is_empty()
    }

    /// Resolves once bytes are queued.
    pub(super) async fn queue_filled(&self) {
        self.queue_filled.notified().await;
    }

    /// Closes the connection without writing the queued bytes; its tasks are notified by [`Connection::closing`].
    pub(super) fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        state.queued = Vec::new();
        self.closing.notify_waiters();
    }

    /// Accepts no more frames, since a write on the socket failed. The socket is still read to its end.
    pub(super) fn fail_writes(&self) {
        let mut state = self.state();
        state.failed = true;
        state.closed = true;
        state.queued = Vec::new();
    }

    /// Closes the connection because its socket failed.
    pub(super) fn fail(&self) {
        self.state().failed = true;
        self.close();
    }

    /// Whether its socket failed.
    pub(super) fn has_failed(&self) -> bool {
        self.state().failed
    }

    /// Records the incarnation of the peer's process at the other end.
    pub(super) fn set_incarnation(&self, incarnation: u64) {
        // Only one greeting is accepted, so the value was not set before.
        let _ = self.incarnation.set(incarnation);
    }

    /// Whether another incarnation of the peer's process is known to be at the other end.
    pub(super) fn is_of_other_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation
            .get()
            .is_some_and(|known| *known != incarnation)
    }

    /// Whether it is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.state().closed
    }

    /// Resolves when the connection is closed after this call; check [`Connection::is_closed`] after it as well.
    pub(super) fn closing(&self) -> Notified<'_> {
        self.closing.notified()
    }

    /// Records that bytes arrived.
    pub(super) fn received(&self, now: Instant) {
        self.state().last_received = Some(now);
    }

    /// When bytes last arrived.
    pub(super) fn last_received(&self) -> Option<Instant> {
        self.state().last_received
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
