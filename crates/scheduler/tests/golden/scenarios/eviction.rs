//! Preemption for more urgent tasks, and evacuation of draining servers.

use super::{checkpointing, TraceBuilder};
use crate::bench::step;
use crate::scenario::Scenario;
use lupinrack_cluster_api::job::Step;

pub const SCENARIOS: [(&str, TraceBuilder); 7] = [
    ("preemption", preemption),
    ("preemption-least-loss", least_lost_work),
    ("preemption-not", not_preempted),
    ("drain-with-room", drain_with_capacity),
    ("drain-last-call", drain_without_capacity),
    ("drain-unstarted", drain_with_unstarted_runs),
    ("drain-giving-up", drain_without_checkpoints),
];

const TWO_SERVERS: [&[&str]; 2] = [&["a", "r1"], &["a", "r1"]];

fn preemption() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario
        .bench
        .accept_steps(1, 2, vec![checkpointing(8, 2_000, 6_000)]);
    scenario
        .bench
        .accept_steps(2, 1, vec![checkpointing(4, 4_000, 6_000)]);
    scenario.run_for(1_500);
    scenario.bench.accept_steps(3, 0, vec![step(5, 3_000, 500)]);
    scenario.run_for(8_000);
    scenario.finish()
}

/// Runs with the most recent checkpoints are preempted, because they lose the least work.
fn least_lost_work() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    for job in 1..=4 {
        scenario
            .bench
            .accept_steps(job, 2, vec![checkpointing(1, 8_000, 4_000 + 1_000 * job)]);
        scenario.run_for(300);
    }
    scenario.bench.accept_steps(
        9,
        0,
        vec![Step {
            requires: "a".to_owned(),
            ..step(1, 5_000, 300)
        }],
    );
    scenario.run_for(300);
    scenario
        .bench
        .accept_steps(10, 0, vec![step(2, 8_000, 300)]);
    scenario.run_for(8_000);
    scenario.finish()
}

/// Runs without checkpoints, gangs, long-running tasks and runs of the same priority are not preempted.
fn not_preempted() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.bench.accept_steps(
        1,
        2,
        vec![Step {
            gang: true,
            ..checkpointing(2, 6_000, 3_000)
        }],
    );
    scenario
        .bench
        .accept_steps(2, 2, vec![step(1, 6_000, 3_000)]);
    scenario.bench.accept_steps(
        3,
        2,
        vec![Step {
            long_running: true,
            ..checkpointing(1, 6_000, 500)
        }],
    );
    scenario
        .bench
        .accept_steps(4, 0, vec![checkpointing(2, 4_000, 2_500)]);
    scenario.run_for(500);
    scenario.bench.accept_steps(5, 0, vec![step(2, 6_000, 500)]);
    scenario
        .bench
        .accept_steps(6, 1, vec![step(1, 10_000, 500)]);
    scenario.run_for(6_000);
    scenario.finish()
}

/// Runs that would not end in time move to the other server, as far as it has capacity. The others continue.
fn drain_with_capacity() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario
        .bench
        .accept_steps(1, 1, vec![checkpointing(5, 4_000, 9_000)]);
    scenario
        .bench
        .accept_steps(2, 1, vec![step(2, 2_000, 1_000)]);
    scenario
        .bench
        .accept_steps(3, 1, vec![step(1, 2_000, 30_000)]);
    scenario.run_for(500);
    let draining_server = scenario.server(1);
    (draining_server.draining, draining_server.remaining_ms) = (true, Some(6_000));
    scenario.run_for(500);
    scenario.record_summary();
    scenario.run_for(3_000);
    scenario.bench.deregister(1);
    scenario.bench.servers.remove(&1);
    scenario.run_for(2_000);
    scenario.finish()
}

/// Without capacity on the other server, runs with checkpoints are stopped at the latest possible time.
fn drain_without_capacity() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario
        .bench
        .accept_steps(1, 1, vec![checkpointing(8, 4_000, 9_000)]);
    scenario.run_for(500);
    scenario.server(2).draining = true;
    for _ in 0..60 {
        scenario.run_for(50);
        let left = scenario.server(2).remaining_ms.unwrap_or(4_000);
        scenario.server(2).remaining_ms = Some(left.saturating_sub(50));
    }
    scenario.bench.deregister(2);
    scenario.bench.servers.remove(&2);
    scenario.run_for(6_000);
    scenario.finish()
}

/// A start that a server has not executed when it begins to drain is withdrawn.
fn drain_with_unstarted_runs() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(3, 4_000, 1_000)]);
    scenario.round();
    scenario.round();
    scenario.server(1).draining = true;
    scenario.server(2).draining = false;
    scenario.run_for(4_000);
    scenario.finish()
}

/// Runs without checkpoints are stopped only if they would take much longer than the time that is left.
fn drain_without_checkpoints() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    for job in 1..=6 {
        scenario
            .bench
            .accept_steps(job, 1, vec![step(1, 1_000, 5_000 + 1_500 * job)]);
    }
    scenario.run_for(500);
    let draining_server = scenario.server(1);
    (draining_server.draining, draining_server.remaining_ms) = (true, Some(7_000));
    scenario.run_for(2_000);
    scenario.finish()
}
