//! Renders the body of the response to a heartbeat.

use crate::heartbeat_response::{HeartbeatResponse, StopOrder};
use lupinrack_cluster_api::agent::Assignment;
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use serde::{Serialize, Serializer};

/// A task's identity, serialized as text.
struct TaskText<'a>(&'a TaskId);

impl Serialize for TaskText<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self.0)
    }
}

/// `[task, run, spec, saved]`, with the names of the servers' interface: `run` is the attempt, `saved` the checkpoint.
#[derive(Serialize)]
struct StartRow<'a>(TaskText<'a>, Attempt, &'a str, &'a str);

/// `[task, run]`.
#[derive(Serialize)]
struct StopRow<'a>(&'a str, Attempt);

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ResponseForm<'a> {
    #[serde(rename = "hold-ms", skip_serializing_if = "is_zero")]
    lease_ms: u64,
    #[serde(skip_serializing_if = "is_zero")]
    observed: u64,
    #[serde(skip_serializing_if = "is_zero")]
    fence_token: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    start: Vec<StartRow<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    stop: Vec<StopRow<'a>>,
    #[serde(skip_serializing_if = "is_zero")]
    retry_after_ms: u64,
}

/// Renders the response as JSON, without the fields that are 0 or empty.
pub fn render(response: &HeartbeatResponse) -> String {
    let form = ResponseForm {
        lease_ms: response.lease_ms,
        observed: response.observed,
        fence_token: response.token.0,
        start: response.starts.iter().map(start_row).collect(),
        stop: response.stops.iter().map(stop_row).collect(),
        retry_after_ms: response.heartbeat_after_ms,
    };
    // Serialization cannot fail: the form holds only numbers, strings and lists of them.
    serde_json::to_string(&form).unwrap_or_else(|_| String::from("{}"))
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn start_row(start: &Assignment) -> StartRow<'_> {
    StartRow(
        TaskText(&start.task),
        start.attempt,
        &start.spec,
        &start.checkpoint,
    )
}

fn stop_row(stop: &StopOrder) -> StopRow<'_> {
    StopRow(&stop.task, stop.attempt)
}
