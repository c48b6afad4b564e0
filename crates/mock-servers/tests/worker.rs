//! The stand-in worker without its connection.

use mock_servers::worker::floor::Floor;
use mock_servers::worker::machine::{Worker, WorkerSettings};
use mock_servers::worker::messages::{BeatAnswer, Capacity, End, FinishedRow, StartRow, StopRow};
use mock_servers::worker::work::Work;

const TASK: &str = "0000000000000001.0.0.0";
const OTHER: &str = "0000000000000001.0.0.1";
const WORK: Work = Work {
    takes_ms: 100,
    cpu: 500,
    gang: 0,
    fails: false,
};
const HOLD_MS: u64 = 2_000;

fn worker_on(floor: &Floor, id: &str) -> Worker {
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
        lease_most_ms: 5_000,
        stop_takes_ms: 30,
        gang_waits_ms: 300,
    };
    Worker::new(settings, floor.clone())
}

fn worker() -> Worker {
    worker_on(&Floor::default(), "w")
}

fn start(task: &str, run: u32, work: Work) -> StartRow {
    StartRow(task.to_owned(), run, work.to_string(), String::new())
}

/// An answer that holds for two seconds and starts these.
fn starting(start: Vec<StartRow>) -> BeatAnswer {
    BeatAnswer {
        hold_ms: HOLD_MS,
        fence_token: 5,
        start,
        ..BeatAnswer::default()
    }
}

/// The ends that the next heartbeat lists.
fn ends(worker: &mut Worker, now: u64) -> Vec<(u64, u32, End)> {
    let finished = worker.beat(now).finished;
    finished
        .into_iter()
        .map(|FinishedRow(number, _, run, end, _)| (number, run, end))
        .collect()
}

#[test]
fn a_text_of_work_reads_as_it_was_written() {
    let work = Work {
        takes_ms: 7,
        cpu: 8,
        gang: 9,
        fails: true,
    };
    assert_eq!(work.to_string().parse(), Ok(work));
}

#[test]
fn a_run_works_and_is_done() {
    let mut worker = worker();
    assert!(worker.obey(starting(vec![start(TASK, 1, WORK)]), 1_000, 1_001));
    worker.pass(1_100);
    assert_eq!(worker.beat(1_100).running.len(), 1);
    worker.pass(1_101);
    assert_eq!(ends(&mut worker, 1_101), [(1, 1, End::Done)]);
}

#[test]
fn ends_are_listed_until_they_are_observed() {
    let mut worker = worker();
    worker.obey(
        starting(vec![start(TASK, 1, WORK), start(OTHER, 1, WORK)]),
        1_000,
        1_000,
    );
    worker.pass(1_100);
    assert_eq!(ends(&mut worker, 1_100).len(), 2);
    worker.obey(
        BeatAnswer {
            observed: 1,
            ..starting(Vec::new())
        },
        1_100,
        1_100,
    );
    assert_eq!(ends(&mut worker, 1_110), [(2, 1, End::Done)]);
}

#[test]
fn an_answer_without_a_hold_starts_nothing() {
    let mut worker = worker();
    worker.obey(
        BeatAnswer {
            hold_ms: 0,
            ..starting(vec![start(TASK, 1, WORK)])
        },
        1_000,
        1_000,
    );
    assert!(worker.beat(1_000).running.is_empty());
}

#[test]
fn late_answers_and_lower_tokens_are_not_obeyed() {
    let mut worker = worker();
    assert!(!worker.obey(starting(vec![start(TASK, 1, WORK)]), 1_000, 2_001));
    assert!(worker.obey(starting(Vec::new()), 1_000, 1_000));
    let lower = BeatAnswer {
        fence_token: 4,
        ..starting(vec![start(TASK, 1, WORK)])
    };
    assert!(!worker.obey(lower, 1_000, 1_000));
    assert!(worker.beat(1_000).running.is_empty());
}

#[test]
fn everything_lapses_with_the_hold_which_counts_from_the_sending() {
    let mut worker = worker();
    let long = Work {
        takes_ms: 60_000,
        ..WORK
    };
    worker.obey(starting(vec![start(TASK, 1, long)]), 1_000, 1_900);
    worker.pass(1_000 + HOLD_MS - 1);
    assert_eq!(worker.beat(2_999).running.len(), 1);
    worker.pass(1_000 + HOLD_MS);
    assert_eq!(ends(&mut worker, 3_000), [(1, 1, End::Lapsed)]);
}

#[test]
fn a_hold_never_shortens_and_never_exceeds_the_longest() {
    let mut worker = worker();
    let long = Work {
        takes_ms: 60_000,
        ..WORK
    };
    worker.obey(
        BeatAnswer {
            hold_ms: 90_000,
            ..starting(vec![start(TASK, 1, long)])
        },
        1_000,
        1_000,
    );
    worker.obey(
        BeatAnswer {
            hold_ms: 10,
            ..starting(Vec::new())
        },
        1_100,
        1_100,
    );
    worker.pass(5_999);
    assert_eq!(worker.beat(5_999).running.len(), 1);
    worker.pass(6_000);
    assert_eq!(ends(&mut worker, 6_000), [(1, 1, End::Lapsed)]);
}

