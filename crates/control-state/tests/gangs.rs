//! Starts and ends of gangs.

mod common;

use common::*;
use lupinrack_cluster_api::job::{JobState, Step};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_control_state::{ControlState, TaskStatus};

fn member(index: u32) -> lupinrack_cluster_api::identity::TaskId {
    task(0, 0, index)
}

fn members(indexes: &[u32], attempt: u32) -> Vec<StartRecord> {
    indexes
        .iter()
        .map(|index| start(member(*index), attempt))
        .collect()
}

/// A state with a job of one gang of three.
fn gang_of_three() -> ControlState {
    state_with(vec![gang(3)])
}

fn start_all(state: &mut ControlState, attempt: u32) {
    assert_eq!(try_starts(state, members(&[0, 1, 2], attempt)), [true; 3]);
}

fn failures(state: &ControlState) -> [u32; 3] {
    [0, 1, 2].map(|index| record(state, member(index)).failed)
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut state = gang_of_three();
    for indexes in [
        &[0][..],
        &[0, 1],
        &[0, 1, 1],
        &[0, 1, 3],
        &[0, 1, 2, 2],
        &[0, 1, 2, 3],
    ] {
        let refused = vec![false; indexes.len()];
        assert_eq!(
            try_starts(&mut state, members(indexes, 1)),
            refused,
            "{indexes:?}"
        );
    }
    assert_eq!(job_state(&state), JobState::Queued);
    start_all(&mut state, 1);
    assert_eq!(job_state(&state), JobState::Running);
}

#[test]
fn members_share_an_attempt_above_all_earlier_ones() {
    let mut state = gang_of_three();
    let mut mixed = members(&[0, 1], 1);
    mixed.extend(members(&[2], 2));
    assert_eq!(try_starts(&mut state, mixed), [false; 3]);
    assert_eq!(try_starts(&mut state, members(&[0, 1, 2], 0)), [false; 3]);
    start_all(&mut state, 4);
    for index in 0..3 {
        record_end(&mut state, member(index), 4, RunEnd::LeaseExpired);
    }
    assert_eq!(try_starts(&mut state, members(&[0, 1, 2], 4)), [false; 3]);
    start_all(&mut state, 5);
}

#[test]
fn a_gang_does_not_start_while_a_member_is_assigned() {
    let mut state = gang_of_three();
    start_all(&mut state, 1);
    record_end(&mut state, member(0), 1, RunEnd::Stopped);
    record_end(&mut state, member(1), 1, RunEnd::Stopped);
    assert_eq!(try_starts(&mut state, members(&[0, 1, 2], 2)), [false; 3]);
    record_end(&mut state, member(2), 1, RunEnd::Broken);
    start_all(&mut state, 2);
}

#[test]
fn gangs_and_single_tasks_of_one_operation_are_decided_separately() {
    let mut state = state_with(vec![gang(2), step(2), gang(2)]);
    let records = vec![
        start(task(0, 0, 0), 1),
        start(task(0, 1, 0), 1),
        start(task(0, 2, 0), 1),
        start(task(0, 1, 1), 9),
        start(task(0, 0, 1), 1),
    ];
    assert_eq!(
        try_starts(&mut state, records),
        [true, true, false, false, true]
    );
}

#[test]
fn one_success_ends_the_run_of_the_complete_gang() {
    let mut state = state_with(vec![gang(3), step(1)]);
    start_all(&mut state, 1);
    record_end(&mut state, member(1), 1, RunEnd::Done);
    for index in 0..3 {
        assert!(record(&state, member(index)).is_done());
    }
    record_end(&mut state, member(0), 1, RunEnd::Broken);
    record_end(&mut state, member(2), 1, RunEnd::Done);
    assert!(record(&state, member(0)).is_done());
    assert_eq!(try_starts(&mut state, members(&[0, 1, 2], 2)), [false; 3]);
    run(&mut state, task(0, 1, 0), 1, RunEnd::Done);
    assert_eq!(job_state(&state), JobState::Succeeded);
}

#[test]
fn a_success_counts_after_other_members_ended() {
    let mut state = gang_of_three();
    start_all(&mut state, 1);
    record_end(&mut state, member(0), 1, RunEnd::LeaseExpired);
    record_end(&mut state, member(1), 1, RunEnd::Done);
    assert_eq!(job_state(&state), JobState::Succeeded);
}

#[test]
fn a_failed_run_counts_once_for_every_member() {
    let mut state = gang_of_three();
    start_all(&mut state, 1);
    record_end(&mut state, member(2), 1, RunEnd::Failed);
    assert_eq!(failures(&state), [1; 3]);
    assert!(matches!(
        record(&state, member(0)).status,
        TaskStatus::Assigned { .. }
    ));
    record_end(&mut state, member(0), 1, RunEnd::Broken);
    record_end(&mut state, member(1), 1, RunEnd::Failed);
    assert_eq!(
        (failures(&state), job_state(&state)),
        ([1; 3], JobState::Running)
    );
    start_all(&mut state, 2);
    record_end(&mut state, member(0), 2, RunEnd::Failed);
    assert_eq!(
        (failures(&state), job_state(&state)),
        ([2; 3], JobState::Failed)
    );
}

#[test]
fn members_keep_their_own_checkpoints() {
    let mut state = gang_of_three();
    start_all(&mut state, 1);
    state.apply(&ends(
        "one",
        TOKEN,
        vec![end(member(1), 1, RunEnd::Stopped, "saved")],
        20,
    ));
    let checkpoint = [0, 1, 2].map(|index| record(&state, member(index)).checkpoint.clone());
    assert_eq!(checkpoint, ["", "saved", ""]);
}

#[test]
fn a_gang_that_runs_until_cancelled_starts_again_however_it_ends() {
    let mut state = state_with(vec![Step {
        long_running: true,
        ..gang(3)
    }]);
    for attempt in 1..=10 {
        start_all(&mut state, attempt);
        record_end(&mut state, member(0), attempt, RunEnd::Failed);
        record_end(&mut state, member(1), attempt, RunEnd::Done);
        assert_eq!(record(&state, member(1)).status, TaskStatus::Waiting);
        record_end(&mut state, member(2), attempt, RunEnd::Broken);
    }
    assert_eq!(job_state(&state), JobState::Running);
}
