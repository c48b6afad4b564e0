//! Jobs that are submitted while a change of the configuration is being committed.

mod network;
mod shop;

use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::request::{Reply, Request};
use network::Network;
use shop::{read_of_job, read_of_queue, replacement, submission, NamedPrefix, BILLS, JOB, ORDERS};

/// The time limit of a call, in simulated milliseconds.
const CALL_MS: u64 = 2_000;
/// The time in which three processes found a view, in simulated milliseconds.
const FOUNDED_MS: u64 = 2_000;
/// A change is committed within this time, in simulated milliseconds.
const COMMITTED_MS: u64 = 30;

fn call(network: &mut Network, process: usize, request: Request) -> Reply {
    let mut reply = network.call(process, request, CALL_MS);
    network.advance_ms(CALL_MS);
    reply.try_recv().expect("the call is answered in time")
}

/// Submits a job below `/orders/` this long after a change to these routes was sent.
fn submit_during_change(routes: &[NamedPrefix], after_ms: u64) -> (Network, Reply) {
    let mut network = Network::new(3);
    network.advance_ms(FOUNDED_MS);
    let first = Request::ChangeConfiguration(replacement(0, &[ORDERS, BILLS]));
    assert_eq!(call(&mut network, 0, first), Reply::Done);
    let second = Request::ChangeConfiguration(replacement(1, routes));
    let mut acknowledgement = network.call(1, second, CALL_MS);
    network.advance_ms(after_ms);
    let reply = call(&mut network, 2, submission("/orders/", JOB));
    assert_eq!(acknowledgement.try_recv(), Ok(Reply::Done));
    (network, reply)
}

/// Guards against 404 for a job whose route gets another name between the job's arrival and its acceptance.
#[test]
fn a_job_that_arrives_while_its_route_is_renamed_is_accepted() {
    for after_ms in 0..COMMITTED_MS {
        let (mut network, reply) = submit_during_change(&[("purchases", "/orders/")], after_ms);
        assert_eq!(reply, Reply::Job(JobState::Queued), "after {after_ms} ms");
        let read = call(&mut network, 0, read_of_job("/orders/", JOB));
        assert_eq!(read, Reply::Job(JobState::Queued), "after {after_ms} ms");
    }
}

/// Guards against a job that is accepted into another queue, and so run by its service, since the names were swapped.
#[test]
fn a_job_that_arrives_while_routes_swap_names_is_accepted_into_its_own_queue() {
    let swapped = [("bills", "/orders/"), ("orders", "/bills/")];
    for after_ms in 0..COMMITTED_MS {
        let (mut network, reply) = submit_during_change(&swapped, after_ms);
        assert_eq!(reply, Reply::Job(JobState::Queued), "after {after_ms} ms");
        let orders = call(&mut network, 0, read_of_queue("/orders/"));
        let bills = call(&mut network, 0, read_of_queue("/bills/"));
        assert_eq!(
            (orders, bills),
            (Reply::Pending(1), Reply::Pending(0)),
            "after {after_ms} ms"
        );
    }
}
