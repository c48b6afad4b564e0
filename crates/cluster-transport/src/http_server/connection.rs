//! One connection of a client.

use super::activity::{Activity, ObservedStream};
use super::limits::HttpLimits;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::service::JsonService;
use super::state::OpenConnection;
use super::watchdog::{Verdict, Watchdog};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The buffer of a connection is no smaller than this, and no larger than [`BUFFER_BYTES_MOST`].
const BUFFER_BYTES_LEAST: usize = 16 * 1024;

/// See [`BUFFER_BYTES_LEAST`]; heads that are larger are refused.
const BUFFER_BYTES_MOST: usize = 64 * 1024;

/// How long input is still read after an answer that came before its end: closing at once would reset the connection,
/// and the client might never see the answer.
const LINGER: Duration = Duration::from_millis(500);

/// How many bytes are read for [`LINGER`].
const LINGER_BYTES: u64 = 1024 * 1024;

/// What a client gets whose request's head takes too long.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// How a connection came to its end.
enum End {
    /// By HTTP itself, or by the client.
    Finished,
    /// What came is no request, and the client was told so.
    Refused,
    /// The watchdog ended it.
    Ended(Verdict),
}

/// Serves one connection until it ends.
pub(super) async fn serve<F, A>(stream: TcpStream, open: OpenConnection, handler: Arc<F>)
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HttpResponse> + Send + 'static,
{
    let server = open.server().clone();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = *server.limits.load();
    let activity = Arc::new(Activity::default());
    let service = JsonService::new(handler, server.clone(), activity.clone());
    let io = TokioIo::new(ObservedStream::new(stream, activity.clone()));
    let mut connection = builder(&limits).serve_connection(io, service);
    let changed = pin!(server.changed.notified());
    let mut watchdog = Watchdog::new(&server, activity.clone(), limits, changed);
    let end = poll_fn(|context| match connection.poll_without_shutdown(context) {
        Poll::Ready(Ok(())) => Poll::Ready(End::Finished),
        Poll::Ready(Err(_)) => Poll::Ready(End::Refused),
        Poll::Pending => watchdog.poll(context).map(End::Ended),
    });
    let end = end.await;
    let stream = connection.into_parts().io.into_inner().stream;
    finish(stream, end, &activity).await;
}

fn builder(limits: &HttpLimits) -> http1::Builder {
    let head = usize::try_from(limits.max_header_bytes)
        .unwrap_or(usize::MAX)
        .min(BUFFER_BYTES_MOST);
    let mut builder = http1::Builder::new();
    builder
        .half_close(true)
        .header_read_timeout(None)
        .max_buf_size(head.max(BUFFER_BYTES_LEAST))
        .max_header_size(head)
        .auto_date_header(false);
    builder
}

/// Closes a connection so that the client sees the last answer.
async fn finish(mut stream: TcpStream, end: End, activity: &Activity) {
    let input_left = match end {
        End::Finished => activity.has_input_left(),
        End::Refused => true,
        End::Ended(Verdict::SlowHead) => {
            // The answer is small; where there is no room for it, nobody reads.
            let _ = stream.try_write(SLOW_HEAD);
            true
        }
        End::Ended(Verdict::Idle | Verdict::Closing) => false,
    };
    if input_left && !activity.has_input_ended() {
        let _ = tokio::time::timeout(LINGER, linger(&mut stream)).await;
    }
}

/// Ends the output, and reads what the client was still sending.
async fn linger(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut rest = stream.take(LINGER_BYTES);
    let mut buffer = vec![0; 8 * 1024];
    while rest.read(&mut buffer).await? > 0 {}
    Ok(())
}
