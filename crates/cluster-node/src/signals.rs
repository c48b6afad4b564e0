//! Signals of the platform.

use crate::NodeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What the platform asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    /// To end gracefully (SIGTERM, SIGINT).
    Terminate,
    /// To read its settings file again (SIGHUP).
    Reload,
}

/// The signals that a process listens to.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// [`NodeError::ListenForSignals`] where the system refuses a signal handler.
    pub(crate) fn listen() -> Result<Signals, NodeError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(NodeError::ListenForSignals)?,
            interrupt: signal(SignalKind::interrupt()).map_err(NodeError::ListenForSignals)?,
            hangup: signal(SignalKind::hangup()).map_err(NodeError::ListenForSignals)?,
        })
    }

    /// Completes with the next signal.
    pub(crate) async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.interrupt.recv() => ProcessSignal::Terminate,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }
}
