//! A planned end: first not ready, then no more requests, then out once all that was taken is answered.
//!
//! Clients do not go elsewhere at once: they use the connections they have for as long as these stay open, and what
//! finds none is lost to them. So the front serves on for most of the time it is sure to have.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

use lupinrack_policy::Settings;
use std::time::Duration;
use tokio::sync::watch;

/// What the platform gives a front beyond the longest deadline before it kills it, and the most it counts for that.
const BEYOND: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// How long before that no further request is taken, and the last ones are answered whatever they wait for.
const FINISH: Duration = Duration::from_millis(1_000);
const ANSWER: Duration = Duration::from_millis(300);

/// Whether the front is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Ready,
    /// Told to end: not ready, but connections, new ones too, are served on.
    Ending,
    /// No new connections, and the open ones close; what was taken is finished.
    Closing,
    /// What is still open is answered at once.
    Over,
}

/// When each phase begins, from the signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The phase [`Phase::Closing`].
    pub closing: Duration,
    /// The phase [`Phase::Over`].
    pub over: Duration,
}

impl Plan {
    /// As the deadlines of the settings allow: the platform kills no sooner than the longest of them and a little.
    pub fn new(settings: &Settings) -> Plan {
        let longest = settings
            .classes
            .iter()
            .map(|c| c.deadline.max(0) as u64)
            .max()
            .unwrap_or(0);
        let sure = Duration::from_micros(longest).min(DEADLINE_MOST) + BEYOND;
        let over = sure.saturating_sub(ANSWER);
        Plan {
            closing: sure.saturating_sub(FINISH).max(BEYOND).min(over),
            over,
        }
    }
}

/// Follows the signals; `plan` is asked when one comes, for settings may have changed since the start.
pub fn watch(plan: impl Fn() -> Plan + Send + 'static) -> std::io::Result<watch::Receiver<Phase>> {
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut int) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    let (tell, phase) = watch::channel(Phase::Ready);
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        tracing::info!("told to end");
        advance(&tell, plan()).await;
    });
    Ok(phase)
}

/// Goes through the phases.
pub async fn advance(tell: &watch::Sender<Phase>, plan: Plan) {
    let _ = tell.send(Phase::Ending);
    tokio::time::sleep(plan.closing).await;
    let _ = tell.send(Phase::Closing);
    tokio::time::sleep(plan.over.saturating_sub(plan.closing)).await;
    let _ = tell.send(Phase::Over);
    tell.closed().await;
}

/// Ends once the front has come to this phase; never, where nobody tells of phases any more.
pub async fn reached(phase: &mut watch::Receiver<Phase>, at: Phase) {
    if phase.wait_for(|p| *p >= at).await.is_err() {
        std::future::pending().await
    }
}
