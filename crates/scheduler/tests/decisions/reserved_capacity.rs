//! Capacity that is reserved for a gang, and single tasks of jobs with nothing running.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

/// Only two of five servers have the label "a". A gang waits for both as a whole until a run of 20 s ends, so they are
/// reserved for it.
fn bench_with_a_waiting_gang() -> Bench {
    let mut bench = Bench::new();
    for (machine, label) in (1..).zip(["a", "a", "b", "b", "b"]) {
        bench.attach(machine, 1, &[label, "r1"]);
    }
    let only_on_a = |step: Step| Step {
        requires: "a".to_owned(),
        ..step
    };
    bench.accept_steps(1, 1, vec![only_on_a(step(1, 4_000, 20_000))]);
    bench.run_for(300);
    let gang = Step {
        gang: true,
        ..step(2, 16_000, 2_000)
    };
    bench.accept_steps(2, 1, vec![only_on_a(gang)]);
    bench.run_for(300);
    bench.accept_steps(7, 1, vec![only_on_a(step(2, 1_000, 60_000))]);
    bench
}

#[test]
fn single_tasks_leave_reserved_capacity_to_the_gang_at_first() {
    let mut bench = bench_with_a_waiting_gang();
    bench.run_for(1_000);
    assert!(bench.machines_running(7).is_empty());
}

#[test]
fn a_job_of_single_tasks_does_not_stay_idle_beside_reserved_servers() {
    let mut bench = bench_with_a_waiting_gang();
    bench.run_for(2_500);
    assert!(!bench.machines_running(7).is_empty());
}

#[test]
fn a_gang_starts_on_its_reserved_servers_if_no_job_is_idle() {
    let mut bench = bench_with_a_waiting_gang();
    bench.run_for(1_000);
    let server = bench
        .servers
        .values_mut()
        .find(|server| server.running.iter().any(|run| run.task.job.0 == 1))
        .expect("the run of 20 s has a server");
    server.end(task(1, 0, 0), 1, RunEnd::Done);
    bench.run_for(400);
    assert_eq!(bench.machines_running(2).len(), 2);
}
