//! Bodies of answers about jobs and queues.

use crate::json_object::Object;
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
struct StateForm<'a> {
    #[serde(borrow)]
    state: Cow<'a, str>,
}

#[derive(Serialize, Deserialize)]
struct PendingForm {
    pending: u64,
}

/// the body is not an answer of this kind
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub struct UnknownAnswer;

impl std::error::Error for UnknownAnswer {}

/// The answer to a question for a job's state.
pub fn job_state_body(state: JobState) -> String {
    body(&StateForm {
        state: Cow::Borrowed(state.as_str()),
    })
}

/// The answer to a question for the number of a queue's jobs that have not ended.
pub fn pending_body(pending: u64) -> String {
    body(&PendingForm { pending })
}

/// Reads what [`job_state_body`] wrote.
pub fn parse_job_state(body: &[u8]) -> Result<JobState, UnknownAnswer> {
    let Object(form) =
        serde_json::from_slice::<Object<StateForm>>(body).map_err(|_| UnknownAnswer)?;
    STATES
        .into_iter()
        .find(|state| state.as_str() == form.state)
        .ok_or(UnknownAnswer)
}

/// Reads what [`pending_body`] wrote.
pub fn parse_pending(body: &[u8]) -> Result<u64, UnknownAnswer> {
    let Object(form) =
        serde_json::from_slice::<Object<PendingForm>>(body).map_err(|_| UnknownAnswer)?;
    Ok(form.pending)
}

fn body<T: Serialize>(form: &T) -> String {
    serde_json::to_string(form).unwrap_or_default()
}
