//! What becomes of an order that a partitioned head has appended and nobody has committed.

mod network;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_control_state::check_configuration;
use network::operator::{full_configuration, patch};
use network::Network;
use tokio::sync::oneshot::Receiver;

const WAIT_MS: u64 = 850;
/// Long enough for another head and its first answers.
const TAKEOVER_MS: u64 = 2_500;

fn order(if_match: u64, body: ConfigurationBody) -> Request {
    Request::ChangeConfiguration(ConfigurationChange { if_match, body })
}

/// Calls a process and waits for its answer.
fn call(network: &mut Network, process: usize, request: Request) -> Reply {
    let reply = network.call(process, request, WAIT_MS);
    network.pass(WAIT_MS + 30);
    answer(reply)
}

fn answer(mut reply: Receiver<Reply>) -> Reply {
    reply
        .try_recv()
        .expect("every call is answered within its time")
}

/// Version 1 in force at three processes, with the head as number 0.
fn configured() -> Network {
    let mut network = Network::new(3);
    network.pass(2_000);
    assert_eq!(
        call(&mut network, 1, order(0, full_configuration(1, 1))),
        Reply::Done
    );
    network
}

/// The version in force, and the orders by whose marks it is known, as a process answers.
fn read(network: &mut Network, process: usize) -> (u64, Vec<String>) {
    let Reply::ConfigurationDocument(text) = call(network, process, Request::ReadConfiguration)
    else {
        panic!("the configuration is read");
    };
    let configuration = check_configuration(&text).expect("it is one");
    (
        configuration.version,
        configuration
            .routes
            .into_iter()
            .map(|route| route.name.0)
            .collect(),
    )
}

fn isolate(network: &mut Network, process: usize, inward: bool, outward: bool) {
    for other in (0..3).filter(|other| *other != process) {
        if inward {
            network.partition(other, process);
        }
        if outward {
            network.partition(process, other);
        }
    }
}

#[test]
fn an_uncommitted_change_is_left_in_doubt_and_taken_once_when_it_is_sent_again() {
    let mut network = configured();
    isolate(&mut network, 0, true, true);
    let lost = order(1, patch(2, 2));
    assert_eq!(
        call(&mut network, 0, lost.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.pass(TAKEOVER_MS);
    assert_eq!(
        read(&mut network, 1),
        (1, vec!["mark-1".to_owned()]),
        "nobody serves it"
    );
    assert_eq!(
        call(&mut network, 0, Request::ReadConfiguration),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.heal();
    network.pass(TAKEOVER_MS);
    for process in 0..3 {
        assert_eq!(call(&mut network, process, lost.clone()), Reply::Done);
        assert_eq!(read(&mut network, process).0, 2);
    }
}

#[test]
fn an_uncommitted_change_is_refused_once_another_has_won_and_never_before() {
    let mut network = configured();
    isolate(&mut network, 0, true, true);
    let lost = order(1, patch(2, 2));
    assert_eq!(
        call(&mut network, 0, lost.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.pass(TAKEOVER_MS);
    assert_eq!(
        call(&mut network, 1, order(1, patch(2, 3))),
        Reply::Done,
        "under the same number"
    );
    assert_eq!(
        call(&mut network, 0, lost.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.heal();
    network.pass(TAKEOVER_MS);
    for process in 0..3 {
        assert_eq!(
            call(&mut network, process, lost.clone()),
            Reply::Error(ErrorKind::VersionConflict)
        );
        assert_eq!(
            read(&mut network, process),
            (2, vec!["mark-1".to_owned(), "mark-3".to_owned()])
        );
    }
}

#[test]
fn an_uncommitted_change_may_be_taken_by_the_others_and_is_acknowledged_then() {
    // The others receive from the head, which receives from nobody: they have the order, and nobody knows that all do.
    let mut network = configured();
    isolate(&mut network, 0, true, false);
    let lost = order(1, patch(2, 2));
    assert_eq!(
        call(&mut network, 0, lost.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    isolate(&mut network, 0, true, true);
    network.pass(TAKEOVER_MS);
    let before = read(&mut network, 1);
    assert_eq!(call(&mut network, 2, lost.clone()), Reply::Done);
    let after = read(&mut network, 1);
    assert_eq!(after, (2, vec!["mark-1".to_owned(), "mark-2".to_owned()]));
    assert!(before == after || before.0 == 1);
    network.heal();
    network.pass(TAKEOVER_MS);
    for process in 0..3 {
        assert_eq!(call(&mut network, process, lost.clone()), Reply::Done);
        assert_eq!(read(&mut network, process), after);
    }
}

#[test]
fn two_entries_of_one_change_in_the_log_are_one_change() {
    let mut network = configured();
    let twice = order(1, patch(2, 2));
    let first = network.call(0, twice.clone(), WAIT_MS);
    let second = network.call(1, twice.clone(), WAIT_MS);
    let other = network.call(2, order(1, patch(2, 3)), WAIT_MS);
    network.pass(WAIT_MS + 30);
    assert_eq!((answer(first), answer(second)), (Reply::Done, Reply::Done));
    assert_eq!(answer(other), Reply::Error(ErrorKind::VersionConflict));
    assert_eq!(
        read(&mut network, 2),
        (2, vec!["mark-1".to_owned(), "mark-2".to_owned()])
    );
}
