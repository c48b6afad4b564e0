//! What counts as a good play.

use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_local::dependency_order::out_of_order;
use lupinrack_cluster_local::job_kind::{Kind, PlayedJob};
use lupinrack_cluster_local::report::LocalReport;
use mock_servers::worker::floor::{Event, Floor, RunName};
use mock_servers::worker::messages::End;

const JOB: JobId = JobId(1);

fn played(kind: Kind, state: Option<JobState>) -> PlayedJob {
    PlayedJob {
        job: JOB,
        kind,
        sends: 2,
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

fn report(jobs: &[PlayedJob], events: Vec<Event>) -> LocalReport {
    let floor = Floor::default();
    events.into_iter().for_each(|event| floor.note(event));
    LocalReport::new(jobs, &floor, Vec::new(), 10)
}

#[test]
fn jobs_that_end_as_they_should_are_good() {
    let jobs = Kind::ALL.map(|kind| played(kind, Some(kind.expected())));
    let report = report(&jobs, Vec::new());
    assert!(report.good, "{report}");
    assert_eq!((report.jobs, report.sent_again), (5, 5));
    assert_eq!(report.as_expected.len(), 5);
}

#[test]
fn a_job_in_another_state_or_in_none_or_never_accepted_is_wrong() {
    let not_accepted = PlayedJob {
        accepted: false,
        ..played(Kind::Plain, Some(JobState::Succeeded))
    };
    for job in [
        played(Kind::Plain, Some(JobState::Running)),
        played(Kind::Cancelled, Some(JobState::Succeeded)),
        played(Kind::Failing, None),
        not_accepted,
    ] {
        let report = report(&[job], Vec::new());
        assert!(!report.good, "{job:?}");
        assert_eq!(report.wrong.len(), 1);
    }
}

#[test]
fn a_run_that_is_left_is_not_good() {
    assert!(!report(&[], vec![started(0, 0)]).good);
    assert!(report(&[], vec![started(0, 0), ended(0, 0, End::Stopped)]).good);
}

#[test]
fn a_second_run_beside_the_first_is_not_good() {
    let events = vec![
        started(0, 0),
        started(0, 0),
        ended(0, 0, End::Done),
        ended(0, 0, End::Done),
    ];
    let report = report(&[], events);
    assert_eq!((report.good, report.run_twice), (false, 1));
}

#[test]
fn a_step_that_depends_on_another_starts_after_all_of_its_tasks_are_done() {
    let jobs = [played(Kind::Dependent, Some(JobState::Succeeded))];
    let first = [started(0, 0), started(0, 1), ended(0, 0, End::Done)];
    let early = [&first[..], &[started(1, 0)]].concat();
    assert_eq!(out_of_order(&jobs, &early), 1);
    let after_a_failure = [&first[..], &[ended(0, 1, End::Failed), started(1, 0)]].concat();
    assert_eq!(out_of_order(&jobs, &after_a_failure), 1);
    let in_time = [&first[..], &[ended(0, 1, End::Done), started(1, 0)]].concat();
    assert_eq!(out_of_order(&jobs, &in_time), 0);
}

#[test]
fn steps_of_other_jobs_depend_on_nothing() {
    let jobs = [played(Kind::Plain, Some(JobState::Succeeded))];
    assert_eq!(out_of_order(&jobs, &[started(1, 0)]), 0);
}
