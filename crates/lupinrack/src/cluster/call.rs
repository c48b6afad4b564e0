//! HTTP calls to a process of the cluster scheduler.

use bytes::Bytes;
use displaydoc::Display;
use http::header::{HOST, LOCATION};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout of a call, redirects included.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Most redirects that are followed.
const MAX_REDIRECTS: usize = 2;
/// Limit on the size of a response body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// An HTTP call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The address of the called process.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The request path.
    pub path: String,
    /// The value of the `Host` header; the address if `None`.
    pub host: Option<String>,
}

/// The response to a call.
#[derive(Clone, Debug)]
pub(super) struct CallResponse {
    /// Its status code.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why a call failed.
#[derive(Debug, Display)]
pub(super) enum CallError {
    /// no answer within {0:?}
    TimedOut(Duration),
    /// {0}
    Connection(std::io::Error),
    /// the call cannot be put as HTTP: {0}
    Request(http::Error),
    /// the exchange broke off: {0}
    Exchange(hyper::Error),
    /// the answer's body cannot be read: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// redirected to {0:?}, which is no address
    Redirect(String),
    /// redirected too often
    TooManyRedirects,
}

/// Sends a call, follows redirects, and reads the complete response.
pub(super) fn exchange(call: Call) -> Result<CallResponse, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(CallError::Connection)?.block_on(async {
        let response = tokio::time::timeout(CALL_TIMEOUT, send_following_redirects(call)).await;
        response.unwrap_or(Err(CallError::TimedOut(CALL_TIMEOUT)))
    })
}

async fn send_following_redirects(mut call: Call) -> Result<CallResponse, CallError> {
    for _ in 0..=MAX_REDIRECTS {
        let response = send(&call).await?;
        if response.status() != StatusCode::TEMPORARY_REDIRECT {
            return read_body(response).await;
        }
        redirect(&mut call, &response)?;
    }
    Err(CallError::TooManyRedirects)
}

async fn send(call: &Call) -> Result<Response<hyper::body::Incoming>, CallError> {
    let stream = TcpStream::connect(call.address)
        .await
        .map_err(CallError::Connection)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Exchange)?;
    tokio::spawn(connection);
    let host = call
        .host
        .clone()
        .unwrap_or_else(|| call.address.to_string());
    let request = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header(HOST, host);
    let request = request
        .body(Empty::<Bytes>::new())
        .map_err(CallError::Request)?;
    sender
        .send_request(request)
        .await
        .map_err(CallError::Exchange)
}

async fn read_body(response: Response<hyper::body::Incoming>) -> Result<CallResponse, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(CallError::Body)?;
    Ok(CallResponse {
        status,
        body: body.to_bytes(),
    })
}

/// Directs the call at the location of a redirect response.
fn redirect<B>(call: &mut Call, response: &Response<B>) -> Result<(), CallError> {
    let location = response
        .headers()
        .get(LOCATION)
        .map_or(&b""[..], |value| value.as_bytes());
    let text = String::from_utf8_lossy(location).into_owned();
    let (address, path) = parse_location(&text).ok_or(CallError::Redirect(text))?;
    call.address = address;
    call.path = path;
    Ok(())
}

/// Parses address and path of a location of the form `http://10.0.0.4:8080/path`.
fn parse_location(location: &str) -> Option<(SocketAddr, String)> {
    let uri: Uri = location.parse().ok()?;
    let address = uri.authority()?.as_str().parse().ok()?;
    Some((address, uri.path_and_query()?.to_string()))
}
