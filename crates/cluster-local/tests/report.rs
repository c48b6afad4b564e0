//! Tests of which outcomes make a report good.

use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_local::{count_early_starts, JobKind, JobOutcome, LocalReport};
use mock_servers::worker::cluster_events::{ClusterEvents, Event, RunName};
use mock_servers::worker::messages::End;

const JOB: JobId = JobId(1);

fn outcome(kind: JobKind, state: Option<JobState>) -> JobOutcome {
    JobOutcome {
        job: JOB,
        kind,
        submissions: 2,
        accepted: true,
        state,
    }
}

fn run(step: u32, index: u32) -> RunName {
    RunName {
        task: format!("{JOB}.0.{step}.{index}"),
        run: 1,
    }
}

fn started(step: u32, index: u32) -> Event {
    Event::Started {
        run: run(step, index),
        worker: "worker".to_owned(),
    }
}

fn ended(step: u32, index: u32, end: End) -> Event {
    Event::Ended {
        run: run(step, index),
        end,
    }
}

fn report(jobs: &[JobOutcome], events: Vec<Event>) -> LocalReport {
    let cluster_events = ClusterEvents::default();
    events
        .into_iter()
        .for_each(|event| cluster_events.record(event));
    LocalReport::new(jobs, &cluster_events, Vec::new(), 10)
}

#[test]
fn jobs_that_end_as_expected_make_a_good_report() {
    let jobs = JobKind::ALL.map(|kind| outcome(kind, Some(kind.expected_state())));
    let report = report(&jobs, Vec::new());
    assert!(report.good, "{report}");
    assert_eq!((report.jobs, report.resubmissions), (5, 5));
    assert_eq!(report.as_expected.len(), 5);
}

#[test]
fn a_job_that_was_not_accepted_or_is_not_in_the_expected_state_is_unexpected() {
    let not_accepted = JobOutcome {
        accepted: false,
        ..outcome(JobKind::Plain, Some(JobState::Succeeded))
    };
    for job in [
        outcome(JobKind::Plain, Some(JobState::Running)),
        outcome(JobKind::Cancelled, Some(JobState::Succeeded)),
        outcome(JobKind::Failing, None),
        not_accepted,
    ] {
        let report = report(&[job], Vec::new());
        assert!(!report.good, "{job:?}");
        assert_eq!(report.unexpected.len(), 1);
    }
}

#[test]
fn a_run_left_running_makes_a_bad_report() {
    assert!(!report(&[], vec![started(0, 0)]).good);
    assert!(report(&[], vec![started(0, 0), ended(0, 0, End::Stopped)]).good);
}

#[test]
fn a_second_run_beside_the_first_is_a_duplicate_start() {
    let events = vec![
        started(0, 0),
        started(0, 0),
        ended(0, 0, End::Done),
        ended(0, 0, End::Done),
    ];
    let report = report(&[], events);
    assert_eq!((report.good, report.duplicate_starts), (false, 1));
}

#[test]
fn a_step_that_depends_on_another_starts_after_all_of_its_tasks_are_done() {
    let jobs = [outcome(JobKind::Dependent, Some(JobState::Succeeded))];
    let first = [started(0, 0), started(0, 1), ended(0, 0, End::Done)];
    let early = [&first[..], &[started(1, 0)]].concat();
    assert_eq!(count_early_starts(&jobs, &early), 1);
    let after_a_failure = [&first[..], &[ended(0, 1, End::Failed), started(1, 0)]].concat();
    assert_eq!(count_early_starts(&jobs, &after_a_failure), 1);
    let in_time = [&first[..], &[ended(0, 1, End::Done), started(1, 0)]].concat();
    assert_eq!(count_early_starts(&jobs, &in_time), 0);
}

#[test]
fn steps_of_other_kinds_of_jobs_depend_on_nothing() {
    let jobs = [outcome(JobKind::Plain, Some(JobState::Succeeded))];
    assert_eq!(count_early_starts(&jobs, &[started(1, 0)]), 0);
}
