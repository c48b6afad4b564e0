//! Jobs with very many occurrences that are due at the same time.

use crate::bench::{step, Bench, WALL_START_MS};
use allocation_counter::measure;
use lupinrack_cluster_api::identity::{Attempt, JobId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, Step};
use lupinrack_cluster_api::server::RunEnd;
use std::collections::BTreeSet;

const JOB: u64 = 7;
const PRIORITY: u32 = 1;
const CPU_OF_A_SERVER: u64 = 16_000;
/// An eighth of the memory of a core machine with 256 MB, which is the share of the state.
const STATE_BYTES: u64 = 32_000_000;

/// A job of so many occurrences, all of which are due.
fn repeated(repeat: u32, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: "work".to_owned(),
        steps,
        repeat,
        start_at_ms: WALL_START_MS,
        interval_ms: 0,
    }
}

fn lasting(count: u32, cpu: u64) -> Step {
    Step {
        long_running: true,
        ..step(count, cpu, 400)
    }
}

/// A bench on which the bound of the takeover is over, with machines of these numbers.
fn bench(machines: u16) -> Bench {
    let mut bench = Bench::new();
    for machine in 1..=machines {
        bench.attach(machine, 1, &[]);
    }
    bench.run_for(bench.settings.takeover_bound_ms() + 100);
    bench
}

/// The tasks of a job that run.
fn running(bench: &Bench, job: u64) -> BTreeSet<TaskId> {
    let runs = bench.servers.values().flat_map(|server| &server.running);
    let tasks = runs.map(|run| run.task);
    tasks.filter(|task| task.job == JobId(job)).collect()
}

/// Ends all runs as done.
fn end_all(bench: &mut Bench) {
    for server in bench.servers.values_mut() {
        let runs: Vec<(TaskId, Attempt)> = server
            .running
            .iter()
            .map(|run| (run.task, run.attempt))
            .collect();
        for (task, attempt) in runs {
            server.end(task, attempt, RunEnd::Done);
        }
    }
}

/// Guards against occurrences that never begin, because earlier ones have lasting tasks and are never done.
#[test]
fn each_due_occurrence_of_a_lasting_job_begins_while_there_is_room() {
    for (repeat, expected) in [(80, 80), (1_000_000, 160)] {
        let mut bench = bench(1);
        bench.accept_job(JOB, PRIORITY, repeated(repeat, vec![lasting(1, 100)]));
        bench.run_for(5_000);
        assert_eq!(running(&bench, JOB).len(), expected, "{repeat} occurrences");
    }
}

/// Guards against later occurrences that wait for tasks of earlier ones, which anti-affinity keeps from starting.
#[test]
fn an_occurrence_at_the_limit_of_its_anti_affinity_holds_up_no_later_one() {
    let apart = Step {
        anti_affinity: 1,
        ..lasting(10_000, 100)
    };
    let mut bench = bench(2);
    bench.accept_job(JOB, PRIORITY, repeated(1_000, vec![apart]));
    bench.run_for(5_000);
    let running = running(&bench, JOB);
    assert_eq!(running.len() as u64, 2 * CPU_OF_A_SERVER / 100);
    let occurrences: BTreeSet<u32> = running.iter().map(|task| task.occurrence).collect();
    assert_eq!(occurrences.len() as u64, CPU_OF_A_SERVER / 100);
}

/// Guards against steps of later occurrences that wait for a step of earlier ones that no server can run.
#[test]
fn a_step_that_no_server_can_run_holds_up_no_other_step() {
    let impossible = Step {
        requires: "missing".to_owned(),
        ..step(10_000, 100, 400)
    };
    let mut bench = bench(1);
    let steps = vec![impossible, lasting(1, 100)];
    bench.accept_job(JOB, PRIORITY, repeated(1_000, steps));
    bench.run_for(5_000);
    assert_eq!(running(&bench, JOB).len(), 160);
}

/// Guards against memory that follows what jobs declare: the state and the tables of the scheduler went over 256 MB with one
/// job of 64 occurrences of 60,001 tasks, all begun.
#[test]
fn occurrences_that_have_begun_take_memory_for_what_was_started() {
    let after_the_first = Step {
        depends_on: vec![0],
        ..step(10_000, 100, 500)
    };
    let mut steps = vec![step(1, 100, 500)];
    steps.extend(vec![after_the_first; 6]);
    let mut begun = 0;
    let mut encoded = 0;
    let allocations = measure(|| {
        let mut bench = bench(3);
        bench.accept_job(JOB, PRIORITY, repeated(64, steps.clone()));
        bench.run_for(500);
        end_all(&mut bench);
        bench.run_for(500);
        let job = bench.state.job(JobId(JOB)).expect("it is kept");
        begun = job.occurrences.open().len();
        encoded = bench.state.to_bytes().expect("it can be encoded").len();
    });
    assert_eq!(begun, 64);
    assert!(encoded < 200_000, "{encoded} bytes encoded");
    assert!(allocations.bytes_max < STATE_BYTES, "{allocations:?}");
}

/// Guards against tables of the scheduler that grow with the product of jobs, steps and occurrences.
#[test]
fn many_jobs_of_a_million_occurrences_share_one_allowance() {
    let steps = vec![step(1, 8_000, 500); 64];
    let allocations = measure(|| {
        let mut bench = bench(1);
        for job in 1..=100 {
            bench.accept_job(job, PRIORITY, repeated(1_000_000, steps.clone()));
        }
        bench.run_for(200);
        assert_eq!(bench.servers[&1].running.len(), 2);
    });
    assert!(allocations.bytes_max < STATE_BYTES, "{allocations:?}");
}

/// Guards against the records of occurrences that are done: there may be a million of them.
#[test]
fn occurrences_that_are_done_take_no_memory_each() {
    let mut bench = bench(1);
    let steps = vec![step(1, 100, 100)];
    bench.accept_job(JOB, PRIORITY, repeated(1_000_000, steps));
    bench.run_for(200);
    let before = bench.state.to_bytes().expect("it can be encoded").len();
    for _ in 0..40 {
        end_all(&mut bench);
        bench.run_for(100);
    }
    let job = bench.state.job(JobId(JOB)).expect("it is kept");
    assert!(job.occurrences.done().len() > 1_000);
    let after = bench.state.to_bytes().expect("it can be encoded").len();
    assert!(after < before + 2_000, "{before} bytes, then {after}");
}

/// Guards against occurrences that have begun and cannot be done, since one of their steps waits, and take memory without
/// bound while their other steps go on.
#[test]
fn occurrences_that_wait_for_one_step_take_bounded_memory() {
    let impossible = Step {
        requires: "missing".to_owned(),
        ..step(1, 10, 100)
    };
    let allocations = measure(|| {
        let mut bench = bench(3);
        let steps = vec![impossible.clone(), step(1, 10, 100)];
        bench.accept_job(JOB, PRIORITY, repeated(1_000_000, steps));
        bench.run_for(500);
        for _ in 0..60 {
            end_all(&mut bench);
            bench.run_for(200);
        }
    });
    assert!(allocations.bytes_max < STATE_BYTES, "{allocations:?}");
}
