//! Accepting connections.

use super::connection;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::state::{OpenConnection, Server};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout_at, Instant};

/// The wait after an accept that failed, as it does when descriptors run out.
const RETRY: Duration = Duration::from_millis(20);

/// How long the queue of new connections is looked at before it closes.
const LAST_LOOK: Duration = Duration::from_millis(2);

/// Accepts connections until it is told to stop, and those that wait at that moment.
pub(super) async fn run<F, A>(listener: TcpListener, server: Arc<Server>, handler: Arc<F>)
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    let serve = |stream| {
        let open = OpenConnection::new(server.clone());
        tokio::spawn(connection::serve(stream, open, handler.clone()));
    };
    loop {
        tokio::select! {
            accepted = next(&listener, &server) => match accepted {
                Ok(stream) => serve(stream),
                Err(_) => tokio::time::sleep(RETRY).await,
            },
            () = server.stop_accepting.notified() => break,
        }
    }
    // Closing the socket would reset what the kernel has accepted already.
    let until = Instant::now() + LAST_LOOK;
    while Instant::now() < until {
        if let Ok(Ok((stream, _))) = timeout_at(until, listener.accept()).await {
            serve(stream);
        }
    }
    drop(listener);
    server.accepting_ended.notify_one();
}

/// The next connection, once there is room for it.
async fn next(listener: &TcpListener, server: &Server) -> io::Result<TcpStream> {
    while server.open() >= server.limits.load().most_connections {
        server.ask_for_room();
        server.room.notified().await;
    }
    server.has_room();
    Ok(listener.accept().await?.0)
}
