//! The mock worker's state machine.

use mock_servers::worker::cluster_events::ClusterEvents;
use mock_servers::worker::messages::{
    Capacity, End, FinishedRow, HeartbeatAnswer, StartRow, StopRow,
};
use mock_servers::worker::state_machine::{Worker, WorkerSettings};
use mock_servers::worker::work::Work;

const TASK: &str = "0000000000000001.0.0.0";
const OTHER: &str = "0000000000000001.0.0.1";
const WORK: Work = Work {
    takes_ms: 100,
    cpu: 500,
    gang: 0,
    fails: false,
};
const LEASE_MS: u64 = 2_000;

fn worker_on(events: &ClusterEvents, id: &str) -> Worker {
    let settings = WorkerSettings {
        id: id.to_owned(),
        service: "search".to_owned(),
        zone: "north".to_owned(),
        labels: Vec::new(),
        capacity: Capacity {
            cpu: 1_000,
            mem_mb: 1_000,
            gpu: 0,
        },
        max_lease_ms: 5_000,
        stop_duration_ms: 30,
        gang_timeout_ms: 300,
    };
    Worker::new(settings, events.clone())
}

fn worker() -> Worker {
    worker_on(&ClusterEvents::default(), "w")
}

fn start(task: &str, run: u32, work: Work) -> StartRow {
    StartRow(task.to_owned(), run, work.to_string(), String::new())
}

/// An answer with a lease of two seconds that starts these runs.
fn answer_that_starts(start: Vec<StartRow>) -> HeartbeatAnswer {
    HeartbeatAnswer {
        hold_ms: LEASE_MS,
        fence_token: 5,
        start,
        ..HeartbeatAnswer::default()
    }
}

/// The ends in the next heartbeat: number, run and how it ended.
fn ends(worker: &mut Worker, now: u64) -> Vec<(u64, u32, End)> {
    let finished = worker.heartbeat(now).finished;
    finished
        .into_iter()
        .map(|FinishedRow(number, _, run, end, _)| (number, run, end))
        .collect()
}

#[test]
fn work_survives_a_round_trip_through_its_text() {
    let work = Work {
        takes_ms: 7,
        cpu: 8,
        gang: 9,
        fails: true,
    };
    assert_eq!(work.to_string().parse(), Ok(work));
}

#[test]
fn a_run_completes_after_its_duration() {
    let mut worker = worker();
    assert!(worker.apply_answer(answer_that_starts(vec![start(TASK, 1, WORK)]), 1_000, 1_001));
    worker.advance_to(1_100);
    assert_eq!(worker.heartbeat(1_100).running.len(), 1);
    worker.advance_to(1_101);
    assert_eq!(ends(&mut worker, 1_101), [(1, 1, End::Done)]);
}

#[test]
fn ends_are_listed_until_they_are_observed() {
    let mut worker = worker();
    worker.apply_answer(
        answer_that_starts(vec![start(TASK, 1, WORK), start(OTHER, 1, WORK)]),
        1_000,
        1_000,
    );
    worker.advance_to(1_100);
    assert_eq!(ends(&mut worker, 1_100).len(), 2);
    worker.apply_answer(
        HeartbeatAnswer {
            observed: 1,
            ..answer_that_starts(Vec::new())
        },
        1_100,
        1_100,
    );
    assert_eq!(ends(&mut worker, 1_110), [(2, 1, End::Done)]);
}

#[test]
fn an_answer_without_a_lease_starts_nothing() {
    let mut worker = worker();
    worker.apply_answer(
        HeartbeatAnswer {
            hold_ms: 0,
            ..answer_that_starts(vec![start(TASK, 1, WORK)])
        },
        1_000,
        1_000,
    );
    assert!(worker.heartbeat(1_000).running.is_empty());
}

#[test]
fn late_answers_and_lower_fencing_tokens_are_ignored() {
    let mut worker = worker();
    assert!(!worker.apply_answer(answer_that_starts(vec![start(TASK, 1, WORK)]), 1_000, 2_001));
    assert!(worker.apply_answer(answer_that_starts(Vec::new()), 1_000, 1_000));
    let lower = HeartbeatAnswer {
        fence_token: 4,
        ..answer_that_starts(vec![start(TASK, 1, WORK)])
    };
    assert!(!worker.apply_answer(lower, 1_000, 1_000));
    assert!(worker.heartbeat(1_000).running.is_empty());
}

#[test]
fn runs_lapse_with_the_lease_which_counts_from_the_sending_of_the_heartbeat() {
    let mut worker = worker();
    let long = Work {
        takes_ms: 60_000,
        ..WORK
    };
    worker.apply_answer(answer_that_starts(vec![start(TASK, 1, long)]), 1_000, 1_900);
    worker.advance_to(1_000 + LEASE_MS - 1);
    assert_eq!(worker.heartbeat(2_999).running.len(), 1);
    worker.advance_to(1_000 + LEASE_MS);
    assert_eq!(ends(&mut worker, 3_000), [(1, 1, End::Lapsed)]);
}

#[test]
fn a_lease_never_shortens_and_never_exceeds_the_maximum() {
    let mut worker = worker();
    let long = Work {
        takes_ms: 60_000,
        ..WORK
    };
    worker.apply_answer(
        HeartbeatAnswer {
            hold_ms: 90_000,
            ..answer_that_starts(vec![start(TASK, 1, long)])
        },
        1_000,
        1_000,
    );
    worker.apply_answer(
        HeartbeatAnswer {
            hold_ms: 10,
            ..answer_that_starts(Vec::new())
        },
        1_100,
        1_100,
    );
    worker.advance_to(5_999);
    assert_eq!(worker.heartbeat(5_999).running.len(), 1);
    worker.advance_to(6_000);
    assert_eq!(ends(&mut worker, 6_000), [(1, 1, End::Lapsed)]);
}

