//! A partitioned head has appended a configuration change that is not committed. Its caller is told that the outcome is in
//! doubt until the other processes decide.

mod network;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_control_state::check_configuration;
use network::operator::{full_configuration, patch};
use network::Network;
use tokio::sync::oneshot::Receiver;

const WAIT_MS: u64 = 850;
/// Long enough for another process to become head and answer.
const TAKEOVER_MS: u64 = 2_500;

fn change(if_match: u64, body: ConfigurationBody) -> Request {
    Request::ChangeConfiguration(ConfigurationChange { if_match, body })
}

/// Calls a process and waits for its answer.
fn call(network: &mut Network, process: usize, request: Request) -> Reply {
    let reply = network.call(process, request, WAIT_MS);
    network.advance_ms(WAIT_MS + 30);
    answer(reply)
}

fn answer(mut reply: Receiver<Reply>) -> Reply {
    reply
        .try_recv()
        .expect("every call is answered within its timeout")
}

/// Three processes with version 1 in force; process 0 is the head.
fn configured() -> Network {
    let mut network = Network::new(3);
    network.advance_ms(2_000);
    assert_eq!(
        call(&mut network, 1, change(0, full_configuration(1, 1))),
        Reply::Done
    );
    network
}

/// The version in force and the names of its routes, as a process answers.
fn read(network: &mut Network, process: usize) -> (u64, Vec<String>) {
    let Reply::ConfigurationDocument(text) = call(network, process, Request::ReadConfiguration)
    else {
        panic!("the configuration is read");
    };
    let configuration = check_configuration(&text).expect("the answer is a valid configuration");
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
fn an_uncommitted_change_is_in_doubt_and_applied_once_after_a_retry() {
    let mut network = configured();
    isolate(&mut network, 0, true, true);
    let uncommitted = change(1, patch(2, 2));
    assert_eq!(
        call(&mut network, 0, uncommitted.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.advance_ms(TAKEOVER_MS);
    assert_eq!(
        read(&mut network, 1),
        (1, vec!["mark-1".to_owned()]),
        "no process serves the uncommitted change"
    );
    assert_eq!(
        call(&mut network, 0, Request::ReadConfiguration),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.heal();
    network.advance_ms(TAKEOVER_MS);
    for process in 0..3 {
        assert_eq!(
            call(&mut network, process, uncommitted.clone()),
            Reply::Done
        );
        assert_eq!(read(&mut network, process).0, 2);
    }
}

#[test]
fn an_uncommitted_change_is_refused_only_after_another_is_committed() {
    let mut network = configured();
    isolate(&mut network, 0, true, true);
    let uncommitted = change(1, patch(2, 2));
    assert_eq!(
        call(&mut network, 0, uncommitted.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.advance_ms(TAKEOVER_MS);
    assert_eq!(
        call(&mut network, 1, change(1, patch(2, 3))),
        Reply::Done,
        "with the same version number"
    );
    assert_eq!(
        call(&mut network, 0, uncommitted.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    network.heal();
    network.advance_ms(TAKEOVER_MS);
    for process in 0..3 {
        assert_eq!(
            call(&mut network, process, uncommitted.clone()),
            Reply::Error(ErrorKind::VersionConflict)
        );
        assert_eq!(
            read(&mut network, process),
            (2, vec!["mark-1".to_owned(), "mark-3".to_owned()])
        );
    }
}

#[test]
fn an_uncommitted_change_that_the_next_head_commits_is_acknowledged() {
    // The others receive frames of the head, but it receives none: they have the change, and no process knows that all
    // have it.
    let mut network = configured();
    isolate(&mut network, 0, true, false);
    let uncommitted = change(1, patch(2, 2));
    assert_eq!(
        call(&mut network, 0, uncommitted.clone()),
        Reply::Error(ErrorKind::InDoubt)
    );
    isolate(&mut network, 0, true, true);
    network.advance_ms(TAKEOVER_MS);
    let before = read(&mut network, 1);
    assert_eq!(call(&mut network, 2, uncommitted.clone()), Reply::Done);
    let after = read(&mut network, 1);
    assert_eq!(after, (2, vec!["mark-1".to_owned(), "mark-2".to_owned()]));
    assert!(before == after || before.0 == 1);
    network.heal();
    network.advance_ms(TAKEOVER_MS);
    for process in 0..3 {
        assert_eq!(
            call(&mut network, process, uncommitted.clone()),
            Reply::Done
        );
        assert_eq!(read(&mut network, process), after);
    }
}

#[test]
fn two_log_entries_of_one_change_apply_once() {
    let mut network = configured();
    let duplicated = change(1, patch(2, 2));
    let first = network.call(0, duplicated.clone(), WAIT_MS);
    let second = network.call(1, duplicated.clone(), WAIT_MS);
    let other = network.call(2, change(1, patch(2, 3)), WAIT_MS);
    network.advance_ms(WAIT_MS + 30);
    assert_eq!((answer(first), answer(second)), (Reply::Done, Reply::Done));
    assert_eq!(answer(other), Reply::Error(ErrorKind::VersionConflict));
    assert_eq!(
        read(&mut network, 2),
        (2, vec!["mark-1".to_owned(), "mark-2".to_owned()])
    );
}
