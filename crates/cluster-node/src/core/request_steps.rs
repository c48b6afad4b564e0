//! How the head handles a request by its applied state. The first step runs when the request is received. The second
//! step runs after a barrier, when the applied state contains everything that was committed before the request was
//! received.

use lupinrack_cluster_api::configuration::Route;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, QueueName};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::ControlState;

/// The head's next action for a request.
#[derive(Debug)]
pub enum RequestStep {
    /// Append this operation, and reply once it is applied.
    Append(Operation),
    /// Handle the request again after a barrier.
    AwaitBarrier,
    /// Send this reply.
    Reply(Reply),
}

/// Handles a request before a barrier. The applied state may lack committed entries.
pub fn step_before_barrier(
    state: &ControlState,
    request: &Request,
    wall: WallMillis,
) -> RequestStep {
    match request {
        Request::ChangeConfiguration(change) => {
            RequestStep::Append(Operation::ChangeConfiguration(change.clone()))
        }
        Request::SubmitJob { .. } | Request::CancelJob { .. } => {
            append_or_await_barrier(job_operation(state, request, wall))
        }
        Request::ReadConfiguration
        | Request::ReadJob { .. }
        | Request::ReadQueue { .. }
        | Request::ConfirmView { .. } => RequestStep::AwaitBarrier,
    }
}

/// Handles a request after a barrier. `view` is the number of the view in which the barrier completed.
pub fn step_after_barrier(
    state: &ControlState,
    view: u64,
    request: &Request,
    wall: WallMillis,
) -> RequestStep {
    match request {
        Request::SubmitJob { target, job, .. } => {
            let operation = job_operation(state, request, wall);
            append_or_fail(operation, || job_rejection(state, target, *job))
        }
        Request::CancelJob { .. } => {
            let operation = job_operation(state, request, wall)
                .or_else(|| cancellation_on_former_route(state, request, wall));
            append_or_fail(operation, || unknown_queue(state))
        }
        Request::ReadConfiguration => {
            RequestStep::Reply(Reply::ConfigurationDocument(state.document_json()))
        }
        Request::ReadJob { target, job } => RequestStep::Reply(read_job(state, target, *job)),
        Request::ReadQueue { target } => RequestStep::Reply(match queue_of(state, target) {
            Some(queue) => Reply::Pending(state.pending(queue)),
            None => Reply::Error(unknown_queue(state)),
        }),
        Request::ConfirmView { number } if *number == view => RequestStep::Reply(Reply::Done),
        Request::ConfirmView { .. } => RequestStep::Reply(Reply::Error(ErrorKind::Fenced)),
        Request::ChangeConfiguration(_) => step_before_barrier(state, request, wall),
    }
}

fn append_or_await_barrier(operation: Option<Operation>) -> RequestStep {
    operation.map_or(RequestStep::AwaitBarrier, RequestStep::Append)
}

fn append_or_fail(operation: Option<Operation>, error: impl Fn() -> ErrorKind) -> RequestStep {
    operation.map_or_else(
        || RequestStep::Reply(Reply::Error(error())),
        RequestStep::Append,
    )
}

/// The reply to a request whose operation was applied to this state. A cancellation below an address that no route serves
/// any more is acknowledged by [`ErrorKind::UnknownJob`]: success would show a removed route in service.
pub fn reply_after(state: &ControlState, request: &Request, result: &OperationResult) -> Reply {
    match (request, result) {
        (Request::CancelJob { target, .. }, OperationResult::Job(_))
            if route_of(state, target).is_none() =>
        {
            Reply::Error(ErrorKind::UnknownJob)
        }
        _ => reply_for(result),
    }
}

/// The reply for the result of an operation.
pub fn reply_for(result: &OperationResult) -> Reply {
    match result {
        OperationResult::Done | OperationResult::Starts(_) => Reply::Done,
        OperationResult::Job(state) => Reply::Job(*state),
        OperationResult::Refused(kind) => Reply::Error(*kind),
    }
}

/// The reply to a read of a job. A job is found in its own queue only, which is not a matter of the route's name: routes
/// may be renamed while their jobs run.
fn read_job(state: &ControlState, target: &Target, job: JobId) -> Reply {
    if route_of(state, target).is_none() {
        return Reply::Error(unknown_queue(state));
    }
    match state.read_job(target, job) {
        Some(record) => Reply::Job(record.state),
        None => Reply::Error(ErrorKind::UnknownJob),
    }
}

/// Cancels a job below an address that no route serves any more: the job still runs, and its client can only call there.
fn cancellation_on_former_route(
    state: &ControlState,
    request: &Request,
    wall: WallMillis,
) -> Option<Operation> {
    let Request::CancelJob { target, job } = request else {
        return None;
    };
    state.called_job(target, *job)?;
    operation_for(request, wall)
}

/// The operation for a submission or cancellation of a job; none if no route serves its target.
fn job_operation(state: &ControlState, request: &Request, wall: WallMillis) -> Option<Operation> {
    let (Request::SubmitJob { target, .. } | Request::CancelJob { target, .. }) = request else {
        return None;
    };
    route_of(state, target)?;
    operation_for(request, wall)
}

fn operation_for(request: &Request, at: WallMillis) -> Option<Operation> {
    match request {
        Request::SubmitJob { target, job, spec } => Some(Operation::AcceptJobAt {
            target: target.clone(),
            job: *job,
            spec: spec.clone(),
            at,
        }),
        Request::CancelJob { target, job } => Some(Operation::CancelJobAt {
            target: target.clone(),
            job: *job,
            at,
        }),
        _ => None,
    }
}

fn route_of<'a>(state: &'a ControlState, target: &Target) -> Option<&'a Route> {
    state.configuration().route(&target.host, &target.path)
}

fn queue_of<'a>(state: &'a ControlState, target: &Target) -> Option<&'a QueueName> {
    route_of(state, target).map(|route| &route.name)
}

/// The error for a job whose target has no configured queue.
fn job_rejection(state: &ControlState, target: &Target, job: JobId) -> ErrorKind {
    if state.configuration().version == 0 {
        ErrorKind::NotTaken
    } else {
        state.refusal_without_queue(target, job)
    }
}

/// The error for a queue that is not configured. Before the first configuration it is unknown whether the queue exists.
fn unknown_queue(state: &ControlState) -> ErrorKind {
    if state.configuration().version == 0 {
        ErrorKind::NotTaken
    } else {
        ErrorKind::UnknownQueue
    }
}