#[test]
fn a_stop_takes_effect_after_its_duration_and_rejects_starts_up_to_its_run_number() {
    let mut worker = worker();
    let long = Work {
        takes_ms: 60_000,
        ..WORK
    };
    worker.apply_answer(answer_that_starts(vec![start(TASK, 2, long)]), 1_000, 1_000);
    let stop = vec![StopRow(TASK.to_owned(), 2), StopRow(OTHER.to_owned(), 3)];
    worker.apply_answer(
        HeartbeatAnswer {
            stop,
            ..answer_that_starts(Vec::new())
        },
        1_100,
        1_100,
    );
    worker.advance_to(1_129);
    assert_eq!(worker.heartbeat(1_129).running.len(), 1);
    worker.advance_to(1_130);
    assert_eq!(ends(&mut worker, 1_130), [(1, 2, End::Stopped)]);
    worker.apply_answer(
        answer_that_starts(vec![start(OTHER, 3, WORK)]),
        1_200,
        1_200,
    );
    assert_eq!(ends(&mut worker, 1_200).last(), Some(&(2, 3, End::Refused)));
    worker.apply_answer(
        answer_that_starts(vec![start(OTHER, 4, WORK)]),
        1_300,
        1_300,
    );
    assert_eq!(worker.heartbeat(1_300).running.len(), 1);
}

#[test]
fn a_start_over_the_capacity_is_refused() {
    let mut worker = worker();
    let large = Work { cpu: 700, ..WORK };
    worker.apply_answer(
        answer_that_starts(vec![start(TASK, 1, large), start(OTHER, 1, large)]),
        1_000,
        1_000,
    );
    assert_eq!(worker.heartbeat(1_000).running.len(), 1);
    assert_eq!(ends(&mut worker, 1_000), [(1, 1, End::Refused)]);
}

#[test]
fn a_gang_works_from_the_start_of_its_last_member() {
    let events = ClusterEvents::default();
    let gang = Work { gang: 2, ..WORK };
    let (mut one, mut two) = (worker_on(&events, "one"), worker_on(&events, "two"));
    one.apply_answer(answer_that_starts(vec![start(TASK, 1, gang)]), 1_000, 1_000);
    one.advance_to(1_200);
    assert!(ends(&mut one, 1_200).is_empty());
    two.apply_answer(
        answer_that_starts(vec![start(OTHER, 1, gang)]),
        1_200,
        1_200,
    );
    one.advance_to(1_300);
    two.advance_to(1_300);
    assert_eq!(ends(&mut one, 1_300), [(1, 1, End::Done)]);
    assert_eq!(ends(&mut two, 1_300), [(1, 1, End::Done)]);
}

#[test]
fn a_member_that_waits_too_long_ends_alone_and_breaks_its_gang() {
    let events = ClusterEvents::default();
    let gang = Work { gang: 3, ..WORK };
    let (mut one, mut two) = (worker_on(&events, "one"), worker_on(&events, "two"));
    one.apply_answer(answer_that_starts(vec![start(TASK, 1, gang)]), 1_000, 1_000);
    two.apply_answer(
        answer_that_starts(vec![start(OTHER, 1, gang)]),
        1_200,
        1_200,
    );
    one.advance_to(1_300);
    two.advance_to(1_300);
    assert_eq!(ends(&mut one, 1_300), [(1, 1, End::Alone)]);
    assert_eq!(ends(&mut two, 1_300), [(1, 1, End::Broken)]);
}

#[test]
fn concurrent_runs_and_starts_after_an_observed_completion_count_as_duplicates() {
    let events = ClusterEvents::default();
    let (mut one, mut two) = (worker_on(&events, "one"), worker_on(&events, "two"));
    one.apply_answer(answer_that_starts(vec![start(TASK, 1, WORK)]), 1_000, 1_000);
    assert_eq!((events.duplicate_starts(), events.alive()), (0, 1));
    two.apply_answer(answer_that_starts(vec![start(TASK, 2, WORK)]), 1_010, 1_010);
    assert_eq!((events.duplicate_starts(), events.alive()), (1, 2));
    one.advance_to(1_200);
    two.advance_to(1_200);
    one.apply_answer(
        HeartbeatAnswer {
            observed: 1,
            ..answer_that_starts(Vec::new())
        },
        1_200,
        1_200,
    );
    two.apply_answer(answer_that_starts(vec![start(TASK, 3, WORK)]), 1_300, 1_300);
    assert_eq!((events.duplicate_starts(), events.alive()), (2, 1));
}

#[test]
fn a_run_after_a_lapsed_one_is_no_duplicate() {
    let events = ClusterEvents::default();
    let (mut one, mut two) = (worker_on(&events, "one"), worker_on(&events, "two"));
    one.apply_answer(
        answer_that_starts(vec![start(
            TASK,
            1,
            Work {
                takes_ms: 60_000,
                ..WORK
            },
        )]),
        1_000,
        1_000,
    );
    one.advance_to(3_000);
    two.apply_answer(answer_that_starts(vec![start(TASK, 2, WORK)]), 3_010, 3_010);
    assert_eq!((events.duplicate_starts(), events.alive()), (0, 1));
}
