//! Signals of the platform.

use crate::NodeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

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

    /// Completes when the process receives a signal to terminate. A hangup is ignored: the settings of an incarnation
    /// do not change, and seeds are only read at its start.
    pub(crate) async fn terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {}
            }
        }
    }
}
