//! How the head answers for accepted jobs after changes of the routes on which they were accepted. Clients call a host
//! and a path, and never see the name of a route.

mod shop;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, QueueName};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, Operation, OperationResult,
};
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_cluster_node::core::request_steps::{
    reply_after, step_after_barrier, step_before_barrier, RequestStep,
};
use lupinrack_control_state::ControlState;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use shop::{
    cancellation, read_of_job, read_of_queue, replacement, route, submission, NamedPrefix, BILLS,
    JOB, ORDERS,
};

const WALL: WallMillis = WallMillis(1_700_000_000_000);
const VIEW: u64 = 3;
/// Histories of changes in the property test.
const HISTORIES: u64 = 300;

fn change(state: &mut ControlState, change: ConfigurationChange) {
    let result = state.apply(&Operation::ChangeConfiguration(change));
    assert_eq!(result, OperationResult::Done);
}

/// Replaces the configuration.
fn put(state: &mut ControlState, routes: &[NamedPrefix]) {
    change(state, replacement(state.configuration().version, routes));
}

/// Submits a job below this prefix; the head accepts it.
fn submit(state: &mut ControlState, prefix: &str, job: JobId) {
    let step = step_before_barrier(state, &submission(prefix, job), WALL);
    let RequestStep::Append(operation) = step else {
        panic!("the queue of {prefix} is not known");
    };
    assert!(matches!(state.apply(&operation), OperationResult::Job(_)));
}

/// The answer to a call that appends nothing.
fn answer(state: &ControlState, request: &Request) -> Reply {
    match step_after_barrier(state, VIEW, request, WALL) {
        RequestStep::Reply(reply) => reply,
        step => panic!("{request:?} is answered at once, not {step:?}"),
    }
}

/// The answer to a read of a job below this prefix.
fn read(state: &ControlState, prefix: &str, job: JobId) -> Reply {
    answer(state, &read_of_job(prefix, job))
}

const QUEUED: Reply = Reply::Job(JobState::Queued);
const NO_SUCH_JOB: Reply = Reply::Error(ErrorKind::UnknownJob);
const NO_SUCH_QUEUE: Reply = Reply::Error(ErrorKind::UnknownQueue);

/// A state with a job that was accepted below this prefix.
fn with_job(routes: &[NamedPrefix], prefix: &str) -> ControlState {
    let mut state = ControlState::default();
    put(&mut state, routes);
    submit(&mut state, prefix, JOB);
    assert_eq!(read(&state, prefix, JOB), QUEUED);
    state
}

/// Guards against 410 for an accepted job after a change that gives its route another name.
#[test]
fn a_job_is_found_after_its_route_was_renamed() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    let patch = format!(
        r#"{{"version":2,"upsert":{{"routes":[{}]}},"remove":{{"routes":["orders"]}}}}"#,
        route(&("purchases", "/orders/"))
    );
    let rename = ConfigurationChange {
        if_match: 1,
        body: ConfigurationBody::Patch(patch),
    };
    change(&mut state, rename);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    assert_eq!(read(&state, "/bills/", JOB), NO_SUCH_JOB);
}

/// Guards against 410 for the jobs of two routes that swap their names.
#[test]
fn jobs_are_found_after_their_routes_swapped_names() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    submit(&mut state, "/bills/", JobId(8));
    put(&mut state, &[("bills", "/orders/"), ("orders", "/bills/")]);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    assert_eq!(read(&state, "/bills/", JobId(8)), QUEUED);
    assert_eq!(read(&state, "/bills/", JOB), NO_SUCH_JOB);
    assert_eq!(read(&state, "/orders/", JobId(8)), NO_SUCH_JOB);
}

/// Guards against 410 for a job whose path a route with a shorter or longer prefix serves after a change.
#[test]
fn a_job_is_found_through_a_route_with_another_prefix_of_its_path() {
    let short = ("all", "/orders/");
    let long = ("express", "/orders/express/");
    let mut state = with_job(&[short, long, BILLS], "/orders/express/");
    put(&mut state, &[short, BILLS]);
    assert_eq!(read(&state, "/orders/express/", JOB), QUEUED);
    assert_eq!(read(&state, "/bills/", JOB), NO_SUCH_JOB);

    let mut state = with_job(&[short], "/orders/");
    put(&mut state, &[short, ("zeros", "/orders/00")]);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
}

