//! A planned end: first not ready, then no new connections, then out once all that was taken is answered.

use std::time::Duration;
use tokio::sync::watch;

/// How long new connections are still taken after the signal. They keep coming for up to 0.4 s.
pub const OVERLAP: Duration = Duration::from_millis(600);

/// Whether the front is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Ready,
    /// Told to end: not ready, but new connections are still taken.
    Ending,
    /// No new connections; what was taken is finished.
    Closing,
}

/// Follows the signals.
pub fn watch() -> std::io::Result<watch::Receiver<Phase>> {
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let (tell, phase) = watch::channel(Phase::Ready);
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        tracing::info!("told to end");
        advance(&tell).await;
    });
    Ok(phase)
}

/// Goes through the phases.
pub async fn advance(tell: &watch::Sender<Phase>) {
    let _ = tell.send(Phase::Ending);
    tokio::time::sleep(OVERLAP).await;
    let _ = tell.send(Phase::Closing);
    tell.closed().await;
}
