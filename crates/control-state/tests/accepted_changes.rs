//! The record of accepted changes: a retry of one is never refused, and no other change is
//! acknowledged.

mod common;
mod state_parts;

use common::{patch, put, two_queues};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_control_state::{
    check_configuration, AcceptedChanges, ControlState, DIGEST_BYTES, MAX_ACCEPTED_CHANGES,
};
use state_parts::StateParts;

const CONFLICT: OperationResult = OperationResult::Refused(ErrorKind::VersionConflict);
const IN_DOUBT: OperationResult = OperationResult::Refused(ErrorKind::InDoubt);

/// A patch that changes nothing but the version.
fn step(from: u64, to: u64) -> Operation {
    patch(from, format!(r#"{{"version":{to}}}"#))
}

/// A state after this many changes, with the versions 2, 4, 6 and so on.
fn after_changes(count: u64) -> ControlState {
    let mut state = ControlState::default();
    assert_eq!(state.apply(&put(0, two_queues(2))), OperationResult::Done);
    for version in 1..count {
        assert_eq!(
            state.apply(&step(version * 2, version * 2 + 2)),
            OperationResult::Done
        );
    }
    state
}

#[test]
fn a_digest_keeps_every_bit() {
    assert_eq!(DIGEST_BYTES, 32);
}

#[test]
fn digests_of_changes_that_differ_in_one_byte_differ() {
    let text = two_queues(3);
    let mut state = ControlState::default();
    assert_eq!(state.apply(&put(0, text.clone())), OperationResult::Done);
    for place in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[place] = if bytes[place] == b' ' { b'x' } else { b' ' };
        let other = String::from_utf8(bytes).expect("ASCII stays text");
        assert_eq!(state.apply(&put(0, other)), CONFLICT, "byte {place}");
    }
    assert_eq!(state.apply(&put(0, text)), OperationResult::Done);
}

#[test]
fn the_same_configuration_in_another_json_form_is_another_change() {
    let mut state = ControlState::default();
    state.apply(&put(0, two_queues(3)));
    let spaced = two_queues(3).replacen("{\"version\":3,", "{ \"version\": 3, ", 1);
    assert_eq!(state.apply(&put(0, spaced)), CONFLICT);
    let without = two_queues(3).replacen("\"version\":3,", "", 1);
    let moved = format!(
        "{},\"version\":3}}",
        without.strip_suffix('}').expect("an object ends so")
    );
    assert!(check_configuration(&moved).is_ok());
    assert_eq!(state.apply(&put(0, moved)), CONFLICT);
}

#[test]
fn one_of_eight_concurrent_changes_is_accepted_however_often_each_is_sent() {
    let changes: Vec<Operation> = (0..8)
        .map(|number| step(2, 3 + number % 3))
        .chain([step(2, 9)])
        .collect();
    let mut distinct = changes.clone();
    distinct.dedup();
    for first in 0..changes.len() {
        let mut state = after_changes(1);
        assert_eq!(state.apply(&changes[first]), OperationResult::Done);
        for order in changes.iter().chain(&changes) {
            let expected = if *order == changes[first] {
                OperationResult::Done
            } else {
                CONFLICT
            };
            assert_eq!(state.apply(order), expected);
        }
    }
}

#[test]
fn a_change_that_lost_its_version_to_another_is_always_refused() {
    let mut state = after_changes(1);
    let (winner, loser) = (step(2, 5), patch(2, r#"{"version":5,"remove":{}}"#));
    assert_eq!(state.apply(&winner), OperationResult::Done);
    assert_eq!(state.apply(&loser), CONFLICT);
    assert_eq!(state.apply(&step(5, 6)), OperationResult::Done);
    assert_eq!(state.apply(&loser), CONFLICT);
    assert_eq!(state.apply(&winner), OperationResult::Done);
}

#[test]
fn a_retry_of_a_change_older_than_the_record_is_in_doubt() {
    let recorded = MAX_ACCEPTED_CHANGES as u64;
    let mut state = after_changes(recorded + 5);
    assert_eq!(state.configuration().version, 2 * (recorded + 5));
    let removed: Vec<u64> = (1..=4).map(|change| 2 * change).collect();
    for version in removed {
        let before = state.clone();
        assert_eq!(
            state.apply(&step(version, version + 2)),
            IN_DOUBT,
            "on version {version}"
        );
        assert_eq!(
            state.apply(&step(version, version + 1)),
            IN_DOUBT,
            "it may be another, but who knows"
        );
        assert_eq!(state, before);
    }
    for version in [12, 2 * recorded, 2 * (recorded + 4)] {
        assert_eq!(
            state.apply(&step(version, version + 2)),
            OperationResult::Done,
            "on version {version}"
        );
        assert_eq!(
            state.apply(&step(version, version + 1)),
            CONFLICT,
            "on version {version}"
        );
    }
}

#[test]
fn the_record_of_the_first_change_is_never_removed() {
    let mut state = after_changes(MAX_ACCEPTED_CHANGES as u64 + 50);
    assert_eq!(state.apply(&put(0, two_queues(2))), OperationResult::Done);
    assert_eq!(
        state.apply(&put(0, two_queues(3))),
        CONFLICT,
        "a change on no version gets a definite answer"
    );
}

#[test]
fn the_record_is_bounded() {
    let mut state = after_changes(MAX_ACCEPTED_CHANGES as u64 + 50);
    assert_eq!(
        state.configuration_state().accepted_changes().len(),
        MAX_ACCEPTED_CHANGES
    );
    state.apply(&step(2, 4));
    assert_eq!(
        state.configuration_state().accepted_changes().len(),
        MAX_ACCEPTED_CHANGES
    );
}

/// The state of a replica that joined with a snapshot.
fn through_a_snapshot(state: &ControlState) -> ControlState {
    let bytes = state.to_bytes().expect("a state can be written");
    ControlState::from_bytes(&bytes).expect("what was written can be read")
}

#[test]
fn the_record_is_part_of_a_snapshot() {
    let recorded = MAX_ACCEPTED_CHANGES as u64;
    for count in [1, 7, recorded + 5] {
        let mut state = through_a_snapshot(&after_changes(count));
        assert_eq!(state.apply(&put(0, two_queues(2))), OperationResult::Done);
        if count > 1 {
            let last = 2 * (count - 1);
            assert_eq!(state.apply(&step(last, last + 2)), OperationResult::Done);
            assert_eq!(state.apply(&step(last, last + 1)), CONFLICT);
        }
    }
    let mut state = through_a_snapshot(&after_changes(recorded + 5));
    assert_eq!(state.apply(&step(4, 6)), IN_DOUBT);
}

/// Shows that the test above can fail: without the record, retries are refused.
#[test]
fn a_snapshot_without_the_record_is_detected() {
    let mut parts = StateParts::of(&through_a_snapshot(&after_changes(7)));
    parts.accepted_changes = AcceptedChanges::default();
    let mut state = parts.state();
    assert_eq!(state.apply(&step(12, 14)), CONFLICT);
}

#[test]
fn two_copies_of_one_change_in_the_log_have_the_same_result() {
    let mut state = after_changes(1);
    for order in [step(2, 4), step(2, 4), step(4, 5), step(2, 4)] {
        assert_eq!(state.apply(&order), OperationResult::Done);
    }
    assert_eq!(state.configuration().version, 5);
    let refused = [step(4, 6), step(4, 6), step(2, 9), step(2, 9)];
    assert!(refused.iter().all(|order| state.apply(order) == CONFLICT));
}
