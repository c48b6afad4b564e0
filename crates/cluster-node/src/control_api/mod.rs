//! The operator's HTTP interface, served by every core process.

pub mod configuration_request;

use crate::status::STATUS_PATH;
use crate::NodeError;
use configuration_request::parse_configuration_request;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::request::{ProcessQuery, Reply, Request};
use lupinrack_cluster_transport::http_server::{
    self, HttpLimits, HttpRequest, HttpResponse, ServerHandle,
};
use lupinrack_cluster_transport::listen;
use lupinrack_cluster_transport::shared_value::SharedValue;
use lupinrack_node_settings::NodeSettings;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

const CONFIGURATION_PATH: &str = "/lupinrack/config";
/// How long a call to the head may take, in milliseconds. Callers go on to another process after a second of silence, so
/// whoever holds a call for longer only keeps them from going on.
const CALL_MS: u64 = 850;
/// For so many bytes of a body a call may take a millisecond more: callers wait longer for large ones.
const BODY_BYTES_PER_MS: u64 = 256;
/// The largest body that an operator may send, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// How long a call with a body of this many bytes may take, in milliseconds.
pub fn call_ms(body_bytes: usize) -> u64 {
    CALL_MS + body_bytes as u64 / BODY_BYTES_PER_MS
}

/// A call of this process to the head.
#[derive(Debug)]
pub struct HeadCall {
    /// What is asked.
    pub request: Request,
    /// Where the answer goes.
    pub reply_to: oneshot::Sender<Reply>,
    /// Milliseconds that the caller waits.
    pub remaining_ms: u64,
}

/// A question to this process itself.
#[derive(Debug)]
pub struct ProcessCall {
    /// What is asked.
    pub query: ProcessQuery,
    /// Where the answer goes, as text.
    pub reply_to: oneshot::Sender<String>,
}

/// What is asked over HTTP: of the head, wherever it is, or of this very process.
enum ControlRequest {
    Head(Request),
    Process(ProcessQuery),
}

/// Serves at the control address.
pub fn serve(
    settings: &NodeSettings,
    calls: mpsc::Sender<HeadCall>,
    queries: mpsc::Sender<ProcessCall>,
) -> Result<ServerHandle, NodeError> {
    let address = settings.control.ok_or(NodeError::MissingAddress)?;
    let listener = listen::bind_once(address).map_err(NodeError::ListenForHttp)?;
    let limits = HttpLimits {
        max_body_bytes: MAX_BODY_BYTES,
        ..HttpLimits::default()
    };
    let handler = move |call: HttpRequest| {
        let (calls, queries) = (calls.clone(), queries.clone());
        async move { answer(call, calls, queries).await }
    };
    http_server::serve(listener, Arc::new(SharedValue::new(limits)), handler)
        .map_err(NodeError::ListenForHttp)
}

async fn answer(
    call: HttpRequest,
    calls: mpsc::Sender<HeadCall>,
    queries: mpsc::Sender<ProcessCall>,
) -> HttpResponse {
    match parse_request(&call) {
        Ok(ControlRequest::Head(request)) => {
            answer_of(call_head(&calls, request, call_ms(call.body.len())).await)
        }
        Ok(ControlRequest::Process(query)) => query_process(&queries, query).await,
        Err(kind) => HttpResponse::error(kind),
    }
}

fn answer_of(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Done | Reply::Job(_) | Reply::Pending(_) => HttpResponse::empty(200),
        Reply::ConfigurationDocument(document) => HttpResponse::json(document),
        Reply::Error(kind) => HttpResponse::error(kind),
        Reply::NotHead(_) => HttpResponse::error(ErrorKind::InDoubt),
    }
}

/// Asks the head and waits for its answer.
pub async fn call_head(
    calls: &mpsc::Sender<HeadCall>,
    request: Request,
    remaining_ms: u64,
) -> Reply {
    let (reply_to, reply) = oneshot::channel();
    let call = HeadCall {
        request,
        reply_to,
        remaining_ms,
    };
    if calls.send(call).await.is_err() {
        return Reply::Error(ErrorKind::ShuttingDown);
    }
    reply.await.unwrap_or(Reply::Error(ErrorKind::InDoubt))
}

async fn query_process(queries: &mpsc::Sender<ProcessCall>, query: ProcessQuery) -> HttpResponse {
    let (reply_to, text) = oneshot::channel();
    if queries.send(ProcessCall { query, reply_to }).await.is_err() {
        return HttpResponse::error(ErrorKind::ShuttingDown);
    }
    match text.await {
        Ok(text) => HttpResponse::json(text),
        Err(_) => HttpResponse::error(ErrorKind::ShuttingDown),
    }
}

fn parse_request(call: &HttpRequest) -> Result<ControlRequest, ErrorKind> {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", CONFIGURATION_PATH) => Ok(ControlRequest::Head(Request::ReadConfiguration)),
        ("GET", STATUS_PATH) => Ok(ControlRequest::Process(ProcessQuery::Status)),
        ("PUT" | "PATCH", CONFIGURATION_PATH) => parse_configuration_request(call)
            .map(|change| ControlRequest::Head(Request::ChangeConfiguration(change))),
        _ => Err(ErrorKind::NotServed),
    }
}
