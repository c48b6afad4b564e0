//! Gangs: all members start together or none.

use super::TraceBuilder;
use crate::bench::{step, task};
use crate::scenario::{Behavior, Scenario};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

pub const SCENARIOS: [(&str, TraceBuilder); 6] = [
    ("gangs-one-rack", one_rack),
    ("gangs-spread", across_racks),
    ("gangs-near-data", near_data),
    ("gangs-broken", broken),
    ("gangs-beside-small-work", with_small_tasks),
    ("gangs-unreliable-servers", unreliable_servers),
];

const RACKS: [&[&str]; 4] = [&["a", "r1"], &["a", "r1"], &["a", "r2"], &["a", "r2"]];

fn gang(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        gang: true,
        same_rack: true,
        checkpoints: true,
        ..step(count, cpu, estimate_ms)
    }
}

/// The second gang waits for a rack with capacity soon. The third one starts in the other rack.
fn one_rack() -> String {
    let mut scenario = Scenario::new(&RACKS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![gang(2, 12_000, 1_500)]);
    scenario.run_for(200);
    scenario
        .bench
        .accept_steps(2, 1, vec![gang(3, 7_000, 2_000)]);
    scenario.bench.accept_steps(3, 2, vec![gang(4, 6_000, 800)]);
    scenario.run_for(6_000);
    scenario.finish()
}

/// The first gang fits into no single rack, the second one not even across all racks.
fn across_racks() -> String {
    let mut scenario = Scenario::new(&RACKS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![gang(4, 10_000, 800)]);
    scenario
        .bench
        .accept_steps(2, 1, vec![gang(5, 10_000, 800)]);
    scenario.bench.accept_steps(
        3,
        1,
        vec![Step {
            anti_affinity: 1,
            ..gang(4, 1_000, 400)
        }],
    );
    scenario.run_for(3_000);
    scenario.finish()
}

fn near_data() -> String {
    let mut scenario = Scenario::new(&RACKS);
    scenario.run_for(100);
    let anywhere = Step {
        same_rack: false,
        affinity: "r2".to_owned(),
        ..gang(2, 9_000, 1_000)
    };
    let in_a_rack = Step {
        affinity: "r2".to_owned(),
        ..gang(2, 9_000, 1_500)
    };
    scenario.bench.accept_steps(1, 1, vec![anywhere]);
    scenario.run_for(100);
    scenario.bench.accept_steps(2, 1, vec![in_a_rack.clone()]);
    scenario.bench.accept_steps(
        3,
        0,
        vec![Step {
            requires: "a".to_owned(),
            ..in_a_rack
        }],
    );
    scenario.run_for(6_000);
    scenario.finish()
}

/// One gang restarts after a member failed and after a member ended alone, and is done once one member is done. The job of
/// the other gang is cancelled.
fn broken() -> String {
    let mut scenario = Scenario::new(&RACKS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![gang(3, 8_000, 2_000)]);
    scenario
        .bench
        .accept_steps(2, 2, vec![gang(2, 4_000, 2_000)]);
    scenario.run_for(700);
    scenario.end(task(1, 0, 1), RunEnd::Failed);
    scenario.run_for(1_000);
    scenario.end(task(1, 0, 0), RunEnd::Alone);
    scenario.run_for(1_000);
    scenario.end(task(1, 0, 2), RunEnd::Done);
    scenario.run_for(300);
    scenario.bench.cancel(2);
    scenario.run_for(1_500);
    scenario.finish()
}

/// Capacity is reserved for a gang while small tasks end. Urgent tasks continue to start.
fn with_small_tasks() -> String {
    let mut scenario = Scenario::new(&RACKS[..2]);
    scenario
        .bench
        .accept_steps(1, 2, vec![step(30, 1_000, 2_000)]);
    scenario.run_for(200);
    scenario
        .bench
        .accept_steps(2, 1, vec![gang(2, 12_000, 1_000)]);
    scenario
        .bench
        .accept_steps(3, 2, vec![step(60, 1_000, 1_500)]);
    for job in 4..8 {
        scenario
            .bench
            .accept_steps(job, 0, vec![step(2, 1_000, 300)]);
        scenario.run_for(400);
    }
    scenario.run_for(8_000);
    scenario.finish()
}

fn unreliable_servers() -> String {
    let mut scenario = Scenario::new(&RACKS);
    scenario.behaviors.insert(1, Behavior::Failing);
    scenario.behaviors.insert(3, Behavior::Slow);
    scenario.run_for(100);
    for job in 1..4 {
        scenario
            .bench
            .accept_steps(job, 1, vec![step(4, 3_000, 400)]);
        scenario.run_for(500);
    }
    scenario
        .bench
        .accept_steps(4, 1, vec![gang(2, 9_000, 1_000)]);
    scenario.run_for(500);
    scenario
        .bench
        .accept_steps(5, 1, vec![gang(2, 9_000, 1_000)]);
    scenario.run_for(6_000);
    scenario.finish()
}
