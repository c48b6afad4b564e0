//! A client: submits one job, cancels it if its kind requires that, and polls it until it ends.

use crate::http_call::{send, HttpCall, HttpResponse};
use crate::job_kind::JobKind;
use crate::operator::{HOST, PREFIX};
use http::{Method, StatusCode};
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_json::{job_body, parse_job_state};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval between two attempts of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two reads of a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the acceptance of a job to its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(700);

/// What a client saw of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobOutcome {
    /// The job.
    pub job: JobId,
    /// Its kind.
    pub kind: JobKind,
    /// Number of times the job was sent until it was accepted; 0 if it never was.
    pub submissions: u32,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The last state that the client read.
    pub state: Option<JobState>,
}

impl JobOutcome {
    /// Whether the job was accepted and ended in the state expected of its kind.
    pub fn is_as_expected(&self) -> bool {
        self.accepted && self.state == Some(self.kind.expected_state())
    }
}

/// The client of one job.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    /// The fronts, in the order in which they are called.
    pub(crate) fronts: Vec<SocketAddrV4>,
    /// When the client gives up.
    pub(crate) deadline: Instant,
}

impl Client {
    /// Submits a job and polls it until it ends.
    pub(crate) async fn run(self, job: JobId, kind: JobKind) -> JobOutcome {
        let mut outcome = JobOutcome {
            job,
            kind,
            submissions: 0,
            accepted: false,
            state: None,
        };
        let submission = HttpCall {
            body: job_body(&kind.spec()),
            ..call(Method::POST, job)
        };
        let accepted = HttpResponse::is_success;
        let Some(submissions) = self.send_until(&submission, accepted).await else {
            return outcome;
        };
        outcome.submissions = submissions;
        outcome.accepted = true;
        if kind == JobKind::Cancelled {
            self.cancel(job).await;
        }
        outcome.state = self.final_state(job).await;
        outcome
    }

    async fn cancel(&self, job: JobId) {
        sleep(CANCEL_AFTER).await;
        let answered =
            |response: &HttpResponse| response.is_success() || response.status == StatusCode::GONE;
        self.send_until(&call(Method::DELETE, job), answered).await;
    }

    /// Sends a call to one front after the other until a response is `sufficient`. Returns the number of attempts; `None`
    /// if the deadline passes first.
    async fn send_until(
        &self,
        call: &HttpCall,
        sufficient: impl Fn(&HttpResponse) -> bool,
    ) -> Option<u32> {
        let mut attempts = 0;
        for front in self.fronts.iter().cycle() {
            if Instant::now() >= self.deadline {
                return None;
            }
            attempts += 1;
            if send(*front, call).await.is_some_and(|r| sufficient(&r)) {
                return Some(attempts);
            }
            sleep(RETRY_INTERVAL).await;
        }
        None
    }

    /// Reads the job's state until it is final or the deadline passes. Returns the last state read.
    async fn final_state(&self, job: JobId) -> Option<JobState> {
        let read = call(Method::GET, job);
        let mut state = None;
        for front in self.fronts.iter().cycle() {
            let response = send(*front, &read).await;
            if let Some(response) = response.filter(HttpResponse::is_success) {
                state = parse_job_state(&response.body).ok().or(state);
            }
            if state.is_some_and(JobState::is_final) || Instant::now() >= self.deadline {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        state
    }
}

fn call(method: Method, job: JobId) -> HttpCall {
    HttpCall {
        method,
        path: format!("{PREFIX}{job}"),
        host: HOST.to_owned(),
        ..HttpCall::default()
    }
}
