//! The operator's HTTP interface, served by every core process.

use crate::configuration_order::read_order;
use crate::status::STATUS_PATH;
use crate::NodeError;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_net::http_server::{self, HttpAnswer, HttpCall, HttpLimits, ServerHandle};
use lupinrack_cluster_net::listen;
use lupinrack_cluster_net::snapshot::Snapshot;
use lupinrack_cluster_settings::NodeSettings;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

const CONFIGURATION_PATH: &str = "/lupinrack/config";
/// How long a call to the head may take, in milliseconds. Callers go on to another process after a second of silence, so
/// whoever holds a call for longer only keeps them from going on.
const CALL_MS: u64 = 850;
/// For so many bytes of a body a call may take a millisecond more: callers wait longer for large ones.
const BODY_BYTES_PER_MS: u64 = 256;
/// The largest body that an operator may send, in bytes.
const BODY_BYTES_MOST: u64 = 4 * 1024 * 1024;

/// How long a call with a body of this many bytes may take, in milliseconds.
pub fn call_ms(body_bytes: usize) -> u64 {
    CALL_MS + body_bytes as u64 / BODY_BYTES_PER_MS
}

/// A call of this process to the head.
#[derive(Debug)]
pub struct ControlCall {
    /// What is asked.
    pub request: Request,
    /// Where the answer goes.
    pub answerer: oneshot::Sender<Reply>,
    /// Milliseconds that the caller waits.
    pub remaining_ms: u64,
}

/// Serves at the control address.
pub fn serve(settings: &NodeSettings, calls: mpsc::Sender<ControlCall>) -> Result<ServerHandle, NodeError> {
    let address = settings.control.ok_or(NodeError::NoAddress)?;
    let listener = listen::bind_once(address)?;
    let limits = HttpLimits { max_body_bytes: BODY_BYTES_MOST, ..HttpLimits::default() };
    let handler = move |call: HttpCall| {
        let calls = calls.clone();
        async move { answer(call, calls).await }
    };
    Ok(http_server::serve(listener, Arc::new(Snapshot::new(limits)), handler)?)
}

async fn answer(call: HttpCall, calls: mpsc::Sender<ControlCall>) -> HttpAnswer {
    let request = match request_of(&call) {
        Ok(request) => request,
        Err(kind) => return HttpAnswer::error(kind),
    };
    answer_of(ask(&calls, request, call_ms(call.body.len())).await)
}

fn answer_of(reply: Reply) -> HttpAnswer {
    match reply {
        Reply::Done | Reply::Job(_) | Reply::Pending(_) => HttpAnswer::empty(200),
        Reply::ConfigurationDocument(document) => HttpAnswer::json(document),
        Reply::Status(text) => HttpAnswer::json(text),
        Reply::Error(kind) => HttpAnswer::error(kind),
        Reply::NotHead(_) => HttpAnswer::error(ErrorKind::InDoubt),
    }
}

/// Asks the head and waits for its answer.
pub async fn ask(calls: &mpsc::Sender<ControlCall>, request: Request, remaining_ms: u64) -> Reply {
    let (answerer, reply) = oneshot::channel();
    let call = ControlCall { request, answerer, remaining_ms };
    if calls.send(call).await.is_err() {
        return Reply::Error(ErrorKind::ShuttingDown);
    }
    reply.await.unwrap_or(Reply::Error(ErrorKind::InDoubt))
}

fn request_of(call: &HttpCall) -> Result<Request, ErrorKind> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", CONFIGURATION_PATH) => Ok(Request::ReadConfiguration),
        ("GET", STATUS_PATH) => Ok(Request::Status),
        ("PUT" | "PATCH", CONFIGURATION_PATH) => read_order(call).map(Request::ChangeConfiguration),
        _ => Err(ErrorKind::NotServed),
    }
}
