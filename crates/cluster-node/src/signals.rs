//! Signals of the platform.

use crate::NodeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a process listens to.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to listen.
    pub fn listen() -> Result<Signals, NodeError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(NodeError::ListenForSignals)?,
            interrupt: signal(SignalKind::interrupt()).map_err(NodeError::ListenForSignals)?,
            hangup: signal(SignalKind::hangup()).map_err(NodeError::ListenForSignals)?,
        })
    }

    /// The process is told to end. A hangup changes nothing here: settings that matter in one life of a process do not
    /// change, and seeds are only read at its start.
    pub async fn terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {}
            }
        }
    }
}
