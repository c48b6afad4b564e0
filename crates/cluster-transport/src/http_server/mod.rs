//! An HTTP/1.1 server (RFC 9110, RFC 9112) for small JSON interfaces.
//!
//! A handler turns each complete [`HttpRequest`] into an [`HttpResponse`]. It runs in the task of the client's
//! connection: if the connection fails, the handler's future is dropped, so work that must not be cancelled belongs in
//! another task. A client that has only ended its output still gets its response.
//!
//! Start reading at [`serve`]: `accept` accepts connections, and for each `connection` drives hyper, with a `service`
//! between hyper and the handler and a `watchdog` for slow and idle clients. What all connections of a server share is
//! in `state`.

mod accept;
mod activity;
mod connection;
mod drain;
mod handle;
mod if_match;
mod limits;
mod observed_stream;
mod request;
mod response;
mod service;
mod state;
mod watchdog;

pub use drain::{DrainOutcome, DrainTimeouts};
pub use handle::ServerHandle;
pub use if_match::IfMatch;
pub use limits::HttpLimits;
pub use request::{HttpRequest, DEADLINE_REMAINING};
pub use response::HttpResponse;

use crate::shared_value::SharedValue;
use state::ServerState;
use std::future::Future;
use std::io;
use std::sync::Arc;

/// Serves all connections of a listening socket. Must be called within a tokio runtime.
///
/// # Errors
///
/// If the socket cannot be made asynchronous or has no local address.
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
    let state = Arc::new(ServerState::new(limits));
    tokio::spawn(accept::run(listener, state.clone(), Arc::new(handler)));
    Ok(ServerHandle::new(state, address))
}
