//! Tasks in the queue of a server whose free capacity belongs to more urgent tasks that do not fit yet.

use crate::bench::{step, Bench};
use lupinrack_cluster_api::job::Step;

/// Job 7 queues on server 1, near its data. Its free capacity belongs to an urgent task, which waits for a run that takes
/// longer than expected. Server 2 is empty.
fn bench_with_a_queued_task() -> Bench {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.attach(2, 1, &["b", "r2"]);
    let only_on_a = |step: Step| Step {
        requires: "a".to_owned(),
        ..step
    };
    bench.accept_steps(1, 0, vec![only_on_a(step(1, 12_000, 1_000))]);
    bench.run_for(300);
    bench.accept_steps(2, 0, vec![only_on_a(step(1, 6_000, 1_000))]);
    bench.run_for(300);
    let near_its_data = Step {
        affinity: "r1".to_owned(),
        ..step(1, 1_000, 20_000)
    };
    bench.accept_steps(7, 1, vec![near_its_data]);
    bench
}

#[test]
fn a_task_waits_at_first_in_the_queue_near_its_data() {
    let mut bench = bench_with_a_queued_task();
    bench.run_for(1_000);
    assert!(bench.machines_running(7).is_empty());
}

#[test]
fn a_job_with_nothing_running_does_not_stay_queued_behind_urgent_work() {
    let mut bench = bench_with_a_queued_task();
    bench.run_for(2_000);
    assert_eq!(bench.machines_running(7), vec![2]);
}
