//! When a connection has to end for its slowness, its idleness, or the server's end.

use super::activity::{Activity, Phase};
use super::limits::HttpLimits;
use super::state::{Server, Stage};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::futures::Notified;
use tokio::time::{sleep_until, Instant, Sleep};

/// Why a connection has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is idle and no longer wanted.
    Idle,
    /// The head of a request took too long.
    SlowHead,
    /// The server's time is up.
    Closing,
}

/// Watches one connection. It is polled in the connection's task each time that something has happened on it.
pub(super) struct Watchdog<'a, 'server> {
    server: &'server Server,
    activity: Arc<Activity>,
    limits: HttpLimits,
    changed: Pin<&'a mut Notified<'server>>,
    seen_server_changes: Option<u64>,
    seen_phase_changes: u64,
    since: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<'a, 'server> Watchdog<'a, 'server> {
    /// Watches from now on. `changed` is a place for the future that the server's changes wake.
    pub(super) fn new(
        server: &'server Server,
        activity: Arc<Activity>,
        limits: HttpLimits,
        changed: Pin<&'a mut Notified<'server>>,
    ) -> Self {
        Watchdog {
            server,
            activity,
            limits,
            changed,
            seen_server_changes: None,
            seen_phase_changes: 0,
            since: Instant::now(),
            timer: None,
        }
    }

    /// Whether the connection has to end.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Verdict> {
        self.listen_to_server(context);
        if self.server.has_reached(Stage::Closing) {
            return Poll::Ready(Verdict::Closing);
        }
        if self.activity.is_idle() && self.is_to_close_when_idle() {
            return Poll::Ready(Verdict::Idle);
        }
        self.poll_time(context)
    }

    fn is_to_close_when_idle(&self) -> bool {
        self.server.has_reached(Stage::ClosingIdle) || self.server.is_unwanted()
    }

    /// Lets the server's next change wake the task. It costs nothing while there is none.
    fn listen_to_server(&mut self, context: &mut Context<'_>) {
        while self.seen_server_changes != Some(self.server.changes()) {
            self.changed.set(self.server.changed.notified());
            self.seen_server_changes = Some(self.server.changes());
            let _ = self.changed.as_mut().poll(context);
        }
    }

    fn poll_time(&mut self, context: &mut Context<'_>) -> Poll<Verdict> {
        let (limit, verdict) = match self.activity.phase() {
            Phase::Idle => (self.limits.idle_timeout(), Verdict::Idle),
            Phase::Head => (self.limits.header_timeout(), Verdict::SlowHead),
            Phase::Busy => return Poll::Pending,
        };
        if self.seen_phase_changes != self.activity.changes() {
            self.seen_phase_changes = self.activity.changes();
            self.since = Instant::now();
        }
        let deadline = self.since + limit;
        self.poll_timer(context, deadline).map(|()| verdict)
    }

    /// Ready at the deadline. A timer that is set for an earlier moment stays, and is set anew when it fires.
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
