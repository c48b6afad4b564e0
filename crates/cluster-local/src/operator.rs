//! The operator's calls: the configuration, and reads of readiness and status.

use crate::cluster_shape::ClusterShape;
use crate::error::LocalError;
use crate::http_call::{send, HttpCall, HttpResponse};
use crate::member::{Member, Role};
use crate::ports::Ports;
use http::{Method, StatusCode};
use std::net::SocketAddrV4;

/// The service of all workers.
pub(crate) const SERVICE: &str = "workers";
/// The host that the queue serves.
pub(crate) const HOST: &str = "local.example";
/// The path prefix of the queue.
pub(crate) const PREFIX: &str = "/jobs/";

/// Number of failed runs of a task after which its job fails.
const MAX_RETRIES: u32 = 2;
/// Path at which core processes accept the configuration.
const CONFIGURATION_PATH: &str = "/lupinrack/config";
/// Path of a process's status.
const STATUS_PATH: &str = "/lupinrack/status";
/// Path of a front's readiness check.
const READINESS_PATH: &str = "/lupinrack/ready";
/// The line in a core process's status that identifies the head.
const HEAD_LINE: &str = "chain position 0";
/// Status codes after which a configuration will never be accepted.
const REJECTIONS: [StatusCode; 4] = [
    StatusCode::BAD_REQUEST,
    StatusCode::CONFLICT,
    StatusCode::PRECONDITION_FAILED,
    StatusCode::UNPROCESSABLE_ENTITY,
];

/// The configuration: one queue, one service.
fn configuration() -> String {
    serde_json::json!({
        "version": 1,
        "routes": [{
            "name": "jobs", "host": HOST, "path-prefix": PREFIX, "type": "non_idempotent",
            "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 1, "service": SERVICE,
            "max-retries": MAX_RETRIES, "extension": 2.0
        }],
        "services": [{
            "name": SERVICE, "health-check": "/health", "max-connections": 64, "protocol": "h1",
            "tls": false, "guards": true
        }],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 262_144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000
        }
    })
    .to_string()
}

/// Sends the configuration to one core process after the other until one accepts it; returns false if none does.
///
/// # Errors
///
/// [`LocalError::ConfigurationRejected`] if it will never be accepted.
pub(crate) async fn configure(shape: &ClusterShape, ports: Ports) -> Result<bool, LocalError> {
    let call = HttpCall {
        method: Method::PUT,
        path: CONFIGURATION_PATH.to_owned(),
        if_match: Some(0),
        body: configuration(),
        ..HttpCall::default()
    };
    for core in Member::with_role(Role::Core, shape) {
        let Some(response) = send(ports.control_address(core), &call).await else {
            continue;
        };
        if response.is_success() {
            return Ok(true);
        }
        if REJECTIONS.contains(&response.status) {
            let status = response.status.as_u16();
            return Err(LocalError::ConfigurationRejected { status });
        }
    }
    Ok(false)
}

/// Whether all fronts are ready.
pub(crate) async fn all_fronts_ready(shape: &ClusterShape, ports: Ports) -> bool {
    let call = get(READINESS_PATH);
    for front in Member::with_role(Role::Front, shape) {
        let response = send(ports.readiness_address(front), &call).await;
        if !response.is_some_and(|response| response.is_success()) {
            return false;
        }
    }
    true
}

/// Whether every process reports its status under its own name.
pub(crate) async fn all_report_status(shape: &ClusterShape, ports: Ports) -> bool {
    for member in Member::all(shape) {
        let address = match member.role {
            Role::Core | Role::Agent => ports.control_address(member),
            Role::Front => ports.readiness_address(member),
        };
        let status = status(address).await.unwrap_or_default();
        if status.lines().next() != Some(&format!("node {member}")) {
            return false;
        }
    }
    true
}

/// The core process that reports itself as the head of the chain.
pub(crate) async fn find_head(shape: &ClusterShape, ports: Ports) -> Option<Member> {
    for core in Member::with_role(Role::Core, shape) {
        let status = status(ports.control_address(core)).await;
        if status.is_some_and(|text| text.lines().any(|line| line == HEAD_LINE)) {
            return Some(core);
        }
    }
    None
}

/// Reads the status of the process at this address.
async fn status(address: SocketAddrV4) -> Option<String> {
    let response = send(address, &get(STATUS_PATH))
        .await
        .filter(HttpResponse::is_success)?;
    Some(String::from_utf8_lossy(&response.body).into_owned())
}

fn get(path: &str) -> HttpCall {
    HttpCall {
        path: path.to_owned(),
        ..HttpCall::default()
    }
}
