//! The connection of one client.

use super::activity::Activity;
use super::limits::HttpLimits;
use super::observed_stream::ObservedStream;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::service::JsonService;
use super::state::OpenConnection;
use super::watchdog::{CloseReason, Watchdog};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The smallest read buffer of a connection.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// The largest read buffer of a connection; larger header sections are rejected.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// How long input is still read after a response that was sent before the request's end. Closing the socket at once
/// would reset the connection, and the client might never see the response (RFC 9112, section 9.6).
const LINGER: Duration = Duration::from_millis(500);

/// How many bytes are read at most during [`LINGER`].
const MAX_LINGER_BYTES: u64 = 1024 * 1024;

/// How many of these bytes are read at once.
const LINGER_BUFFER_BYTES: usize = 8 * 1024;

/// The response to a request whose header section takes too long. hyper has no request to answer yet.
const SLOW_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// How a connection ended.
enum ConnectionEnd {
    /// By HTTP itself, or by the client.
    Finished,
    /// The client sent something that is not a request, and hyper has answered with an error.
    Rejected,
    /// The watchdog closed it.
    Closed(CloseReason),
}

/// Serves one connection until it ends.
pub(super) async fn serve<F, A>(stream: TcpStream, open: OpenConnection, handler: Arc<F>)
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    let state = open.state().clone();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = *state.limits.load();
    let activity = Arc::new(Activity::default());
    let service = JsonService::new(handler, state.clone(), activity.clone());
    let io = TokioIo::new(ObservedStream::new(stream, activity.clone()));
    let mut connection = builder(&limits).serve_connection(io, service);
    let state_changed = pin!(state.changed.notified());
    let mut watchdog = Watchdog::new(&state, activity.clone(), limits, state_changed);
    let end = poll_fn(|context| match connection.poll_without_shutdown(context) {
        Poll::Ready(Ok(())) => Poll::Ready(ConnectionEnd::Finished),
        Poll::Ready(Err(_)) => Poll::Ready(ConnectionEnd::Rejected),
        Poll::Pending => watchdog.poll(context).map(ConnectionEnd::Closed),
    });
    let end = end.await;
    let stream = connection.into_parts().io.into_inner().into_stream();
    finish(stream, end, &activity).await;
}

fn builder(limits: &HttpLimits) -> http1::Builder {
    let max_head = usize::try_from(limits.max_header_bytes)
        .unwrap_or(usize::MAX)
        .min(MAX_BUFFER_BYTES);
    let mut builder = http1::Builder::new();
    builder
        .half_close(true)
        .header_read_timeout(None)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .max_header_size(max_head)
        .auto_date_header(false);
    builder
}

/// Closes a connection so that the client sees the last response.
async fn finish(mut stream: TcpStream, end: ConnectionEnd, activity: &Activity) {
    let has_unread_input = match end {
        ConnectionEnd::Finished => activity.has_unread_input(),
        ConnectionEnd::Rejected => true,
        ConnectionEnd::Closed(CloseReason::SlowHead) => {
            // The response is small; if the socket's buffer has no space for it, the client does not read.
            let _ = stream.try_write(SLOW_HEAD_RESPONSE);
            true
        }
        ConnectionEnd::Closed(CloseReason::Idle | CloseReason::Shutdown) => false,
    };
    if has_unread_input && !activity.has_input_ended() {
        let _ = tokio::time::timeout(LINGER, linger(&mut stream)).await;
    }
}

/// Ends the output, and reads what the client is still sending.
async fn linger(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut rest = stream.take(MAX_LINGER_BYTES);
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    while rest.read(&mut buffer).await? > 0 {}
    Ok(())
}
