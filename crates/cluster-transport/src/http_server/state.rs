//! The state that all connections of a server share: its limits, the stage of its shutdown, and the number of
//! connections.

use super::limits::HttpLimits;
use crate::shared_value::SharedValue;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// The stages of a server's graceful shutdown, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// The server is not shutting down.
    Serving = 0,
    /// Each response is the last one on its connection.
    LastResponses = 1,
    /// Idle connections are closed as well.
    ClosingIdle = 2,
    /// All connections are closed.
    Closing = 3,
}

/// The state that all connections of a server share.
pub(super) struct ServerState {
    /// The limits in force.
    pub(super) limits: Arc<SharedValue<HttpLimits>>,
    /// Notifies the accepting task that it has to stop.
    pub(super) stop_accepting: Notify,
    /// Notifies that the accepting task has stopped.
    pub(super) accepting_ended: Notify,
    /// Notifies the accepting task that a connection has ended.
    pub(super) connection_ended: Notify,
    /// Notifies connections of each change that [`ServerState::changes`] counts.
    pub(super) changed: Notify,
    last_connection_ended: Notify,
    changes: AtomicU64,
    stage: AtomicU8,
    open: AtomicUsize,
    /// Whether an idle connection should close to free capacity.
    idle_close_requested: AtomicBool,
}

impl ServerState {
    /// A server without connections.
    pub(super) fn new(limits: Arc<SharedValue<HttpLimits>>) -> Self {
        ServerState {
            limits,
            stop_accepting: Notify::new(),
            accepting_ended: Notify::new(),
            connection_ended: Notify::new(),
            changed: Notify::new(),
            last_connection_ended: Notify::new(),
            changes: AtomicU64::new(0),
            stage: AtomicU8::new(Stage::Serving as u8),
            open: AtomicUsize::new(0),
            idle_close_requested: AtomicBool::new(false),
        }
    }

    /// Enters a stage and wakes all connections. The server never returns to an earlier stage.
    pub(super) fn enter(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        self.wake_connections();
    }

    /// Whether the server has reached this stage.
    pub(super) fn has_reached(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::Acquire) >= stage as u8
    }

    /// Whether each response must be the last one on its connection: during shutdown, and while new connections wait
    /// for capacity.
    pub(super) fn closes_after_response(&self) -> bool {
        self.has_reached(Stage::LastResponses) || self.idle_close_requested.load(Ordering::Acquire)
    }

    /// A number that increases with each change that concerns connections.
    pub(super) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// How many connections are open.
    pub(super) fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Resolves once no connection is open.
    pub(super) async fn all_closed(&self) {
        loop {
            let ended = self.last_connection_ended.notified();
            if self.open_connections() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Asks one idle connection to close, to free capacity.
    pub(super) fn request_idle_close(&self) {
        self.idle_close_requested.store(true, Ordering::Release);
        self.wake_connections();
    }

    /// Withdraws the request of [`ServerState::request_idle_close`].
    pub(super) fn cancel_idle_close(&self) {
        self.idle_close_requested.store(false, Ordering::Release);
    }

    /// Whether the idle connection that calls this must close: each close request is taken by one connection.
    pub(super) fn take_idle_close(&self) -> bool {
        self.idle_close_requested
            .compare_exchange(true, false, Ordering::AcqRel, Ordering::Relaxed)
            .is_ok()
    }

    fn wake_connections(&self) {
        self.changes.fetch_add(1, Ordering::AcqRel);
        self.changed.notify_waiters();
    }
}

/// Counts a connection as open until it is dropped.
pub(super) struct OpenConnection {
    state: Arc<ServerState>,
}

impl OpenConnection {
    /// Counts one more connection.
    pub(super) fn new(state: Arc<ServerState>) -> Self {
        state.open.fetch_add(1, Ordering::AcqRel);
        OpenConnection { state }
    }

    /// The state of the connection's server.
    pub(super) fn state(&self) -> &Arc<ServerState> {
        &self.state
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if self.state.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.state.last_connection_ended.notify_waiters();
        }
        self.state.connection_ended.notify_one();
    }
}
