//! Mechanisms that the policy turns off have no effect on decisions.

use crate::bench::{step, Bench};
use lupinrack_cluster_api::job::Step;
use lupinrack_scheduler::SchedulingPolicy;

/// Two servers are full of preemptible runs, and an urgent task waits. Returns the number of runs that are stopped.
fn stops_for_urgent_work(policy: SchedulingPolicy) -> usize {
    let mut bench = Bench::with_policy(policy);
    for machine in 1..=2 {
        bench.attach(machine, 1, &["a", "r1"]);
    }
    let long = Step {
        checkpoints: true,
        ..step(32, 1_000, 60_000)
    };
    bench.accept_steps(1, 1, vec![long]);
    bench.run_for(500);
    bench.accept_steps(2, 0, vec![step(1, 1_000, 500)]);
    let mut stops = 0;
    for _ in 0..10 {
        bench.now += 50;
        let round = bench.round();
        stops += round
            .messages
            .iter()
            .map(|order| order.message.stop.len())
            .sum::<usize>();
        bench.exchange_messages();
    }
    stops
}

#[test]
fn urgent_tasks_preempt_by_default() {
    assert!(stops_for_urgent_work(SchedulingPolicy::default()) > 0);
}

#[test]
fn without_preemption_no_run_is_stopped_for_urgent_tasks() {
    let policy = SchedulingPolicy {
        preempts: false,
        ..SchedulingPolicy::default()
    };
    assert_eq!(stops_for_urgent_work(policy), 0);
}

/// The machine of a small task, if the second of two servers has the least capacity left.
fn machine_of_small_task(policy: SchedulingPolicy) -> Vec<u16> {
    let mut bench = Bench::with_policy(policy);
    bench.attach(1, 1, &["a", "r1"]);
    bench.attach(2, 1, &["b", "r1"]);
    bench.run_for(100);
    let filler = Step {
        requires: "b".to_owned(),
        ..step(1, 12_000, 60_000)
    };
    bench.accept_steps(1, 0, vec![filler]);
    bench.run_for(200);
    bench.accept_steps(2, 0, vec![step(1, 1_000, 60_000)]);
    bench.run_for(200);
    bench.machines_running(2)
}

#[test]
fn tasks_are_packed_on_the_server_with_least_capacity_left() {
    assert_eq!(machine_of_small_task(SchedulingPolicy::default()), [2]);
}

#[test]
fn without_packing_the_first_server_with_capacity_is_chosen() {
    let policy = SchedulingPolicy {
        packs: false,
        ..SchedulingPolicy::default()
    };
    assert_eq!(machine_of_small_task(policy), [1]);
}

/// The number of long tasks with large memory needs that run after urgent tasks with such needs have ended. The server has
/// enough processor for all of them.
fn long_tasks_running_after_urgent_peak(policy: SchedulingPolicy) -> usize {
    let mut bench = Bench::with_policy(policy);
    bench.attach(1, 1, &["a", "r1"]);
    let large_in_memory = |count: u32, estimate_ms: u64| {
        let mut step = step(count, 100, estimate_ms);
        step.needs.memory_mb = 3_200;
        step
    };
    bench.accept_steps(1, 0, vec![large_in_memory(2, 400)]);
    bench.run_for(300);
    bench.cancel(1);
    bench.run_for(300);
    bench.accept_steps(2, 1, vec![large_in_memory(10, 60_000)]);
    bench.run_for(500);
    bench.machines_running(2).len()
}

#[test]
fn the_peak_memory_of_urgent_tasks_is_kept_free_for_them() {
    let running = long_tasks_running_after_urgent_peak(SchedulingPolicy::default());
    assert!((7..=8).contains(&running), "{running} of 10 tasks run");
}

#[test]
fn without_headroom_long_tasks_use_all_memory() {
    let policy = SchedulingPolicy {
        keeps_headroom: false,
        ..SchedulingPolicy::default()
    };
    assert_eq!(long_tasks_running_after_urgent_peak(policy), 10);
}
