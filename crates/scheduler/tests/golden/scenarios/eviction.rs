//! Runs that give way to more urgent work, or that leave a server which drains.

use super::{saving, Build};
use crate::bench::step;
use crate::scenario::Scenario;
use lupinrack_cluster_api::job::Step;

pub const SCENARIOS: [(&str, Build); 7] = [
    ("preemption", preemption),
    ("preemption-least-loss", least_loss),
    ("preemption-not", not_preempted),
    ("drain-with-room", drain_with_room),
    ("drain-last-call", drain_last_call),
    ("drain-unstarted", drain_unstarted),
    ("drain-giving-up", drain_giving_up),
];

const TWO: [&[&str]; 2] = [&["a", "r1"], &["a", "r1"]];

fn preemption() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario
        .bench
        .accept_steps(1, 2, vec![saving(8, 2_000, 6_000)]);
    scenario
        .bench
        .accept_steps(2, 1, vec![saving(4, 4_000, 6_000)]);
    scenario.run_for(1_500);
    scenario.bench.accept_steps(3, 0, vec![step(5, 3_000, 500)]);
    scenario.run_for(8_000);
    scenario.finish()
}

/// What was saved last loses least.
fn least_loss() -> String {
    let mut scenario = Scenario::new(&TWO);
    for job in 1..=4 {
        scenario
            .bench
            .accept_steps(job, 2, vec![saving(1, 8_000, 4_000 + 1_000 * job)]);
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

/// Neither work that saves nothing, nor gangs, nor lasting work, nor work of the same priority gives way.
fn not_preempted() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario.bench.accept_steps(
        1,
        2,
        vec![Step {
            gang: true,
            ..saving(2, 6_000, 3_000)
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
            ..saving(1, 6_000, 500)
        }],
    );
    scenario
        .bench
        .accept_steps(4, 0, vec![saving(2, 4_000, 2_500)]);
    scenario.run_for(500);
    scenario.bench.accept_steps(5, 0, vec![step(2, 6_000, 500)]);
    scenario
        .bench
        .accept_steps(6, 1, vec![step(1, 10_000, 500)]);
    scenario.run_for(6_000);
    scenario.finish()
}

/// What would not end in time goes elsewhere, as far as there is capacity; the rest stays.
fn drain_with_room() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario
        .bench
        .accept_steps(1, 1, vec![saving(5, 4_000, 9_000)]);
    scenario
        .bench
        .accept_steps(2, 1, vec![step(2, 2_000, 1_000)]);
    scenario
        .bench
        .accept_steps(3, 1, vec![step(1, 2_000, 30_000)]);
    scenario.run_for(500);
    let leaving = scenario.server(1);
    (leaving.draining, leaving.remaining_ms) = (true, Some(6_000));
    scenario.run_for(500);
    scenario.note_summary();
    scenario.run_for(3_000);
    scenario.bench.deregister(1);
    scenario.bench.servers.remove(&1);
    scenario.run_for(2_000);
    scenario.finish()
}

/// Without capacity elsewhere what writes checkpoints is stopped at the last moment.
fn drain_last_call() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario
        .bench
        .accept_steps(1, 1, vec![saving(8, 4_000, 9_000)]);
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

/// A start that a server had not begun when it began to drain is taken back.
fn drain_unstarted() -> String {
    let mut scenario = Scenario::new(&TWO);
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

/// Work that saves nothing is given up only where it would take much more time than is left.
fn drain_giving_up() -> String {
    let mut scenario = Scenario::new(&TWO);
    for job in 1..=6 {
        scenario
            .bench
            .accept_steps(job, 1, vec![step(1, 1_000, 5_000 + 1_500 * job)]);
    }
    scenario.run_for(500);
    let leaving = scenario.server(1);
    (leaving.draining, leaving.remaining_ms) = (true, Some(7_000));
    scenario.run_for(2_000);
    scenario.finish()
}
