//! Jobs of two queues of one service that have the same identity: their tasks have the same names on servers.

use crate::bench::{step, Bench, ModelServer, WALL_START_MS};
use lupinrack_cluster_api::identity::{Attempt, JobId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{JobRecord, TaskRecord};
use std::collections::BTreeSet;

const ID: JobId = JobId(7);
/// The priorities of the two queues.
const FIRST: u32 = 1;
const SECOND: u32 = 2;

fn target(priority: u32) -> Target {
    Target {
        host: "h".to_owned(),
        path: format!("/q{priority}/{ID}"),
    }
}

fn accept(bench: &mut Bench, priority: u32, steps: Vec<Step>) {
    let at = WallMillis(WALL_START_MS + bench.now);
    let spec = JobSpec {
        spec: format!("job of queue {priority}"),
        steps,
        ..JobSpec::default()
    };
    bench.apply(Operation::AcceptJobAt {
        target: target(priority),
        job: ID,
        spec,
        at,
    });
}

fn cancel(bench: &mut Bench, priority: u32) {
    let at = WallMillis(WALL_START_MS + bench.now);
    bench.apply(Operation::CancelJobAt {
        target: target(priority),
        job: ID,
        at,
    });
}

fn job(bench: &Bench, priority: u32) -> &JobRecord {
    let job = bench.state.read_job(&target(priority), ID);
    job.expect("it was accepted")
}

fn record(bench: &Bench, priority: u32, index: u32) -> &TaskRecord {
    let task = job(bench, priority).task(0, 0, index);
    task.expect("its occurrence was started")
}

/// The name of a task on servers.
fn name(index: u32) -> TaskId {
    TaskId {
        job: ID,
        occurrence: 0,
        step: 0,
        index,
    }
}

/// The server with this run, which it ends.
fn end(bench: &mut Bench, index: u32, attempt: Attempt, how: RunEnd) {
    let is_run = |server: &&mut ModelServer| {
        let mut running = server.running.iter();
        running.any(|run| (run.task, run.attempt) == (name(index), attempt))
    };
    let mut servers = bench.servers.values_mut();
    let server = servers.find(is_run).expect("a server has the run");
    server.end(name(index), attempt, how);
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

/// Guards against a job that never begins, and against runs that are mixed up, since tasks of two jobs have one name.
#[test]
fn both_jobs_run_and_each_end_counts_for_its_own_job() {
    let mut bench = bench(2);
    accept(&mut bench, FIRST, vec![step(1, 1_000, 60_000)]);
    accept(&mut bench, SECOND, vec![step(1, 1_000, 60_000)]);
    bench.run_for(1_000);
    assert_eq!(bench.machines_running(ID.0), [1, 2], "on different servers");
    let attempts = [FIRST, SECOND].map(|queue| record(&bench, queue, 0).attempt);
    assert_ne!(attempts[0], attempts[1]);
    end(&mut bench, 0, attempts[1], RunEnd::Done);
    bench.run_for(500);
    assert_eq!(job(&bench, SECOND).state, JobState::Succeeded);
    assert_eq!(job(&bench, FIRST).state, JobState::Running);
    assert_eq!(bench.machines_running(ID.0).len(), 1);
    end(&mut bench, 0, attempts[0], RunEnd::Done);
    bench.run_for(500);
    assert_eq!(job(&bench, FIRST).state, JobState::Succeeded);
}

/// Guards against a cancellation that stops the run of the other job, also by an owner that has just taken over.
#[test]
fn a_cancellation_stops_the_runs_of_its_own_job_alone() {
    for has_new_owner in [false, true] {
        let mut bench = bench(2);
        accept(&mut bench, FIRST, vec![step(1, 1_000, 60_000)]);
        accept(&mut bench, SECOND, vec![step(1, 1_000, 60_000)]);
        bench.run_for(1_000);
        let kept = record(&bench, FIRST, 0).attempt;
        if has_new_owner {
            bench.take_over(2);
            for machine in [1, 2] {
                bench.reattach(machine, 9_000 + u64::from(machine));
            }
        }
        cancel(&mut bench, SECOND);
        bench.run_for(1_000);
        let runs = bench.servers.values().flat_map(|server| &server.running);
        // The model server lists a run twice if it gets the order again.
        let attempts: BTreeSet<Attempt> = runs.map(|run| run.attempt).collect();
        let expected = BTreeSet::from([kept]);
        assert_eq!(attempts, expected, "new owner: {has_new_owner}");
        assert_eq!(job(&bench, FIRST).state, JobState::Running);
    }
}

/// Guards against two runs of one name on a server, and against other tasks that wait for the one that has to.
#[test]
fn a_task_waits_for_its_namesake_on_the_only_server_and_holds_up_no_other() {
    let mut bench = bench(1);
    accept(&mut bench, FIRST, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    accept(&mut bench, SECOND, vec![step(2, 1_000, 60_000)]);
    bench.accept_steps(8, SECOND, vec![step(1, 1_000, 60_000)]);
    bench.run_for(1_000);
    assert_eq!(record(&bench, SECOND, 0).server(), None);
    assert!(record(&bench, SECOND, 1).server().is_some());
    assert_eq!(bench.machines_running(8), [1]);
    let first = record(&bench, FIRST, 0).attempt;
    end(&mut bench, 0, first, RunEnd::Done);
    bench.run_for(1_000);
    assert!(record(&bench, SECOND, 0).server().is_some());
}

/// Guards against an end that is listed again and counts for the run of the other job on the same server.
#[test]
fn an_end_that_is_listed_again_is_not_that_of_the_other_job() {
    let mut bench = bench(1);
    accept(&mut bench, FIRST, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    let first = record(&bench, FIRST, 0).attempt;
    end(&mut bench, 0, first, RunEnd::Done);
    let listed = bench.servers[&1].finished.clone();
    bench.run_for(500);
    accept(&mut bench, SECOND, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    bench.take_over(2);
    let server = bench.servers.get_mut(&1).expect("it is attached");
    server.finished = listed;
    bench.reattach(1, 9_001);
    bench.run_for(1_000);
    assert_eq!(job(&bench, FIRST).state, JobState::Succeeded);
    assert_eq!(job(&bench, SECOND).state, JobState::Running);
    assert!(record(&bench, SECOND, 0).server().is_some());
}

/// Guards against a run that continues from the checkpoint of the other job.
#[test]
fn a_checkpoint_stays_with_its_own_job() {
    let mut bench = bench(2);
    let steps = || {
        vec![Step {
            checkpoints: true,
            ..step(1, 1_000, 60_000)
        }]
    };
    accept(&mut bench, FIRST, steps());
    accept(&mut bench, SECOND, steps());
    bench.run_for(1_000);
    for queue in [FIRST, SECOND] {
        let attempt = record(&bench, queue, 0).attempt;
        let mut servers = bench.servers.values_mut();
        let run = servers.find_map(|server| {
            let mut running = server.running.iter_mut();
            running.find(|run| run.attempt == attempt)
        });
        run.expect("it runs").checkpoint = format!("work of {queue}");
        end(&mut bench, 0, attempt, RunEnd::Stopped);
    }
    bench.run_for(1_000);
    let runs = bench.servers.values().flat_map(|server| &server.running);
    let continued: Vec<(Attempt, &str)> = runs
        .map(|run| (run.attempt, run.checkpoint.as_str()))
        .collect();
    assert_eq!(continued.len(), 2);
    for queue in [FIRST, SECOND] {
        let attempt = record(&bench, queue, 0).attempt;
        let checkpoint = format!("work of {queue}");
        assert!(continued.contains(&(attempt, &checkpoint)), "{continued:?}");
    }
}

/// Guards against gangs of one identity that share a server, or that never start.
#[test]
fn gangs_of_one_identity_run_on_different_servers() {
    let mut bench = bench(2);
    let gang = || {
        vec![Step {
            gang: true,
            ..step(2, 1_000, 60_000)
        }]
    };
    accept(&mut bench, FIRST, gang());
    accept(&mut bench, SECOND, gang());
    bench.run_for(2_000);
    assert_eq!(bench.machines_running(ID.0).len(), 4);
    for index in [0, 1] {
        let servers = [FIRST, SECOND].map(|queue| record(&bench, queue, index).server().cloned());
        assert_ne!(servers[0], servers[1]);
    }
}
