//! What all connections of a server share.

use super::limits::HttpLimits;
use crate::shared_value::SharedValue;
use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// How far a server's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// It serves.
    Serving = 0,
    /// Each answer is the last one on its connection.
    LastAnswers = 1,
    /// Idle connections are closed as well.
    ClosingIdle = 2,
    /// All connections are closed.
    Closing = 3,
}

/// What all connections of a server share.
pub(super) struct Server {
    /// The bounds in force.
    pub(super) limits: Arc<SharedValue<HttpLimits>>,
    /// Tells the accepting task to stop.
    pub(super) stop_accepting: Notify,
    /// Tells that the accepting task has stopped.
    pub(super) accepting_ended: Notify,
    /// Tells that a connection has ended, to the one that waits for room.
    pub(super) room: Notify,
    /// Tells that the last connection has ended.
    pub(super) all_closed: Notify,
    /// Tells connections to look at the stage and at what is asked of them.
    pub(super) changed: Notify,
    changes: AtomicU64,
    stage: AtomicU8,
    open: AtomicUsize,
    unwanted: AtomicUsize,
}

impl Server {
    /// A server without connections.
    pub(super) fn new(limits: Arc<SharedValue<HttpLimits>>) -> Self {
        Server {
            limits,
            stop_accepting: Notify::new(),
            accepting_ended: Notify::new(),
            room: Notify::new(),
            all_closed: Notify::new(),
            changed: Notify::new(),
            changes: AtomicU64::new(0),
            stage: AtomicU8::new(Stage::Serving as u8),
            open: AtomicUsize::new(0),
            unwanted: AtomicUsize::new(0),
        }
    }

    /// Moves on to a stage and wakes all connections.
    pub(super) fn enter(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        self.wake_connections();
    }

    /// Whether this stage is reached.
    pub(super) fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::Acquire) >= stage as u8
    }

    /// Whether each answer is to be the last one on its connection: at the end, and while others wait for room.
    pub(super) fn closes_after_answers(&self) -> bool {
        self.has_reached(Stage::LastAnswers) || self.unwanted.load(Ordering::Acquire) > 0
    }

    /// Rises with each change that concerns connections.
    pub(super) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// How many connections are open.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Asks one idle connection to close.
    pub(super) fn ask_for_room(&self) {
        self.unwanted.store(1, Ordering::Release);
        self.wake_connections();
    }

    /// Withdraws what [`Server::ask_for_room`] asked for, since there is room.
    pub(super) fn has_room(&self) {
        self.unwanted.store(0, Ordering::Release);
    }

    /// Whether the idle connection that asks is the one to close.
    pub(super) fn is_unwanted(&self) -> bool {
        let closed = self
            .unwanted
            .compare_exchange(1, 0, Ordering::AcqRel, Ordering::Relaxed);
        closed.is_ok()
    }

    fn wake_connections(&self) {
        self.changes.fetch_add(1, Ordering::AcqRel);
        self.changed.notify_waiters();
    }
}

/// Counts a connection as open while it lives.
pub(super) struct OpenConnection {
    server: Arc<Server>,
}

impl OpenConnection {
    /// Counts one more.
    pub(super) fn new(server: Arc<Server>) -> Self {
        server.open.fetch_add(1, Ordering::AcqRel);
        OpenConnection { server }
    }

    /// What it shares with the others.
    pub(super) fn server(&self) -> &Arc<Server> {
        &self.server
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if self.server.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.server.all_closed.notify_waiters();
        }
        self.server.room.notify_one();
    }
}
