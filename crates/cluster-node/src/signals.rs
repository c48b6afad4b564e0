//! Signals from the platform.

use crate::NodeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A request of the platform to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Terminate,
    /// Read the settings file again (SIGHUP).
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
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// [`NodeError::ListenForSignals`] if the system refuses a signal handler.
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
