//! The watchdog of a connection: decides when it must close because it is slow or idle, or because
//! the server shuts down.

use super::activity::{Activity, Phase};
use super::limits::HttpLimits;
use super::state::{ServerState, Stage};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::futures::Notified;
use tokio::time::{sleep_until, Instant, Sleep};

/// Why a connection must close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It is idle, and it timed out, its capacity is needed, or the server shuts down.
    Idle,
    /// The header section of a request took too long.
    SlowHead,
    /// The time of the server's shutdown is up.
    Shutdown,
}

/// Watches one connection. It is polled in the connection's task after each event on the connection.
pub(super) struct Watchdog<'a, 'server> {
    state: &'server ServerState,
    activity: Arc<Activity>,
    limits: HttpLimits,
    state_changed: Pin<&'a mut Notified<'server>>,
    seen_state_changes: Option<u64>,
    seen_phase_changes: u64,
    phase_since: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<'a, 'server> Watchdog<'a, 'server> {
    /// Starts to watch. `state_changed` stores the future that a change of the server's state wakes.
    pub(super) fn new(
        state: &'server ServerState,
        activity: Arc<Activity>,
        limits: HttpLimits,
        state_changed: Pin<&'a mut Notified<'server>>,
    ) -> Self {
        Watchdog {
            state,
            activity,
            limits,
            state_changed,
            seen_state_changes: None,
            seen_phase_changes: 0,
            phase_since: Instant::now(),
            timer: None,
        }
    }

    /// Ready once the connection must close.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<CloseReason> {
        self.watch_state(context);
        if self.state.has_reached(Stage::Closing) {
            return Poll::Ready(CloseReason::Shutdown);
        }
        if self.activity.is_idle() && self.closes_when_idle() {
            return Poll::Ready(CloseReason::Idle);
        }
        self.poll_phase_timeout(context)
    }

    fn closes_when_idle(&self) -> bool {
        self.state.has_reached(Stage::ClosingIdle) || self.state.take_idle_close()
    }

    /// Registers the task to be woken at the next change of the state. It costs nothing while there is no change.
    fn watch_state(&mut self, context: &mut Context<'_>) {
        while self.seen_state_changes != Some(self.state.changes()) {
            self.state_changed.set(self.state.changed.notified());
            self.seen_state_changes = Some(self.state.changes());
            let _ = self.state_changed.as_mut().poll(context);
        }
    }

    fn poll_phase_timeout(&mut self, context: &mut Context<'_>) -> Poll<CloseReason> {
        let (timeout, reason) = match self.activity.phase() {
            Phase::Idle => (self.limits.idle_timeout(), CloseReason::Idle),
            Phase::Head => (self.limits.header_timeout(), CloseReason::SlowHead),
            Phase::Busy => return Poll::Pending,
        };
        if self.seen_phase_changes != self.activity.phase_changes() {
            self.seen_phase_changes = self.activity.phase_changes();
            self.phase_since = Instant::now();
        }
        let deadline = self.phase_since + timeout;
        self.poll_timer(context, deadline).map(|()| reason)
    }

    /// Ready at the deadline. A timer that is set to an earlier time is kept and is reset only when it fires, since
    /// resetting it for every request would cost more.
    fn poll_timer(&mut self, context: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() > deadline {
            timer.as_mut().reset(deadline);
        }
        while timer.as_mut().poll(context).is_ready() {
            if timer.deadline() >= deadline {
                return Poll::Ready(());
            }
            timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }
}