/// Guards against 410 for a job whose route was removed and came back under another name.
#[test]
fn a_job_is_found_when_its_route_comes_back_under_another_name() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    put(&mut state, &[BILLS]);
    assert_eq!(read(&state, "/orders/", JOB), NO_SUCH_QUEUE);
    put(&mut state, &[BILLS, ("sales", "/sales/")]);
    put(&mut state, &[BILLS, ("purchases", "/orders/")]);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    put(&mut state, &[BILLS, ORDERS]);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    assert_eq!(read(&state, "/bills/", JOB), NO_SUCH_JOB);
}

/// Guards against 410 for a job whose route was moved, at its former address and at the new one.
#[test]
fn a_job_is_found_where_its_route_was_moved_and_where_it_was_accepted() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    put(
        &mut state,
        &[("orders", "/purchases/"), ("root", "/"), BILLS],
    );
    assert_eq!(read(&state, "/purchases/", JOB), QUEUED);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    assert_eq!(read(&state, "/bills/", JOB), NO_SUCH_JOB);
}

/// A state's bytes with another name, of the same length, in the record of its job. The name is followed by that of the
/// service there, and nowhere else.
fn with_queue_of_job_renamed(bytes: &[u8], from: &str, to: &str) -> Vec<u8> {
    let record = |name: &str| {
        borsh::to_vec(&(name.to_owned(), "search".to_owned())).expect("it can be encoded")
    };
    let (from, to) = (record(from), record(to));
    let places: Vec<usize> = (0..bytes.len())
        .filter(|place| bytes[*place..].starts_with(&from))
        .collect();
    let [place] = places[..] else {
        panic!("the name of the queue is at {places:?}");
    };
    [&bytes[..place], &to, &bytes[place + from.len()..]].concat()
}

/// Guards against 410 after an upgrade, for a job whose route the version before had renamed: it kept only the name.
#[test]
fn a_job_is_found_if_the_name_of_its_route_was_removed_by_the_version_before() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    let bytes = state.to_bytes().expect("the state can be encoded");
    state = ControlState::from_bytes(&with_queue_of_job_renamed(&bytes, "orders", "ledger"))
        .expect("the state can be decoded");
    let names: Vec<QueueName> = state
        .jobs()
        .values()
        .map(|job| job.queue.name.clone())
        .collect();
    assert_eq!(names, [QueueName("ledger".to_owned())]);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    put(&mut state, &[BILLS, ("purchases", "/orders/")]);
    assert_eq!(read(&state, "/orders/", JOB), QUEUED);
    assert_eq!(read(&state, "/orders/", JobId(8)), NO_SUCH_JOB);
}

fn pending(state: &ControlState, prefix: &str) -> Reply {
    answer(state, &read_of_queue(prefix))
}

/// Guards against a pending count of 0 at a queue whose jobs wait, after their route was renamed, swapped names, gave its
/// paths to a shorter prefix, came back or was moved.
#[test]
fn a_queue_counts_its_jobs_whatever_became_of_their_route() {
    let (none, one) = (Reply::Pending(0), Reply::Pending(1));
    let root = ("root", "/");
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    put(&mut state, &[("purchases", "/orders/"), BILLS]);
    assert_eq!(pending(&state, "/orders/"), one, "renamed");
    put(
        &mut state,
        &[("bills", "/orders/"), ("purchases", "/bills/")],
    );
    assert_eq!(pending(&state, "/orders/"), one, "names swapped");
    assert_eq!(pending(&state, "/bills/"), none, "names swapped");
    put(&mut state, &[root, ("purchases", "/bills/")]);
    assert_eq!(pending(&state, "/"), one, "served by a shorter prefix");
    assert_eq!(
        pending(&state, "/bills/"),
        none,
        "served by a shorter prefix"
    );
    put(&mut state, &[root, ORDERS, BILLS]);
    assert_eq!(pending(&state, "/"), none, "come back");
    assert_eq!(pending(&state, "/orders/"), one, "come back");
    put(&mut state, &[("orders", "/sales/"), BILLS]);
    assert_eq!(pending(&state, "/sales/"), one, "moved");
    assert_eq!(pending(&state, "/bills/"), none, "moved");
}

