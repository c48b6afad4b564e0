//! Changes of the configuration as operations.

mod common;

use common::{patch, put, route, two_queues};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::OperationResult;
use lupinrack_control_state::{ControlState, MAX_ACCEPTED_CHANGES};

const CONFLICT: OperationResult = OperationResult::Refused(ErrorKind::VersionConflict);
const INVALID: OperationResult = OperationResult::Refused(ErrorKind::InvalidConfiguration);

fn remove_route(version: u64, name: &str) -> String {
    format!(r#"{{"version":{version},"remove":{{"routes":["{name}"]}}}}"#)
}

#[test]
fn a_change_on_the_current_version_is_accepted() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(&put(0, two_queues(3))), OperationResult::Done);
    assert_eq!(
        (
            state.configuration().version,
            state.configuration().routes.len()
        ),
        (3, 2)
    );
    assert_eq!(state.document_json(), two_queues(3));
    assert_eq!(
        state.apply(&patch(3, remove_route(8, "a"))),
        OperationResult::Done
    );
    assert_eq!(
        (
            state.configuration().version,
            state.configuration().routes.len()
        ),
        (8, 1)
    );
}

#[test]
fn a_change_on_another_version_conflicts_and_changes_nothing() {
    let mut state = ControlState::default();
    state.apply(&put(0, two_queues(3)));
    let before = state.clone();
    for if_match in [0, 2, 4] {
        assert_eq!(state.apply(&put(if_match, two_queues(9))), CONFLICT);
    }
    assert_eq!(state.apply(&patch(1, remove_route(9, "a"))), CONFLICT);
    assert_eq!(state, before);
}

#[test]
fn an_invalid_change_is_refused_and_changes_nothing() {
    let mut state = ControlState::default();
    state.apply(&put(0, two_queues(3)));
    let before = state.clone();
    for version in [0, 1, 3] {
        assert_eq!(state.apply(&put(3, two_queues(version))), INVALID);
        assert_eq!(state.apply(&patch(3, remove_route(version, "a"))), INVALID);
    }
    assert_eq!(state.apply(&put(3, "{")), INVALID);
    assert_eq!(
        state.apply(&put(3, two_queues(9).replacen("3000", "0", 1))),
        INVALID
    );
    let unknown = format!(
        r#"{{"version":9,"upsert":{{"routes":[{}]}}}}"#,
        route("c", "/c/", "none")
    );
    assert_eq!(state.apply(&patch(3, unknown)), INVALID);
    assert_eq!(state, before);
}

#[test]
fn an_accepted_change_is_acknowledged_again_after_later_changes() {
    let mut state = ControlState::default();
    let first = put(0, two_queues(3));
    let second = patch(3, remove_route(5, "a"));
    for change in [&first, &first, &second, &first, &second] {
        assert_eq!(state.apply(change), OperationResult::Done);
    }
    assert_eq!(state.configuration().version, 5);
    assert_eq!(state.configuration().routes.len(), 1);
}

#[test]
fn one_of_two_changes_on_the_same_version_wins_even_if_both_set_the_same_version() {
    let mut state = ControlState::default();
    state.apply(&put(0, two_queues(3)));
    let (one, other) = (
        patch(3, remove_route(5, "a")),
        patch(3, remove_route(5, "b")),
    );
    assert_eq!(state.apply(&one), OperationResult::Done);
    assert_eq!(state.apply(&other), CONFLICT);
    assert_eq!(state.apply(&one), OperationResult::Done);
}

#[test]
fn a_refused_change_may_be_accepted_later() {
    let mut state = ControlState::default();
    let early = patch(3, remove_route(5, "a"));
    assert_eq!(state.apply(&early), CONFLICT);
    state.apply(&put(0, two_queues(3)));
    assert_eq!(state.apply(&early), OperationResult::Done);
}

#[test]
fn the_same_body_with_another_method_or_base_version_is_another_change() {
    let mut state = ControlState::default();
    let text = two_queues(3);
    assert_eq!(state.apply(&put(0, text.clone())), OperationResult::Done);
    assert_eq!(state.apply(&put(3, text.clone())), INVALID);
    assert_eq!(state.apply(&patch(0, text)), CONFLICT);
}

#[test]
fn the_number_of_recorded_changes_is_limited() {
    let mut state = ControlState::default();
    state.apply(&put(0, two_queues(1)));
    let change = |version: u64| patch(version, format!(r#"{{"version":{}}}"#, version + 1));
    let last = MAX_ACCEPTED_CHANGES as u64;
    for version in 1..last {
        assert_eq!(state.apply(&change(version)), OperationResult::Done);
    }
    assert_eq!(
        state.configuration_state().accepted_changes().len(),
        MAX_ACCEPTED_CHANGES
    );
    assert_eq!(state.apply(&put(0, two_queues(1))), OperationResult::Done);
    assert_eq!(state.apply(&change(last)), OperationResult::Done);
    assert_eq!(
        state.configuration_state().accepted_changes().len(),
        MAX_ACCEPTED_CHANGES
    );
    assert_eq!(state.apply(&put(0, two_queues(1))), OperationResult::Done);
    assert_eq!(
        state.apply(&change(1)),
        OperationResult::Refused(ErrorKind::InDoubt)
    );
    assert_eq!(state.apply(&change(2)), OperationResult::Done);
}
