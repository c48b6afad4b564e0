//! What the head does with calls.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, QueueName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::ControlState;

/// What becomes of a call at the head.
#[derive(Debug)]
pub enum Step {
    /// It waits for this operation.
    Submit(Operation),
    /// It waits for a barrier and is then looked at again.
    Barrier,
    /// It is answered.
    Answer(Reply),
}

/// The first look at a call, by the state that is applied here.
pub fn first_step(state: &ControlState, request: &Request, wall: WallMillis) -> Step {
    match request {
        Request::ChangeConfiguration(change) => {
            Step::Submit(Operation::ChangeConfiguration(change.clone()))
        }
        Request::SubmitJob { .. } | Request::CancelJob { .. } => {
            operation_on_job(state, request, wall).map_or(Step::Barrier, Step::Submit)
        }
        Request::ReadConfiguration
        | Request::ReadJob { .. }
        | Request::ReadQueue { .. }
        | Request::ConfirmView { .. } => Step::Barrier,
    }
}

/// The look at a call after a barrier: the applied state is certain now.
pub fn second_step(state: &ControlState, view: u64, request: &Request, wall: WallMillis) -> Step {
    match request {
        Request::SubmitJob { job, .. } => {
            let refusal = || Step::Answer(Reply::Error(refusal_of_job(state, *job)));
            operation_on_job(state, request, wall).map_or_else(refusal, Step::Submit)
        }
        Request::CancelJob { .. } => {
            let unknown = || Step::Answer(Reply::Error(unknown_queue(state)));
            operation_on_job(state, request, wall).map_or_else(unknown, Step::Submit)
        }
        Request::ReadConfiguration => {
            Step::Answer(Reply::ConfigurationDocument(state.document_json()))
        }
        Request::ReadJob { target, job } => {
            let known = state
                .job(*job)
                .filter(|record| Some(&record.queue) == queue_of(state, target));
            Step::Answer(match known {
                Some(record) => Reply::Job(record.state),
                None if state.configuration().version == 0 => Reply::Error(ErrorKind::NotTaken),
                None if queue_of(state, target).is_none() => Reply::Error(ErrorKind::UnknownQueue),
                None => Reply::Error(ErrorKind::UnknownJob),
            })
        }
        Request::ReadQueue { target } => Step::Answer(match queue_of(state, target) {
            Some(queue) => Reply::Pending(state.pending(queue)),
            None => Reply::Error(unknown_queue(state)),
        }),
        Request::ConfirmView { number } if *number == view => Step::Answer(Reply::Done),
        Request::ConfirmView { .. } => Step::Answer(Reply::Error(ErrorKind::Fenced)),
        Request::ChangeConfiguration(_) => first_step(state, request, wall),
    }
}

/// The answer to a call whose operation was applied.
pub fn reply_for(result: &OperationResult) -> Reply {
    match result {
        OperationResult::Done | OperationResult::Starts(_) => Reply::Done,
        OperationResult::Job(state) => Reply::Job(*state),
        OperationResult::Refused(kind) => Reply::Error(*kind),
    }
}

fn operation_on_job(
    state: &ControlState,
    request: &Request,
    wall: WallMillis,
) -> Option<Operation> {
    match request {
        Request::SubmitJob { target, job, spec } => {
            let queue = queue_of(state, target)?.clone();
            Some(Operation::AcceptJob {
                job: *job,
                queue,
                spec: spec.clone(),
                at: wall,
            })
        }
        Request::CancelJob { target, job } => {
            let queue = queue_of(state, target)?.clone();
            Some(Operation::CancelJob {
                job: *job,
                queue,
                at: wall,
            })
        }
        _ => None,
    }
}

fn queue_of<'a>(state: &'a ControlState, target: &Target) -> Option<&'a QueueName> {
    let route = state.configuration().route(&target.host, &target.path)?;
    Some(&route.name)
}

/// Why a job is not taken for whose target no queue is configured.
fn refusal_of_job(state: &ControlState, job: JobId) -> ErrorKind {
    if state.configuration().version == 0 {
        ErrorKind::NotTaken
    } else {
        state.refusal_without_queue(job)
    }
}

/// A queue that is not configured; before the first configuration nothing is known.
fn unknown_queue(state: &ControlState) -> ErrorKind {
    if state.configuration().version == 0 {
        ErrorKind::NotTaken
    } else {
        ErrorKind::UnknownQueue
    }
}
