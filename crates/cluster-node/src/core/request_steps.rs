//! What the head does with a request, by the state that is applied: the first look when it comes, the second after a
//! barrier, when the applied state is known to hold everything that was committed before the request came.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, QueueName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::ControlState;

/// What the head does next with a request.
#[derive(Debug)]
pub enum RequestStep {
    /// Appends this operation, and replies once it is applied.
    Append(Operation),
    /// Looks at it again after a barrier.
    AwaitBarrier,
    /// Replies.
    Reply(Reply),
}

/// The first look at a request, by the state that is applied here, which may be older than what was committed.
pub fn first_step(state: &ControlState, request: &Request, wall: WallMillis) -> RequestStep {
    match request {
        Request::ChangeConfiguration(change) => {
            RequestStep::Append(Operation::ChangeConfiguration(change.clone()))
        }
        Request::SubmitJob { .. } | Request::CancelJob { .. } => {
            operation_on_job(state, request, wall)
                .map_or(RequestStep::AwaitBarrier, RequestStep::Append)
        }
        Request::ReadConfiguration
        | Request::ReadJob { .. }
        | Request::ReadQueue { .. }
        | Request::ConfirmView { .. } => RequestStep::AwaitBarrier,
    }
}

/// The look at a request after a barrier. `view` is the number of the view in which the barrier completed.
pub fn second_step(
    state: &ControlState,
    view: u64,
    request: &Request,
    wall: WallMillis,
) -> RequestStep {
    match request {
        Request::SubmitJob { job, .. } => {
            let refusal = || RequestStep::Reply(Reply::Error(job_rejection(state, *job)));
            operation_on_job(state, request, wall).map_or_else(refusal, RequestStep::Append)
        }
        Request::CancelJob { .. } => {
            let unknown = || RequestStep::Reply(Reply::Error(unknown_queue(state)));
            operation_on_job(state, request, wall).map_or_else(unknown, RequestStep::Append)
        }
        Request::ReadConfiguration => {
            RequestStep::Reply(Reply::ConfigurationDocument(state.document_json()))
        }
        Request::ReadJob { target, job } => {
            let known = state
                .job(*job)
                .filter(|record| Some(&record.queue) == queue_of(state, target));
            RequestStep::Reply(match known {
                Some(record) => Reply::Job(record.state),
                None if state.configuration().version == 0 => Reply::Error(ErrorKind::NotTaken),
                None if queue_of(state, target).is_none() => Reply::Error(ErrorKind::UnknownQueue),
                None => Reply::Error(ErrorKind::UnknownJob),
            })
        }
        Request::ReadQueue { target } => RequestStep::Reply(match queue_of(state, target) {
            Some(queue) => Reply::Pending(state.pending(queue)),
            None => Reply::Error(unknown_queue(state)),
        }),
        Request::ConfirmView { number } if *number == view => RequestStep::Reply(Reply::Done),
        Request::ConfirmView { .. } => RequestStep::Reply(Reply::Error(ErrorKind::Fenced)),
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
fn job_rejection(state: &ControlState, job: JobId) -> ErrorKind {
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