/// Guards against 404 for the retry of an accepted job's submission, whose first answer was lost, after the name of its
/// route was given to another prefix.
#[test]
fn a_retry_at_a_removed_address_is_in_doubt_though_the_name_of_its_route_is_in_use() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    put(&mut state, &[("orders", "/sales/"), BILLS]);
    let retry = answer(&state, &submission("/orders/", JOB));
    assert_eq!(retry, Reply::Error(ErrorKind::InDoubt));
    let other = answer(&state, &submission("/orders/", JobId(8)));
    assert_eq!(other, NO_SUCH_QUEUE);
}

/// Guards against a lasting job that nobody can end, since its route was removed: each cancellation was answered 404.
#[test]
fn a_job_can_be_cancelled_after_its_route_was_removed() {
    let mut state = with_job(&[ORDERS, BILLS], "/orders/");
    put(&mut state, &[BILLS]);
    for request in [
        cancellation("/orders/", JobId(8)),
        cancellation("/sales/", JOB),
    ] {
        assert_eq!(answer(&state, &request), NO_SUCH_QUEUE, "{request:?}");
    }
    let request = cancellation("/orders/", JOB);
    let RequestStep::AwaitBarrier = step_before_barrier(&state, &request, WALL) else {
        panic!("the route may be in a configuration that is not applied yet");
    };
    for _ in 0..2 {
        let RequestStep::Append(operation) = step_after_barrier(&state, VIEW, &request, WALL)
        else {
            panic!("the job is known, so it is cancelled");
        };
        let result = state.apply(&operation);
        assert_eq!(result, OperationResult::Job(JobState::Cancelled));
        assert_eq!(reply_after(&state, &request, &result), NO_SUCH_JOB);
    }
    put(&mut state, &[BILLS, ORDERS]);
    let cancelled = Reply::Job(JobState::Cancelled);
    assert_eq!(read(&state, "/orders/", JOB), cancelled);
}

/// The names and prefixes that the histories draw from. Some prefixes contain others.
const NAMES: [&str; 4] = ["one", "two", "three", "four"];
const PREFIXES: [&str; 6] = ["/", "/a/", "/a/b/", "/a/b/00", "/c/", "/c/d/"];

/// The routes of one configuration, with different names and different prefixes.
#[derive(Clone, Debug)]
struct Routes(Vec<NamedPrefix>);

impl Arbitrary for Routes {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut routes: Vec<NamedPrefix> = Vec::new();
        for name in NAMES {
            let prefix = *g.choose(&PREFIXES).expect("there are prefixes");
            let is_free = routes.iter().all(|(_, taken)| *taken != prefix);
            if is_free && bool::arbitrary(g) {
                routes.push((name, prefix));
            }
        }
        Routes(routes)
    }
}

impl Routes {
    /// The route with the longest prefix of this path.
    fn route(&self, path: &str) -> Option<NamedPrefix> {
        let serving = self.0.iter().filter(|(_, prefix)| path.starts_with(prefix));
        serving.max_by_key(|(_, prefix)| prefix.len()).copied()
    }

    /// The name of the route with exactly this prefix.
    fn name_at(&self, prefix: &str) -> Option<&'static str> {
        let mut at = self.0.iter().filter(|(_, other)| *other == prefix);
        at.next().map(|(name, _)| *name)
    }
}

/// Guards against 410 for an accepted job after any history of changes, and against an answer for a job of another queue.
#[test]
fn a_job_is_found_at_its_address_and_in_no_other_queue_whatever_changes() {
    fn property(prefix: u8, changes: Vec<Routes>) -> bool {
        let prefix = PREFIXES[usize::from(prefix) % PREFIXES.len()];
        let mut state = with_job(&[("first", prefix)], prefix);
        let mut names = vec!["first"];
        for routes in changes {
            put(&mut state, &routes.0);
            names.extend(routes.name_at(prefix));
            for asked in PREFIXES {
                let route = routes.route(&format!("{asked}{JOB}"));
                let is_below = format!("{asked}{JOB}").starts_with(prefix);
                let expected = match route {
                    None => NO_SUCH_QUEUE,
                    Some(_) if is_below => QUEUED,
                    Some((name, _)) if names.contains(&name) => continue,
                    Some(_) => NO_SUCH_JOB,
                };
                assert_eq!(
                    read(&state, asked, JOB),
                    expected,
                    "{asked} after {routes:?}"
                );
            }
            let bytes = state.to_bytes().expect("the state can be encoded");
            assert_eq!(ControlState::from_bytes(&bytes), Ok(state.clone()));
        }
        true
    }
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(property as fn(u8, Vec<Routes>) -> bool);
}
