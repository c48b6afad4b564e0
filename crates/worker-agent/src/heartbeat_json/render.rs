//! Writes the body of the answer to a heartbeat.

use crate::heartbeat_response::{HeartbeatResponse, StopOrder};
use lupinrack_cluster_api::agent::Assignment;
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use serde::{Serialize, Serializer};

/// A name written as text.
struct Name<'a>(&'a TaskId);

impl Serialize for Name<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self.0)
    }
}

/// `[task, run, spec, saved]`.
#[derive(Serialize)]
struct StartRow<'a>(Name<'a>, Attempt, &'a str, &'a str);

/// `[task, run]`.
#[derive(Serialize)]
struct StopRow<'a>(&'a str, Attempt);

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Body<'a> {
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

/// The answer's JSON; what is 0 or empty is left out.
pub fn render(answer: &HeartbeatResponse) -> String {
    let body = Body {
        lease_ms: answer.lease_ms,
        observed: answer.observed,
        fence_token: answer.token.0,
        start: answer.starts.iter().map(start_row).collect(),
        stop: answer.stops.iter().map(stop_row).collect(),
        retry_after_ms: answer.heartbeat_after_ms,
    };
    // Numbers, texts and lists of them: there is nothing that JSON cannot hold.
    serde_json::to_string(&body).unwrap_or_else(|_| String::from("{}"))
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn start_row(start: &Assignment) -> StartRow<'_> {
    StartRow(
        Name(&start.task),
        start.attempt,
        &start.spec,
        &start.checkpoint,
    )
}

fn stop_row(stop: &StopOrder) -> StopRow<'_> {
    StopRow(&stop.task, stop.attempt)
}
