//! Starts and ends of single tasks.

mod common;

use common::*;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{FencingToken, JobId, ServerId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::operation::OperationResult;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::TaskStatus;

/// Ends that are neither good nor a failure.
const INTERRUPTIONS: [RunEnd; 5] = [
    RunEnd::Stopped,
    RunEnd::LeaseExpired,
    RunEnd::Broken,
    RunEnd::Alone,
    RunEnd::Refused,
];

fn after(count: u32, depends_on: Vec<u32>) -> Step {
    Step {
        count,
        depends_on,
        ..Step::default()
    }
}

fn lasting(count: u32) -> Step {
    Step {
        count,
        long_running: true,
        ..Step::default()
    }
}

#[test]
fn a_start_assigns_the_task_and_makes_the_job_run() {
    let mut state = state_with(vec![step(2)]);
    assert!(try_start(&mut state, task(0, 0, 1), 1));
    assert_eq!(job_state(&state), JobState::Running);
    let assigned = record(&state, task(0, 0, 1));
    assert_eq!(
        assigned.status,
        TaskStatus::Assigned {
            server: ServerId("s".into())
        }
    );
    assert_eq!(assigned.attempt, 1);
    assert_eq!(record(&state, task(0, 0, 0)).status, TaskStatus::Waiting);
}

#[test]
fn a_start_that_does_not_fit_the_record_is_refused() {
    let mut state = state_with(vec![step(2)]);
    let other_job = TaskId {
        job: JobId(9),
        ..task(0, 0, 0)
    };
    for wrong in [other_job, task(1, 0, 0), task(0, 1, 0), task(0, 0, 2)] {
        assert!(!try_start(&mut state, wrong, 1), "{wrong}");
    }
    for attempt in [0, 2, u32::MAX] {
        assert!(!try_start(&mut state, task(0, 0, 0), attempt), "{attempt}");
    }
    let result = state.apply(&starts("two", TOKEN, vec![start(task(0, 0, 0), 1)]));
    assert_eq!(result, OperationResult::Starts(vec![false]));
    assert_eq!(job_state(&state), JobState::Queued);
}

#[test]
fn the_same_start_is_accepted_once() {
    let mut state = state_with(vec![step(2)]);
    let twice = vec![
        start(task(0, 0, 0), 1),
        start(task(0, 0, 0), 1),
        start(task(0, 0, 1), 1),
    ];
    assert_eq!(try_starts(&mut state, twice.clone()), [true, false, true]);
    let before = state.clone();
    assert_eq!(try_starts(&mut state, twice), [false, false, false]);
    assert_eq!(state, before);
}

#[test]
fn a_lower_token_records_nothing() {
    let mut state = state_with(vec![step(1)]);
    let fenced = OperationResult::Refused(ErrorKind::Fenced);
    let older = FencingToken(TOKEN.0 - 1);
    assert_eq!(
        state.apply(&starts("one", older, vec![start(task(0, 0, 0), 1)])),
        fenced
    );
    assert!(try_start(&mut state, task(0, 0, 0), 1));
    let before = state.clone();
    let done = vec![end(task(0, 0, 0), 1, RunEnd::Done, "")];
    assert_eq!(state.apply(&ends("one", older, done, 20)), fenced);
    assert_eq!(state, before);
}

#[test]
fn a_job_has_succeeded_when_all_its_tasks_are_done() {
    let mut state = state_with(vec![step(2)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    assert_eq!(job_state(&state), JobState::Running);
    run(&mut state, task(0, 0, 1), 1, RunEnd::Done);
    let job = state.job(JOB).expect("it is known");
    assert_eq!(
        (job.state, job.ended_at),
        (JobState::Succeeded, Some(WallMillis(100)))
    );
    assert_eq!(job.occurrences.done().len(), 1);
    assert!(job.occurrences.open().is_empty());
    assert!(job.occurrence_is_done(0) && job.step_is_done(0, 0));
    assert!(state.jobs().open_by_service().is_empty());
    assert!(!try_start(&mut state, task(0, 0, 0), 2));
}

#[test]
fn ends_of_other_runs_change_nothing() {
    let mut state = state_with(vec![step(2)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Stopped);
    assert!(try_start(&mut state, task(0, 0, 0), 2));
    let before = state.clone();
    record_end(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    record_end(&mut state, task(0, 0, 0), 3, RunEnd::Done);
    record_end(&mut state, task(0, 0, 1), 1, RunEnd::Done);
    record_end(&mut state, task(0, 0, 1), 0, RunEnd::Done);
    record_end(&mut state, task(0, 0, 5), 1, RunEnd::Done);
    record_end(&mut state, task(0, 5, 0), 1, RunEnd::Done);
    record_end(&mut state, task(5, 0, 0), 1, RunEnd::Done);
    record_end(
        &mut state,
        TaskId {
            job: JobId(9),
            ..task(0, 0, 0)
        },
        1,
        RunEnd::Done,
    );
    let done = vec![end(task(0, 0, 0), 2, RunEnd::Done, "")];
    assert_eq!(
        state.apply(&ends("two", TOKEN, done, 20)),
        OperationResult::Done
    );
    assert_eq!(state, before);
}

#[test]
fn an_end_counts_once() {
    let mut state = state_with(vec![step(2)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Failed);
    let before = state.clone();
    record_end(&mut state, task(0, 0, 0), 1, RunEnd::Failed);
    assert_eq!(state, before);
    assert_eq!(record(&state, task(0, 0, 0)).failed, 1);
}

#[test]
fn a_done_task_never_starts_again() {
    let mut state = state_with(vec![step(2)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    for attempt in [1, 2, 3] {
        assert!(!try_start(&mut state, task(0, 0, 0), attempt));
    }
    record_end(&mut state, task(0, 0, 0), 1, RunEnd::Failed);
    assert!(record(&state, task(0, 0, 0)).is_done());
}

#[test]
fn interruptions_are_not_counted_as_failures() {
    let mut state = state_with(vec![step(1)]);
    for (number, how) in INTERRUPTIONS.into_iter().cycle().take(20).enumerate() {
        run(&mut state, task(0, 0, 0), number as u32 + 1, how);
    }
    assert_eq!(
        (record(&state, task(0, 0, 0)).failed, job_state(&state)),
        (0, JobState::Running)
    );
}

#[test]
fn a_job_has_failed_when_a_task_failed_as_often_as_its_queue_allows() {
    let mut state = state_with(vec![step(2)]);
    run(&mut state, task(0, 0, 0), 1, RunEnd::Failed);
    run(&mut state, task(0, 0, 1), 1, RunEnd::Failed);
    assert_eq!(job_state(&state), JobState::Running);
    run(&mut state, task(0, 0, 0), 2, RunEnd::Failed);
    assert_eq!(job_state(&state), JobState::Failed);
    assert!(!try_start(&mut state, task(0, 0, 1), 2));
    assert!(state.jobs().open_by_service().is_empty());
}

#[test]
fn a_queue_that_allows_no_failure_still_lets_tasks_run() {
    let mut state = state();
    let text = two_queues(2).replace("\"max-retries\":2", "\"max-retries\":0");
    assert_eq!(state.apply(&put(1, text)), OperationResult::Done);
    state.apply(&accept(JOB, "a", spec(vec![step(1)])));
    run(&mut state, task(0, 0, 0), 1, RunEnd::Failed);
    assert_eq!(job_state(&state), JobState::Failed);
}

#[test]
fn the_newest_checkpoint_is_recorded() {
    let mut state = state_with(vec![step(1)]);
    let mut attempt = 0;
    let mut run_to = |state: &mut lupinrack_control_state::ControlState, how, checkpoint: &str| {
        attempt += 1;
        assert!(try_start(state, task(0, 0, 0), attempt));
        state.apply(&ends(
            "one",
            TOKEN,
            vec![end(task(0, 0, 0), attempt, how, checkpoint)],
            20,
        ));
        record(state, task(0, 0, 0)).checkpoint.clone()
    };
    assert_eq!(run_to(&mut state, RunEnd::Failed, "first"), "first");
    assert_eq!(run_to(&mut state, RunEnd::LeaseExpired, ""), "first");
    assert_eq!(run_to(&mut state, RunEnd::Stopped, "second"), "second");
}

#[test]
fn a_step_waits_for_all_its_dependencies() {
    let mut state = state_with(vec![step(2), after(1, vec![0]), after(1, vec![0, 1])]);
    assert!(!try_start(&mut state, task(0, 1, 0), 1));
    run(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    assert!(!try_start(&mut state, task(0, 1, 0), 1));
    run(&mut state, task(0, 0, 1), 1, RunEnd::Done);
    assert!(!try_start(&mut state, task(0, 2, 0), 1));
    run(&mut state, task(0, 1, 0), 1, RunEnd::Done);
    run(&mut state, task(0, 2, 0), 1, RunEnd::Done);
    assert_eq!(job_state(&state), JobState::Succeeded);
}

#[test]
fn impossible_dependencies_never_start_and_empty_steps_delay_nothing() {
    let mut state = state_with(vec![
        after(1, vec![0]),
        after(1, vec![7]),
        step(0),
        after(1, vec![2]),
    ]);
    assert!(!try_start(&mut state, task(0, 0, 0), 1));
    assert!(!try_start(&mut state, task(0, 1, 0), 1));
    assert!(!try_start(&mut state, task(0, 2, 0), 1));
    assert!(try_start(&mut state, task(0, 3, 0), 1));
}

#[test]
fn occurrences_run_concurrently_and_all_have_to_be_done() {
    let mut state = state();
    let steps = vec![step(1), after(1, vec![0])];
    let repeated = JobSpec {
        repeat: 2,
        start_at_ms: 5,
        interval_ms: 5,
        ..spec(steps)
    };
    state.apply(&accept(JOB, "a", repeated));
    run(&mut state, task(1, 0, 0), 1, RunEnd::Done);
    assert!(!try_start(&mut state, task(0, 1, 0), 1));
    run(&mut state, task(1, 1, 0), 1, RunEnd::Done);
    let job = state.job(JOB).expect("it is known");
    assert_eq!(
        (job.occurrences.done().len(), job.state),
        (1, JobState::Running)
    );
    assert!(!try_start(&mut state, task(2, 0, 0), 1));
    assert!(!try_start(&mut state, task(1, 0, 0), 2));
    run(&mut state, task(0, 0, 0), 1, RunEnd::Done);
    run(&mut state, task(0, 1, 0), 1, RunEnd::Done);
    assert_eq!(job_state(&state), JobState::Succeeded);
}

#[test]
fn a_task_that_runs_until_cancelled_starts_again_however_it_ends() {
    let mut state = state_with(vec![lasting(1)]);
    let ends = [RunEnd::Done, RunEnd::Failed]
        .into_iter()
        .chain(INTERRUPTIONS);
    for (number, how) in ends.cycle().take(30).enumerate() {
        run(&mut state, task(0, 0, 0), number as u32 + 1, how);
    }
    assert_eq!(job_state(&state), JobState::Running);
    assert_eq!(record(&state, task(0, 0, 0)).status, TaskStatus::Waiting);
    assert_eq!(
        state.apply(&cancel(JOB, 200)),
        OperationResult::Job(JobState::Cancelled)
    );
    assert!(!try_start(&mut state, task(0, 0, 0), 31));
}
