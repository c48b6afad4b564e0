//! The task that accepts connections.

use super::connection;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::state::{OpenConnection, ServerState};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout_at, Instant};

/// The delay after a failed accept, which fails for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long connections in the kernel's queue are still accepted before the socket is closed.
const FINAL_ACCEPT_WINDOW: Duration = Duration::from_millis(2);

/// Accepts connections until it is notified to stop, including those in the kernel's queue at that time.
pub(super) async fn run<F, A>(listener: TcpListener, state: Arc<ServerState>, handler: Arc<F>)
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    let serve = |stream| {
        let open = OpenConnection::new(state.clone());
        tokio::spawn(connection::serve(stream, open, handler.clone()));
    };
    loop {
        tokio::select! {
            accepted = accept_within_capacity(&listener, &state) => match accepted {
                Ok(stream) => serve(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = state.stop_accepting.notified() => break,
        }
    }
    // Closing the socket would reset the connections that the kernel has accepted already.
    let until = Instant::now() + FINAL_ACCEPT_WINDOW;
    while Instant::now() < until {
        if let Ok(Ok((stream, _))) = timeout_at(until, listener.accept()).await {
            serve(stream);
        }
    }
    drop(listener);
    state.accepting_ended.notify_one();
}

/// The next connection, once there is capacity for it.
async fn accept_within_capacity(
    listener: &TcpListener,
    state: &ServerState,
) -> io::Result<TcpStream> {
    while state.open_connections() >= state.limits.load().max_connections {
        state.request_idle_close();
        state.connection_ended.notified().await;
    }
    state.cancel_idle_close();
    Ok(listener.accept().await?.0)
}
