//! Runs that give way: to more urgent work, on servers that leave, and on those that fail.

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

fn saving(count: u32, cpu: u64) -> Step {
    Step {
        checkpoints: true,
        ..step(count, cpu, 60_000)
    }
}

#[test]
fn urgent_work_preempts_what_can_continue_later_and_no_more_than_needed() {
    let mut bench = servers(1);
    bench.accept_steps(1, 2, vec![saving(8, 2_000)]);
    bench.run_for(300);
    bench.accept_steps(7, 0, vec![step(3, 1_000, 500)]);
    bench.run_for(1_000);
    assert_eq!(bench.machines_of(7).len(), 3);
    assert_eq!(bench.machines_of(1).len(), 6);
}

#[test]
fn work_that_saves_nothing_is_not_preempted() {
    let mut bench = servers(1);
    bench.accept_steps(1, 2, vec![step(8, 2_000, 60_000)]);
    bench.run_for(300);
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.run_for(1_500);
    assert_eq!(bench.machines_of(1).len(), 8);
}

#[test]
fn less_urgent_work_preempts_nothing() {
    let mut bench = servers(1);
    bench.accept_steps(1, 2, vec![saving(8, 2_000)]);
    bench.run_for(300);
    bench.accept_steps(7, 1, vec![step(1, 1_000, 500)]);
    bench.run_for(1_500);
    assert_eq!(bench.machines_of(1).len(), 8);
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut bench = servers(2);
    bench.servers.get_mut(&1).expect("it is there").remaining_ms = Some(60_000);
    bench.beat(1);
    bench.accept_steps(7, 0, vec![step(20, 1_000, 500)]);
    bench.run_for(500);
    assert_eq!(bench.machines_of(7), vec![2; 16]);
}

#[test]
fn what_would_not_end_in_time_moves_off_a_draining_server_where_there_is_capacity() {
    let mut bench = servers(2);
    bench.accept_steps(7, 1, vec![saving(1, 2_000)]);
    bench.accept_steps(8, 1, vec![step(1, 2_000, 1_000)]);
    bench.run_for(300);
    let from = bench.machines_of(7)[0];
    assert_eq!(bench.machines_of(8), vec![from], "they are packed");
    let server = bench.servers.get_mut(&from).expect("it is there");
    server
        .running
        .iter_mut()
        .for_each(|run| run.checkpoint = "kept".to_owned());
    server.remaining_ms = Some(20_000);
    bench.run_for(500);
    let to = 3 - from;
    assert_eq!(bench.machines_of(7), vec![to]);
    assert_eq!(bench.servers[&to].running[0].checkpoint, "kept");
    assert_eq!(bench.machines_of(8), vec![from], "it ends in time");
}

#[test]
fn a_failed_task_goes_to_another_server() {
    let mut bench = servers(2);
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.run_for(200);
    let first = bench.machines_of(7)[0];
    bench
        .servers
        .get_mut(&first)
        .expect("it is there")
        .end(task(7, 0, 0), 1, RunEnd::Failed);
    bench.run_for(300);
    assert_eq!(bench.machines_of(7), vec![3 - first]);
}

#[test]
fn a_server_that_fails_several_jobs_is_avoided_and_tried_again() {
    let mut bench = servers(2);
    for job in 1..=2 {
        bench.accept_steps(job, 1, vec![step(1, 1_000, 500)]);
        bench.run_for(200);
        let at = bench.machines_of(job)[0];
        // The first one decides which server it is.
        if at == 1 {
            bench
                .servers
                .get_mut(&1)
                .expect("it is there")
                .end(task(job, 0, 0), 1, RunEnd::Failed);
            bench.run_for(200);
        }
    }
    bench.accept_steps(7, 1, vec![step(10, 1_000, 60_000)]);
    bench.run_for(200);
    let on_suspect = bench
        .machines_of(7)
        .iter()
        .filter(|machine| **machine == 1)
        .count();
    assert!(on_suspect <= 1, "one trial at most, not {on_suspect}");
}

#[test]
fn a_run_that_stands_still_is_moved() {
    let mut bench = servers(2);
    bench.accept_steps(7, 1, vec![saving(1, 1_000)]);
    bench.run_for(300);
    let first = bench.machines_of(7)[0];
    let begin = bench.now;
    let expected_ms = 60_000;
    let least_ms = bench.settings.stall_ms + expected_ms / 10;
    while bench.machines_of(7) != vec![3 - first] && bench.now < begin + 30_000 {
        bench.run_for(100);
    }
    assert_eq!(bench.machines_of(7), vec![3 - first]);
    assert!(
        bench.now > begin + least_ms,
        "not before {least_ms} ms, but at {}",
        bench.now - begin
    );
}

#[test]
fn ends_of_every_run_are_recorded_under_the_newest_attempt_only() {
    let mut bench = servers(1);
    bench.accept_steps(7, 1, vec![saving(2, 1_000)]);
    bench.run_for(200);
    let server = bench.servers.get_mut(&1).expect("it is there");
    server.end(task(7, 0, 0), 1, RunEnd::Stopped);
    bench.run_for(300);
    let record = &bench.state.job(JobId(7)).expect("the job is known");
    let attempts: Vec<u32> = (0..2)
        .filter_map(|index| record.task(0, 0, index))
        .map(|task| task.attempt)
        .collect();
    assert_eq!(attempts, vec![2, 1]);
    assert!(
        bench.servers[&1].finished.is_empty(),
        "the end was observed"
    );
}
