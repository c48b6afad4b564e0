//! A small HTTP/1.1 client with one connection for each call, for the command line and for tests.

use bytes::Bytes;
use http::{header, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;

/// The largest body of a response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call got no response. Except for [`CallError::Connect`], the server may have handled the request.
#[derive(Debug, displaydoc::Display)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(io::Error),
    /// no answer in time
    TimedOut,
    /// the connection failed: {0}
    Http(hyper::Error),
    /// the answer is too large
    TooLarge,
}

impl std::error::Error for CallError {}

/// Sends a request, whose target is a path, and reads the response. A request without the field `Host` gets the address
/// as its host.
///
/// # Errors
///
/// If no complete response arrived within `timeout`.
pub async fn call(
    address: SocketAddrV4,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, CallError> {
    let exchange = connect_and_exchange(address, prepare(address, request));
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(CallError::TimedOut))
}

/// The request as it is sent.
fn prepare(address: SocketAddrV4, request: Request<Bytes>) -> Request<Full<Bytes>> {
    let mut request = request.map(Full::new);
    let headers = request.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    if !headers.contains_key(header::HOST) {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(header::HOST, host);
        }
    }
    request
}

async fn connect_and_exchange(
    address: SocketAddrV4,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Http)?;
    tokio::select! {
        result = exchange(sender, request) => result,
        never = drive(connection) => match never {},
    }
}

/// Drives a connection. The exchange fails when the connection ends, so this never resolves.
async fn drive(connection: impl Future<Output = hyper::Result<()>>) -> Infallible {
    let _ = connection.await;
    pending().await
}

async fn exchange(
    mut sender: http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CallError> {
    let (parts, body) = sender
        .send_request(request)
        .await
        .map_err(CallError::Http)?
        .into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(body_error)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// hyper fails with its own error, and [`Limited`] with a [`LengthLimitError`].
fn body_error(error: Box<dyn std::error::Error + Send + Sync>) -> CallError {
    match error.downcast::<hyper::Error>() {
        Ok(error) => CallError::Http(*error),
        Err(other) => {
            debug_assert!(other.is::<LengthLimitError>(), "{other}");
            CallError::TooLarge
        }
    }
}
