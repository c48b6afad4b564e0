//! Calls to a process of the cluster scheduler over HTTP.

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

/// How long a call may take with all its redirects.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How many redirects are followed.
const REDIRECTS: usize = 2;
/// Bytes of the longest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The process that is asked.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The `Host` header; the process's address where there is none.
    pub host: Option<String>,
}

/// An answer.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    /// Its status code.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why there is no answer.
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

/// Makes a call and reads its whole answer, following redirects.
pub(super) fn exchange(call: Call) -> Result<Answer, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(CallError::Connection)?.block_on(async {
        let answer = tokio::time::timeout(TIMEOUT, follow(call)).await;
        answer.unwrap_or(Err(CallError::TimedOut(TIMEOUT)))
    })
}

async fn follow(mut call: Call) -> Result<Answer, CallError> {
    for _ in 0..=REDIRECTS {
        let response = send(&call).await?;
        if response.status() != StatusCode::TEMPORARY_REDIRECT {
            return read(response).await;
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

async fn read(response: Response<hyper::body::Incoming>) -> Result<Answer, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(CallError::Body)?;
    Ok(Answer {
        status,
        body: body.to_bytes(),
    })
}

/// Turns the call to where the response points.
fn redirect<B>(call: &mut Call, response: &Response<B>) -> Result<(), CallError> {
    let location = response
        .headers()
        .get(LOCATION)
        .map_or(&b""[..], |value| value.as_bytes());
    let text = String::from_utf8_lossy(location).into_owned();
    let (address, path) = target(&text).ok_or(CallError::Redirect(text))?;
    call.address = address;
    call.path = path;
    Ok(())
}

/// Address and path of a location of the form `http://10.0.0.4:8080/path`.
fn target(location: &str) -> Option<(SocketAddr, String)> {
    let uri: Uri = location.parse().ok()?;
    let address = uri.authority()?.as_str().parse().ok()?;
    Some((address, uri.path_and_query()?.to_string()))
}
