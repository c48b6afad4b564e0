//! How the head answers for jobs of different queues that have the same identity. Clients of each queue choose the
//! identities of their jobs.

mod shop;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_cluster_node::core::request_steps::{
    reply_after, step_after_barrier, step_before_barrier, RequestStep,
};
use lupinrack_control_state::ControlState;
use shop::{
    cancellation, read_of_job, read_of_queue, replacement, submission, NamedPrefix, BILLS, JOB,
    ORDERS,
};

const WALL: WallMillis = WallMillis(1_700_000_000_000);
const VIEW: u64 = 3;
const QUEUED: Reply = Reply::Job(JobState::Queued);
const CANCELLED: Reply = Reply::Job(JobState::Cancelled);
const NO_SUCH_JOB: Reply = Reply::Error(ErrorKind::UnknownJob);
const NO_SUCH_QUEUE: Reply = Reply::Error(ErrorKind::UnknownQueue);

fn put(state: &mut ControlState, routes: &[NamedPrefix]) {
    let change = replacement(state.configuration().version, routes);
    let result = state.apply(&Operation::ChangeConfiguration(change));
    assert_eq!(result, OperationResult::Done);
}

/// The answer to a call; what it appends is applied at once.
fn call(state: &mut ControlState, request: &Request) -> Reply {
    let mut step = step_before_barrier(state, request, WALL);
    if matches!(step, RequestStep::AwaitBarrier) {
        step = step_after_barrier(state, VIEW, request, WALL);
    }
    match step {
        RequestStep::Append(operation) => {
            let result = state.apply(&operation);
            reply_after(state, request, &result)
        }
        RequestStep::Reply(reply) => reply,
        RequestStep::AwaitBarrier => panic!("{request:?} waits for a second barrier"),
    }
}

fn submit(state: &mut ControlState, prefix: &str, job: JobId) -> Reply {
    call(state, &submission(prefix, job))
}

fn read(state: &mut ControlState, prefix: &str) -> Reply {
    call(state, &read_of_job(prefix, JOB))
}

fn cancel(state: &mut ControlState, prefix: &str) -> Reply {
    call(state, &cancellation(prefix, JOB))
}

fn pending(state: &mut ControlState, prefix: &str) -> Reply {
    call(state, &read_of_queue(prefix))
}

fn with_routes(routes: &[NamedPrefix]) -> ControlState {
    let mut state = ControlState::default();
    put(&mut state, routes);
    state
}

/// A state with a job of the same identity in both queues.
fn with_both() -> ControlState {
    let mut state = with_routes(&[ORDERS, BILLS]);
    assert_eq!(submit(&mut state, "/orders/", JOB), QUEUED);
    assert_eq!(submit(&mut state, "/bills/", JOB), QUEUED);
    state
}

/// Guards against a job that is answered 200 and then 410, since a job of another queue has its identity.
#[test]
fn a_job_is_kept_though_another_queue_has_one_of_its_identity() {
    let mut state = with_both();
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
    assert_eq!(read(&mut state, "/bills/"), QUEUED);
    for prefix in ["/orders/", "/bills/"] {
        assert_eq!(pending(&mut state, prefix), Reply::Pending(1), "{prefix}");
        assert_eq!(submit(&mut state, prefix, JOB), QUEUED, "{prefix} again");
        assert_eq!(pending(&mut state, prefix), Reply::Pending(1), "{prefix}");
    }
}

/// Guards against a cancellation that ends the job of another queue.
#[test]
fn a_cancellation_at_one_queue_leaves_the_job_of_another_alone() {
    let mut state = with_both();
    assert_eq!(cancel(&mut state, "/bills/"), CANCELLED);
    assert_eq!(read(&mut state, "/bills/"), CANCELLED);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
    assert_eq!(pending(&mut state, "/orders/"), Reply::Pending(1));
    assert_eq!(pending(&mut state, "/bills/"), Reply::Pending(0));
    assert_eq!(submit(&mut state, "/bills/", JOB), CANCELLED, "a retry");

    let mut state = with_routes(&[ORDERS, BILLS]);
    assert_eq!(submit(&mut state, "/orders/", JOB), QUEUED);
    assert_eq!(cancel(&mut state, "/bills/"), NO_SUCH_JOB);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
}

