//! Acceptance, cancelling and forgetting of jobs, and the owners of shards.

mod common;

use common::*;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{FencingToken, JobId, QueueName, ServiceName};
use lupinrack_cluster_api::job::{JobSpec, JobState};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{ControlState, MAX_TASKS_PER_OCCURRENCE};

fn pending(state: &ControlState, queue: &str) -> u64 {
    state.pending(&QueueName(queue.into()))
}

fn forget(before: u64) -> Operation {
    Operation::ForgetJobs {
        ended_before: WallMillis(before),
    }
}

#[test]
fn a_job_keeps_the_settings_of_its_route_at_acceptance() {
    let mut state = state_with(vec![step(1)]);
    let job = state.job(JOB).expect("it is known").clone();
    assert_eq!(
        (job.queue.name.0.as_str(), job.service.0.as_str()),
        ("a", "one")
    );
    assert_eq!((job.priority, job.max_retries), (1, MAX_RETRIES));
    assert_eq!((job.target_latency_ms, job.extension_milli), (800, 2250));
    assert_eq!((job.accepted_at, job.ended_at), (WallMillis(10), None));
    let moved = two_queues(2).replace("\"service\":\"one\"", "\"service\":\"two\"");
    assert_eq!(state.apply(&put(1, moved)), OperationResult::Done);
    assert_eq!(state.job(JOB), Some(&job));
}

