//! Servers that fail, stall or are slow.

use super::{checkpointing, TraceBuilder};
use crate::bench::{step, task};
use crate::scenario::{Behavior, Scenario};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

pub const SCENARIOS: [(&str, TraceBuilder); 6] = [
    ("faults-failing-server", failing_server),
    ("faults-still-server", stalled_server),
    ("faults-slow-server", slow_server),
    ("faults-hopeless-job", job_that_cannot_succeed),
    ("faults-unlisted-start", unlisted_start),
    ("faults-every-end", every_end),
];

const THREE_SERVERS: [&[&str]; 3] = [&["a", "r1"], &["a", "r1"], &["a", "r2"]];

/// The server is suspected after failures of several jobs, probed at intervals, and cleared once runs succeed again.
fn failing_server() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.behaviors.insert(1, Behavior::Failing);
    scenario.run_for(100);
    for job in 1..=12 {
        scenario
            .bench
            .accept_steps(job, (job % 3) as u32, vec![step(5, 2_000, 600)]);
        scenario.run_for(400);
        if job == 6 {
            scenario.record_summary();
        }
        if job == 9 {
            scenario.behaviors.remove(&1);
        }
    }
    scenario.run_for(6_000);
    scenario.finish()
}

fn stalled_server() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.behaviors.insert(2, Behavior::Stalled);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![checkpointing(12, 3_000, 1_500)]);
    scenario.bench.accept_steps(
        2,
        0,
        vec![Step {
            gang: true,
            ..checkpointing(2, 3_000, 1_000)
        }],
    );
    scenario.run_for(9_000);
    scenario.finish()
}

fn slow_server() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.behaviors.insert(3, Behavior::Slow);
    scenario.run_for(100);
    for job in 1..=10 {
        scenario
            .bench
            .accept_steps(job, 1, vec![step(6, 2_500, 500)]);
        scenario.run_for(700);
    }
    scenario.run_for(5_000);
    scenario.finish()
}

/// A job whose task fails `max_retries` times.
fn job_that_cannot_succeed() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(2, 1_000, 60_000), step(1, 500, 60_000)]);
    scenario.bench.accept_steps(
        2,
        1,
        vec![Step {
            long_running: true,
            ..step(1, 500, 500)
        }],
    );
    for _ in 0..4 {
        scenario.run_for(300);
        scenario.end(task(1, 0, 1), RunEnd::Failed);
        scenario.end(task(2, 0, 0), RunEnd::Failed);
    }
    scenario.run_for(1_000);
    scenario.finish()
}

/// A server that acknowledges an order to start a run and never lists the run.
fn unlisted_start() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(1, 1_000, 1_000)]);
    scenario.round();
    scenario.round();
    for message in &mut scenario.bench.messages {
        message.1.assign.clear();
    }
    scenario.run_for(8_000);
    scenario.finish()
}

/// Each kind of end, with and without a checkpoint.
fn every_end() -> String {
    let ends = [
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::LeaseExpired,
        RunEnd::Broken,
        RunEnd::Alone,
        RunEnd::Refused,
    ];
    let mut scenario = Scenario::new(&THREE_SERVERS);
    let count = ends.len() as u32;
    scenario.bench.accept_steps(
        1,
        1,
        vec![checkpointing(count, 500, 20_000), step(count, 500, 20_000)],
    );
    scenario.run_for(3_000);
    for (index, end) in (0..).zip(ends) {
        scenario.end(task(1, 0, index), end);
        scenario.end(task(1, 1, index), end);
        scenario.run_for(150);
    }
    scenario.run_for(1_000);
    scenario.finish()
}