#[test]
fn a_stop_takes_its_time_and_bars_what_is_not_above_it() {
    let mut worker = worker();
    let long = Work {
        takes_ms: 60_000,
        ..WORK
    };
    worker.obey(starting(vec![start(TASK, 2, long)]), 1_000, 1_000);
    let stop = vec![StopRow(TASK.to_owned(), 2), StopRow(OTHER.to_owned(), 3)];
    worker.obey(
        BeatAnswer {
            stop,
            ..starting(Vec::new())
        },
        1_100,
        1_100,
    );
    worker.pass(1_129);
    assert_eq!(worker.beat(1_129).running.len(), 1);
    worker.pass(1_130);
    assert_eq!(ends(&mut worker, 1_130), [(1, 2, End::Stopped)]);
    worker.obey(starting(vec![start(OTHER, 3, WORK)]), 1_200, 1_200);
    assert_eq!(ends(&mut worker, 1_200).last(), Some(&(2, 3, End::Refused)));
    worker.obey(starting(vec![start(OTHER, 4, WORK)]), 1_300, 1_300);
    assert_eq!(worker.beat(1_300).running.len(), 1);
}

#[test]
fn what_does_not_fit_is_refused() {
    let mut worker = worker();
    let large = Work { cpu: 700, ..WORK };
    worker.obey(
        starting(vec![start(TASK, 1, large), start(OTHER, 1, large)]),
        1_000,
        1_000,
    );
    assert_eq!(worker.beat(1_000).running.len(), 1);
    assert_eq!(ends(&mut worker, 1_000), [(1, 1, End::Refused)]);
}

#[test]
fn a_gang_works_from_when_its_last_member_is_there() {
    let floor = Floor::default();
    let gang = Work { gang: 2, ..WORK };
    let (mut one, mut two) = (worker_on(&floor, "one"), worker_on(&floor, "two"));
    one.obey(starting(vec![start(TASK, 1, gang)]), 1_000, 1_000);
    one.pass(1_200);
    assert!(ends(&mut one, 1_200).is_empty());
    two.obey(starting(vec![start(OTHER, 1, gang)]), 1_200, 1_200);
    one.pass(1_300);
    two.pass(1_300);
    assert_eq!(ends(&mut one, 1_300), [(1, 1, End::Done)]);
    assert_eq!(ends(&mut two, 1_300), [(1, 1, End::Done)]);
}

#[test]
fn a_member_that_waits_too_long_ends_alone_and_breaks_its_gang() {
    let floor = Floor::default();
    let gang = Work { gang: 3, ..WORK };
    let (mut one, mut two) = (worker_on(&floor, "one"), worker_on(&floor, "two"));
    one.obey(starting(vec![start(TASK, 1, gang)]), 1_000, 1_000);
    two.obey(starting(vec![start(OTHER, 1, gang)]), 1_200, 1_200);
    one.pass(1_300);
    two.pass(1_300);
    assert_eq!(ends(&mut one, 1_300), [(1, 1, End::Alone)]);
    assert_eq!(ends(&mut two, 1_300), [(1, 1, End::Broken)]);
}

#[test]
fn the_floor_counts_runs_side_by_side_and_after_an_observed_end() {
    let floor = Floor::default();
    let (mut one, mut two) = (worker_on(&floor, "one"), worker_on(&floor, "two"));
    one.obey(starting(vec![start(TASK, 1, WORK)]), 1_000, 1_000);
    assert_eq!((floor.run_twice(), floor.alive()), (0, 1));
    two.obey(starting(vec![start(TASK, 2, WORK)]), 1_010, 1_010);
    assert_eq!((floor.run_twice(), floor.alive()), (1, 2));
    one.pass(1_200);
    two.pass(1_200);
    one.obey(
        BeatAnswer {
            observed: 1,
            ..starting(Vec::new())
        },
        1_200,
        1_200,
    );
    two.obey(starting(vec![start(TASK, 3, WORK)]), 1_300, 1_300);
    assert_eq!((floor.run_twice(), floor.alive()), (2, 1));
}

#[test]
fn a_run_after_one_that_lapsed_is_no_second_one() {
    let floor = Floor::default();
    let (mut one, mut two) = (worker_on(&floor, "one"), worker_on(&floor, "two"));
    one.obey(
        starting(vec![start(
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
    one.pass(3_000);
    two.obey(starting(vec![start(TASK, 2, WORK)]), 3_010, 3_010);
    assert_eq!((floor.run_twice(), floor.alive()), (0, 1));
}