/// Guards against a cancellation at a longer prefix, which has another queue, that ends the job of the shorter one.
#[test]
fn a_cancellation_at_a_longer_prefix_leaves_the_job_of_the_shorter_one_alone() {
    let express: NamedPrefix = ("express", "/orders/express/");
    let mut state = with_routes(&[ORDERS, express]);
    assert_eq!(submit(&mut state, "/orders/", JOB), QUEUED);
    assert_eq!(cancel(&mut state, "/orders/express/"), NO_SUCH_JOB);
    assert_eq!(submit(&mut state, "/orders/express/", JOB), QUEUED);
    assert_eq!(cancel(&mut state, "/orders/express/"), CANCELLED);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
    put(&mut state, &[ORDERS]);
    assert_eq!(read(&mut state, "/orders/express/"), CANCELLED);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
    put(&mut state, &[BILLS]);
    assert_eq!(cancel(&mut state, "/orders/express/"), NO_SUCH_JOB);
    put(&mut state, &[ORDERS, express]);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
}

/// Guards against namesakes that are mixed up once their routes are renamed, swap names, are removed or come back.
#[test]
fn namesakes_keep_to_their_addresses_whatever_becomes_of_their_routes() {
    let mut state = with_both();
    assert_eq!(cancel(&mut state, "/bills/"), CANCELLED);
    let changes: [&[NamedPrefix]; 5] = [
        &[("purchases", "/orders/"), BILLS],
        &[("bills", "/orders/"), ("purchases", "/bills/")],
        &[("root", "/")],
        &[("orders", "/bills/"), ("root", "/")],
        &[ORDERS, BILLS],
    ];
    for routes in changes {
        put(&mut state, routes);
        assert_eq!(read(&mut state, "/orders/"), QUEUED, "{routes:?}");
        assert_eq!(read(&mut state, "/bills/"), CANCELLED, "{routes:?}");
        assert_eq!(submit(&mut state, "/orders/", JOB), QUEUED, "{routes:?}");
        assert_eq!(submit(&mut state, "/bills/", JOB), CANCELLED, "{routes:?}");
    }
    put(&mut state, &[BILLS]);
    assert_eq!(cancel(&mut state, "/orders/"), NO_SUCH_JOB, "acknowledged");
    assert_eq!(cancel(&mut state, "/sales/"), NO_SUCH_QUEUE);
    put(&mut state, &[ORDERS, BILLS]);
    assert_eq!(read(&mut state, "/orders/"), CANCELLED);
}

/// Guards against a retry that adds a second job, and against a job that cannot be cancelled, after a route with a longer
/// prefix has taken over the path at which it was submitted.
#[test]
fn a_job_is_known_where_it_was_submitted_though_another_prefix_served_it_then() {
    let mut state = with_routes(&[("root", "/")]);
    assert_eq!(submit(&mut state, "/orders/", JOB), QUEUED);
    assert_eq!(submit(&mut state, "/bills/", JOB), QUEUED);
    assert_eq!(state.jobs().len(), 2);
    put(&mut state, &[ORDERS, BILLS]);
    for prefix in ["/orders/", "/bills/"] {
        assert_eq!(submit(&mut state, prefix, JOB), QUEUED, "a retry");
    }
    assert_eq!(state.jobs().len(), 2);
    assert_eq!(cancel(&mut state, "/bills/"), CANCELLED);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
    put(&mut state, &[("root", "/"), BILLS]);
    assert_eq!(cancel(&mut state, "/orders/"), CANCELLED);
}

/// Guards against a job in the place of a moved route that counts as accepted because the route's earlier job has its
/// identity.
#[test]
fn a_job_at_the_new_place_of_a_route_is_not_the_one_at_its_former_place() {
    let mut state = with_routes(&[ORDERS, BILLS]);
    assert_eq!(submit(&mut state, "/orders/", JOB), QUEUED);
    put(&mut state, &[("orders", "/purchases/"), ("root", "/")]);
    assert_eq!(cancel(&mut state, "/purchases/"), NO_SUCH_JOB);
    assert_eq!(submit(&mut state, "/purchases/", JOB), QUEUED);
    assert_eq!(cancel(&mut state, "/purchases/"), CANCELLED);
    assert_eq!(read(&mut state, "/purchases/"), CANCELLED);
    assert_eq!(read(&mut state, "/orders/"), QUEUED);
}
