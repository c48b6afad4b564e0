//! Servers that fail, stand still or are slow.

use super::{saving, Build};
use crate::bench::{step, task};
use crate::scenario::{Conduct, Scenario};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

pub const SCENARIOS: [(&str, Build); 6] = [
    ("faults-failing-server", failing_server),
    ("faults-still-server", still_server),
    ("faults-slow-server", slow_server),
    ("faults-hopeless-job", hopeless_job),
    ("faults-unlisted-start", unlisted_start),
    ("faults-every-end", every_end),
];

const THREE: [&[&str]; 3] = [&["a", "r1"], &["a", "r1"], &["a", "r2"]];

/// It is suspected after faults of several jobs, tried now and then, and cleared when it works again.
fn failing_server() -> String {
    let mut scenario = Scenario::new(&THREE);
    scenario.conduct.insert(1, Conduct::Failing);
    scenario.run_for(100);
    for job in 1..=12 {
        scenario
            .bench
            .accept_steps(job, (job % 3) as u32, vec![step(5, 2_000, 600)]);
        scenario.run_for(400);
        if job == 6 {
            scenario.note_summary();
        }
        if job == 9 {
            scenario.conduct.remove(&1);
        }
    }
    scenario.run_for(6_000);
    scenario.finish()
}

fn still_server() -> String {
    let mut scenario = Scenario::new(&THREE);
    scenario.conduct.insert(2, Conduct::Still);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![saving(12, 3_000, 1_500)]);
    scenario.bench.accept_steps(
        2,
        0,
        vec![Step {
            gang: true,
            ..saving(2, 3_000, 1_000)
        }],
    );
    scenario.run_for(9_000);
    scenario.finish()
}

fn slow_server() -> String {
    let mut scenario = Scenario::new(&THREE);
    scenario.conduct.insert(3, Conduct::Slow);
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

/// A job that fails as often as its queue allows.
fn hopeless_job() -> String {
    let mut scenario = Scenario::new(&THREE);
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

/// A server that hears of a start and never lists it.
fn unlisted_start() -> String {
    let mut scenario = Scenario::new(&THREE);
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

/// Each way in which a run ends, with and without a checkpoint.
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
    let mut scenario = Scenario::new(&THREE);
    let count = ends.len() as u32;
    scenario.bench.accept_steps(
        1,
        1,
        vec![saving(count, 500, 20_000), step(count, 500, 20_000)],
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