#[test]
fn a_job_for_an_unknown_or_removed_queue_is_refused() {
    let mut state = state_with(vec![step(1)]);
    let unknown = OperationResult::Refused(ErrorKind::UnknownQueue);
    assert_eq!(
        state.apply(&accept(JobId(2), "none", spec(vec![step(1)]))),
        unknown
    );
    state.apply(&patch(1, r#"{"version":2,"remove":{"routes":["a"]}}"#));
    assert_eq!(
        state.apply(&accept(JobId(2), "a", spec(vec![step(1)]))),
        unknown
    );
    assert_eq!(state.jobs().len(), 1);
    assert_eq!(
        ControlState::default().apply(&accept(JOB, "a", JobSpec::default())),
        unknown
    );
}

#[test]
fn an_accepted_job_is_never_refused_after_its_queue_was_removed() {
    let mut state = state_with(vec![step(1)]);
    state.apply(&patch(1, r#"{"version":2,"remove":{"routes":["a"]}}"#));
    let before = state.clone();
    let in_doubt = OperationResult::Refused(ErrorKind::InDoubt);
    assert_eq!(
        state.apply(&accept(JOB, "a", spec(vec![step(1)]))),
        in_doubt
    );
    assert_eq!(state, before);
}

#[test]
fn the_same_job_again_changes_nothing() {
    let mut state = state_with(vec![step(1)]);
    let before = state.clone();
    let again = state.apply(&accept(JOB, "a", spec(vec![step(9)])));
    assert_eq!(again, OperationResult::Job(JobState::Queued));
    assert_eq!(state, before);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    let again = state.apply(&accept(JOB, "a", spec(vec![step(1)])));
    assert_eq!(again, OperationResult::Job(JobState::Succeeded));
}

#[test]
fn a_job_without_tasks_has_succeeded() {
    for steps in [vec![], vec![step(0), gang(0)]] {
        let mut state = state();
        let result = state.apply(&accept(JOB, "a", spec(steps)));
        assert_eq!(result, OperationResult::Job(JobState::Succeeded));
        assert_eq!(
            state.job(JOB).expect("it is known").ended_at,
            Some(WallMillis(10))
        );
        assert_eq!(pending(&state, "a"), 0);
        assert!(!try_start(&mut state, task(0, 0, 0), 1));
    }
}

#[test]
fn a_job_with_too_many_tasks_is_refused() {
    let mut state = state();
    let too_large = OperationResult::Refused(ErrorKind::TooLarge);
    let steps = vec![step(u32::MAX), step(u32::MAX)];
    assert_eq!(state.apply(&accept(JOB, "a", spec(steps))), too_large);
    let most = MAX_TASKS_PER_OCCURRENCE as u32;
    assert_eq!(
        state.apply(&accept(JOB, "a", spec(vec![step(most), step(1)]))),
        too_large
    );
    let result = state.apply(&accept(JOB, "a", spec(vec![step(most)])));
    assert_eq!(result, OperationResult::Job(JobState::Queued));
}

#[test]
fn a_cancelled_job_stays_cancelled_and_none_of_its_tasks_starts() {
    let mut state = state_with(vec![step(2)]);
    assert!(try_start(&mut state, task(0, 0, 0), 1));
    assert_eq!(
        state.apply(&cancel(JOB, 50)),
        OperationResult::Job(JobState::Cancelled)
    );
    assert_eq!(
        state.apply(&cancel(JOB, 70)),
        OperationResult::Job(JobState::Cancelled)
    );
    assert_eq!(
        state.job(JOB).expect("it is known").ended_at,
        Some(WallMillis(50))
    );
    assert!(!try_start(&mut state, task(0, 0, 1), 1));
    record_end(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    assert!(record(&state, task(0, 0, 0)).is_done());
    assert_eq!(job_state(&state), JobState::Cancelled);
}

#[test]
fn cancelling_does_not_change_other_final_states() {
    let mut state = state_with(vec![step(1)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    assert_eq!(
        state.apply(&cancel(JOB, 500)),
        OperationResult::Job(JobState::Succeeded)
    );
    assert_eq!(
        state.job(JOB).expect("it is known").ended_at,
        Some(WallMillis(100))
    );
    let unknown = OperationResult::Refused(ErrorKind::UnknownJob);
    assert_eq!(state.apply(&cancel(JobId(77), 500)), unknown);
}

#[test]
fn pending_counts_the_jobs_of_a_queue_that_have_not_ended() {
    let mut state = state();
    for id in 1..=3 {
        state.apply(&accept(JobId(id), "a", spec(vec![step(1)])));
    }
    state.apply(&accept(JobId(4), "b", spec(vec![step(1)])));
    assert_eq!(
        (
            pending(&state, "a"),
            pending(&state, "b"),
            pending(&state, "c")
        ),
        (3, 1, 0)
    );
    state.apply(&cancel(JobId(2), 50));
    state.apply(&cancel(JobId(4), 50));
    assert_eq!((pending(&state, "a"), pending(&state, "b")), (2, 0));
    assert!(!state
        .jobs()
        .open_by_service()
        .contains_key(&ServiceName("two".into())));
}

#[test]
fn only_jobs_that_ended_before_the_given_time_are_removed() {
    let mut state = state();
    for id in 1..=3 {
        state.apply(&accept(JobId(id), "a", spec(vec![step(1)])));
    }
    state.apply(&cancel(JobId(1), 50));
    state.apply(&cancel(JobId(2), 60));
    assert_eq!(state.apply(&forget(60)), OperationResult::Done);
    assert_eq!(
        state.jobs().iter().map(|(id, _)| id).collect::<Vec<_>>(),
        [JobId(2), JobId(3)]
    );
    state.apply(&forget(u64::MAX));
    assert_eq!(
        state.jobs().iter().map(|(id, _)| id).collect::<Vec<_>>(),
        [JobId(3)]
    );
}

#[test]
fn a_shard_moves_only_under_a_higher_token() {
    let mut state = state();
    let fenced = OperationResult::Refused(ErrorKind::Fenced);
    for token in [0, 4, TOKEN.0] {
        assert_eq!(state.apply(&take("one", FencingToken(token))), fenced);
    }
    assert_eq!(
        state.apply(&take("one", FencingToken(6))),
        OperationResult::Done
    );
    assert_eq!(token_of(&state, "one"), FencingToken(6));
    assert_eq!(token_of(&state, "two"), TOKEN);
}

#[test]
fn the_empty_operation_changes_nothing() {
    let mut state = state_with(vec![step(1)]);
    let before = state.clone();
    assert_eq!(state.apply(&Operation::Noop), OperationResult::Done);
    assert_eq!(state, before);
}

#[test]
fn a_state_survives_encoding_and_corrupt_bytes_are_refused() {
    let mut state = state_with(vec![step(2), gang(2)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Failed);
    let bytes = state.to_bytes().expect("it can be written");
    assert_eq!(ControlState::from_bytes(&bytes), Ok(state));
    assert!(ControlState::from_bytes(&bytes[..bytes.len() - 1]).is_err());
    assert!(ControlState::from_bytes(&[&bytes[..], &[0]].concat()).is_err());
}
