//! Graceful shutdown: the front first reports that it is not ready, then takes no more requests, and ends once it has
//! answered every request that it accepted.
//!
//! Clients do not move to another front at once: they use their connections for as long as these stay open, and a request
//! that finds no connection fails. The front therefore keeps serving for most of the time before the platform may kill it.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

use lupinrack_policy::Settings;
use std::time::Duration;
use tokio::sync::watch;

/// The platform kills a front no sooner than this time after the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The largest deadline that the platform counts for this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// How long before the kill the front stops taking requests.
const DRAIN_BEFORE_KILL: Duration = Duration::from_millis(1_000);
/// How long before the kill the front answers all open requests, even unfinished ones.
const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(300);

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Ready,
    /// A signal was received: the front reports that it is not ready, but still serves old and new connections.
    NotReady,
    /// The front accepts no connections and closes the open ones; it finishes the requests that it accepted.
    Draining,
    /// All requests that are still open are answered at once.
    GraceExpired,
}

/// When each phase begins, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The start of [`Phase::Draining`].
    pub draining_after: Duration,
    /// The start of [`Phase::GraceExpired`].
    pub grace_expires_after: Duration,
}

impl Plan {
    /// Plans the phases within the time that the platform grants: the longest deadline of the settings plus a margin.
    pub fn new(settings: &Settings) -> Plan {
        let longest_deadline_us = settings
            .classes
            .iter()
            .map(|class| class.deadline.max(0) as u64)
            .max()
            .unwrap_or(0);
        let kill_after = Duration::from_micros(longest_deadline_us).min(MAX_DEADLINE) + KILL_MARGIN;
        let grace_expires_after = kill_after.saturating_sub(ANSWER_BEFORE_KILL);
        Plan {
            draining_after: kill_after
                .saturating_sub(DRAIN_BEFORE_KILL)
                .max(KILL_MARGIN)
                .min(grace_expires_after),
            grace_expires_after,
        }
    }
}

/// Waits for SIGTERM or SIGINT and then advances the phase. `plan` is called when the signal arrives, because the settings may have
/// changed since the start.
pub fn watch(plan: impl Fn() -> Plan + Send + 'static) -> std::io::Result<watch::Receiver<Phase>> {
    use tokio::signal::unix::{signal, SignalKind};
    let (mut sigterm, mut sigint) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    let (phase_sender, phase) = watch::channel(Phase::Ready);
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
        tracing::info!("received a shutdown signal");
        advance(&phase_sender, plan()).await;
    });
    Ok(phase)
}

/// Publishes each phase when it begins.
pub async fn advance(phase_sender: &watch::Sender<Phase>, plan: Plan) {
    let _ = phase_sender.send(Phase::NotReady);
    tokio::time::sleep(plan.draining_after).await;
    let _ = phase_sender.send(Phase::Draining);
    tokio::time::sleep(plan.grace_expires_after.saturating_sub(plan.draining_after)).await;
    let _ = phase_sender.send(Phase::GraceExpired);
    phase_sender.closed().await;
}

/// Waits until the front has reached this phase; forever if the sender of phases was dropped before.
pub async fn reached(phase: &mut watch::Receiver<Phase>, at: Phase) {
    if phase.wait_for(|current| *current >= at).await.is_err() {
        std::future::pending().await
    }
}
