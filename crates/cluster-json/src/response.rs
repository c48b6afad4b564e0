//! Bodies of responses about jobs and queues.

use crate::json_object::JsonObject;
use displaydoc::Display;
use lupinrack_cluster_api::job::JobState;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Every state of a job.
const STATES: [JobState; 5] = [
    JobState::Queued,
    JobState::Running,
    JobState::Succeeded,
    JobState::Failed,
    JobState::Cancelled,
];

#[derive(Serialize, Deserialize)]
struct JobStateBody<'a> {
    #[serde(borrow)]
    state: Cow<'a, str>,
}

#[derive(Serialize, Deserialize)]
struct PendingBody {
    pending: u64,
}

/// the body is not an answer of this kind
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub struct MalformedResponse;

impl std::error::Error for MalformedResponse {}

/// Writes the response to a query of the state of a job.
pub fn job_state_body(state: JobState) -> String {
    to_json(&JobStateBody {
        state: Cow::Borrowed(state.as_str()),
    })
}

/// Writes the response to a query of the number of unfinished jobs in a queue.
pub fn pending_body(pending: u64) -> String {
    to_json(&PendingBody { pending })
}

/// Parses a body that [`job_state_body`] wrote.
///
/// # Errors
///
/// [`MalformedResponse`] if the body has another form or names an unknown state.
pub fn parse_job_state(body: &[u8]) -> Result<JobState, MalformedResponse> {
    let JsonObject(response) =
        serde_json::from_slice::<JsonObject<JobStateBody>>(body).map_err(|_| MalformedResponse)?;
    STATES
        .into_iter()
        .find(|state| state.as_str() == response.state)
        .ok_or(MalformedResponse)
}

/// Parses a body that [`pending_body`] wrote.
///
/// # Errors
///
/// [`MalformedResponse`] if the body has another form.
pub fn parse_pending(body: &[u8]) -> Result<u64, MalformedResponse> {
    let JsonObject(response) =
        serde_json::from_slice::<JsonObject<PendingBody>>(body).map_err(|_| MalformedResponse)?;
    Ok(response.pending)
}

fn to_json<T: Serialize>(body: &T) -> String {
    // A struct of texts and numbers always has a JSON form.
    serde_json::to_string(body).unwrap_or_default()
}
