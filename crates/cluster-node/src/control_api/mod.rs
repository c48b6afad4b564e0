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
/// Timeout of a call to the head, in milliseconds. Callers try another process after a timeout of one second, so a
/// longer wait would only delay that.
const CALL_TIMEOUT_MS: u64 = 850;
/// The timeout is one millisecond longer for each of these bytes of a body, since callers wait longer for large bodies.
const BODY_BYTES_PER_MS: u64 = 256;
/// The largest body that an operator may send, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Timeout of a call with a body of this many bytes, in milliseconds.
pub fn call_ms(body_bytes: usize) -> u64 {
    CALL_TIMEOUT_MS + body_bytes as u64 / BODY_BYTES_PER_MS
}

/// A call from this process to the head.
#[derive(Debug)]
pub struct HeadCall {
    /// The request.
    pub request: Request,
    /// The sender for the reply.
    pub reply_to: oneshot::Sender<Reply>,
    /// Milliseconds until the caller gives up.
    pub remaining_ms: u64,
}

/// A query to this process itself.
#[derive(Debug)]
pub struct ProcessCall {
    /// The query.
    pub query: ProcessQuery,
    /// The sender for the answer, as text.
    pub reply_to: oneshot::Sender<String>,
}

/// A parsed HTTP request: for the head, which may be another process, or for this process itself.
enum ControlRequest {
    Head(Request),
    Process(ProcessQuery),
}

/// Serves the operator's interface at the control address.
///
/// # Errors
///
/// If the settings have no control address, or the process cannot listen on it.
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
            http_response(call_head(&calls, request, call_ms(call.body.len())).await)
        }
        Ok(ControlRequest::Process(query)) => query_process(&queries, query).await,
        Err(kind) => HttpResponse::error(kind),
    }
}

fn http_response(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Done | Reply::Job(_) | Reply::Pending(_) => HttpResponse::empty(200),
        Reply::ConfigurationDocument(document) => HttpResponse::json(document),
        Reply::Error(kind) => HttpResponse::error(kind),
        Reply::NotHead(_) => HttpResponse::error(ErrorKind::InDoubt),
    }
}

/// Calls the head and waits for its reply.
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
