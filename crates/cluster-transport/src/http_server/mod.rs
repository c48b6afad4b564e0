//! An HTTP/1.1 server for small JSON interfaces.
//!
//! A handler turns each whole [`HttpRequest`] into an [`HttpResponse`]. It runs in the task of the client's connection: where
//! the connection fails, the handler's future is dropped, so what must not be cancelled is done elsewhere. A client that
//! has only ended its output still gets its answer.

mod accept;
mod activity;
mod connection;
mod limits;
mod request;
mod response;
mod service;
mod state;
mod watchdog;

pub use limits::HttpLimits;
pub use request::{HttpRequest, DEADLINE_REMAINING};
pub use response::HttpResponse;

use crate::shared_value::SharedValue;
use state::{Server, Stage};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long connections stay open after the last one was accepted: a request that crosses their end would be lost.
const HEARD: Duration = Duration::from_millis(20);

/// The times of a server's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimeouts {
    /// How long new connections are still accepted. Meanwhile each answer is the last one on its connection.
    pub accept_for: Duration,
    /// How long requests may take after that until their connections are cut.
    pub response_timeout: Duration,
}

/// What came of a server's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOutcome {
    /// How many connections were cut while a request was being read or answered.
    pub cut: usize,
}

/// A running server. It goes on where this is dropped.
#[derive(Clone)]
pub struct ServerHandle {
    server: Arc<Server>,
    address: SocketAddr,
}

/// Serves all connections of a listening socket. To be called within a runtime.
///
/// # Errors
///
/// Where the socket cannot be used.
pub fn serve<F, A>(
    listener: std::net::TcpListener,
    limits: Arc<SharedValue<HttpLimits>>,
    handler: F,
) -> io::Result<ServerHandle>
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let server = Arc::new(Server::new(limits));
    tokio::spawn(accept::run(listener, server.clone(), Arc::new(handler)));
    Ok(ServerHandle { server, address })
}

impl ServerHandle {
    /// Where the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.server.open()
    }

    /// Ends the server: accepts for a while, then closes idle connections and answers what is being read or handled.
    /// Resolves when all is answered or the time is up. To be called once.
    pub async fn drain(&self, times: DrainTimeouts) -> DrainOutcome {
        self.server.enter(Stage::LastAnswers);
        tokio::time::sleep(times.accept_for).await;
        self.server.stop_accepting.notify_one();
        self.server.accepting_ended.notified().await;
        tokio::time::sleep(HEARD).await;
        self.server.enter(Stage::ClosingIdle);
        let _ = tokio::time::timeout(times.response_timeout, self.all_closed()).await;
        let cut = self.server.open();
        self.server.enter(Stage::Closing);
        DrainOutcome { cut }
    }

    async fn all_closed(&self) {
        loop {
            let all_closed = self.server.all_closed.notified();
            if self.server.open() == 0 {
                return;
            }
            all_closed.await;
        }
    }
}
