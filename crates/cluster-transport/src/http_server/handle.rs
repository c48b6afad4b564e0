//! The handle of a running server.

use super::drain::{DrainOutcome, DrainTimeouts};
use super::state::{ServerState, Stage};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long idle connections stay open after the last one was accepted. A request in transit would be lost if its
/// connection closed at once.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// A running server. It continues to run when all handles are dropped.
#[derive(Clone)]
pub struct ServerHandle {
    state: Arc<ServerState>,
    address: SocketAddr,
}

impl ServerHandle {
    pub(super) fn new(state: Arc<ServerState>, address: SocketAddr) -> ServerHandle {
        ServerHandle { state, address }
    }

    /// Where the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections()
    }

    /// Shuts the server down gracefully: accepts connections for a while, then closes idle ones and answers the
    /// requests that are being read or handled. Resolves when all requests are answered or the time is up. Must be
    /// called only once.
    pub async fn drain(&self, timeouts: DrainTimeouts) -> DrainOutcome {
        self.state.enter(Stage::LastResponses);
        tokio::time::sleep(timeouts.accept_for).await;
        self.state.stop_accepting.notify_one();
        self.state.accepting_ended.notified().await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
        self.state.enter(Stage::ClosingIdle);
        let _ = tokio::time::timeout(timeouts.response_timeout, self.state.all_closed()).await;
        let aborted_connections = self.state.open_connections();
        self.state.enter(Stage::Closing);
        DrainOutcome {
            aborted_connections,
        }
    }
}
