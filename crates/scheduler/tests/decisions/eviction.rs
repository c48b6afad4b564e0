//! Stops of runs: preemption for urgent tasks, evacuation of draining servers, stalled runs, and retries after failures.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

fn servers(count: u16) -> Bench {
    let mut bench = Bench::new();
    for machine in 1..=count {
        bench.attach(machine, 1, &["a", "r1"]);
    }
    bench.round();
    bench
}

fn checkpointing(count: u32, cpu: u64) -> Step {
    Step {
        checkpoints: true,
        ..step(count, cpu, 60_000)
    }
}

#[test]
fn urgent_tasks_preempt_no_more_checkpointed_runs_than_needed() {
    let mut bench = servers(1);
    bench.accept_steps(1, 2, vec![checkpointing(8, 2_000)]);
    bench.run_for(300);
    bench.accept_steps(7, 0, vec![step(3, 1_000, 500)]);
    bench.run_for(1_000);
    assert_eq!(bench.machines_running(7).len(), 3);
    assert_eq!(bench.machines_running(1).len(), 6);
}

#[test]
fn runs_without_checkpoints_are_not_preempted() {
    let mut bench = servers(1);
    bench.accept_steps(1, 2, vec![step(8, 2_000, 60_000)]);
    bench.run_for(300);
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.run_for(1_500);
    assert_eq!(bench.machines_running(1).len(), 8);
}

#[test]
fn only_tasks_of_the_most_urgent_priority_preempt() {
    let mut bench = servers(1);
    bench.accept_steps(1, 2, vec![checkpointing(8, 2_000)]);
    bench.run_for(300);
    bench.accept_steps(7, 1, vec![step(1, 1_000, 500)]);
    bench.run_for(1_500);
    assert_eq!(bench.machines_running(1).len(), 8);
}

#[test]
fn a_draining_server_gets_no_new_runs() {
    let mut bench = servers(2);
    bench
        .servers
        .get_mut(&1)
        .expect("the server exists")
        .remaining_ms = Some(60_000);
    bench.send_heartbeat(1);
    bench.accept_steps(7, 0, vec![step(20, 1_000, 500)]);
    bench.run_for(500);
    assert_eq!(bench.machines_running(7), vec![2; 16]);
}

#[test]
fn runs_that_would_not_end_in_time_move_off_a_draining_server() {
    let mut bench = servers(2);
    bench.accept_steps(7, 1, vec![checkpointing(1, 2_000)]);
    bench.accept_steps(8, 1, vec![step(1, 2_000, 1_000)]);
    bench.run_for(300);
    let from = bench.machines_running(7)[0];
    assert_eq!(
        bench.machines_running(8),
        vec![from],
        "both jobs are packed on one server"
    );
    let server = bench.servers.get_mut(&from).expect("the server exists");
    server
        .running
        .iter_mut()
        .for_each(|run| run.checkpoint = "kept".to_owned());
    server.remaining_ms = Some(20_000);
    bench.run_for(500);
    let to = 3 - from;
    assert_eq!(bench.machines_running(7), vec![to]);
    assert_eq!(bench.servers[&to].running[0].checkpoint, "kept");
    assert_eq!(bench.machines_running(8), vec![from], "job 8 ends in time");
}

#[test]
fn a_failed_task_is_retried_on_another_server() {
    let mut bench = servers(2);
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.run_for(200);
    let first = bench.machines_running(7)[0];
    bench
        .servers
        .get_mut(&first)
        .expect("the server exists")
        .end(task(7, 0, 0), 1, RunEnd::Failed);
    bench.run_for(300);
    assert_eq!(bench.machines_running(7), vec![3 - first]);
}

#[test]
fn a_suspected_server_gets_at_most_one_probation_run() {
    let mut bench = servers(2);
    for job in 1..=2 {
        bench.accept_steps(job, 1, vec![step(1, 1_000, 500)]);
        bench.run_for(200);
        let at = bench.machines_running(job)[0];
        // Only failures on machine 1 are injected.
        if at == 1 {
            bench.servers.get_mut(&1).expect("the server exists").end(
                task(job, 0, 0),
                1,
                RunEnd::Failed,
            );
            bench.run_for(200);
        }
    }
    bench.accept_steps(7, 1, vec![step(10, 1_000, 60_000)]);
    bench.run_for(200);
    let runs_on_suspect = bench
        .machines_running(7)
        .iter()
        .filter(|machine| **machine == 1)
        .count();
    assert!(
        runs_on_suspect <= 1,
        "at most one probation run, not {runs_on_suspect}"
    );
}

#[test]
fn a_stalled_run_is_moved_to_another_server() {
    let mut bench = servers(2);
    bench.accept_steps(7, 1, vec![checkpointing(1, 1_000)]);
    bench.run_for(300);
    let first = bench.machines_running(7)[0];
    let stalled_since = bench.now;
    let expected_ms = 60_000;
    let min_stalled_ms = bench.settings.stall_ms + expected_ms / 10;
    while bench.machines_running(7) != vec![3 - first] && bench.now < stalled_since + 30_000 {
        bench.run_for(100);
    }
    assert_eq!(bench.machines_running(7), vec![3 - first]);
    assert!(
        bench.now > stalled_since + min_stalled_ms,
        "moved after {} ms, before {min_stalled_ms} ms",
        bench.now - stalled_since
    );
}

#[test]
fn the_end_of_a_run_starts_a_new_attempt_of_its_task_only() {
    let mut bench = servers(1);
    bench.accept_steps(7, 1, vec![checkpointing(2, 1_000)]);
    bench.run_for(200);
    let server = bench.servers.get_mut(&1).expect("the server exists");
    server.end(task(7, 0, 0), 1, RunEnd::Stopped);
    bench.run_for(300);
    let record = &bench.state.job(JobId(7)).expect("the job exists");
    let attempts: Vec<u32> = (0..2)
        .filter_map(|index| record.task(0, 0, index))
        .map(|task| task.attempt)
        .collect();
    assert_eq!(attempts, vec![2, 1]);
    assert!(
        bench.servers[&1].finished.is_empty(),
        "the end was acknowledged"
    );
}
