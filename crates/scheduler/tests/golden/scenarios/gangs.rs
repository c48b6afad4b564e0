//! Gangs: complete or not at all.

use super::Build;
use crate::bench::{step, task};
use crate::scenario::{Conduct, Scenario};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

pub const SCENARIOS: [(&str, Build); 6] = [
    ("gangs-one-rack", one_rack),
    ("gangs-spread", spread),
    ("gangs-near-data", near_data),
    ("gangs-broken", broken),
    ("gangs-beside-small-work", beside_small_work),
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

/// The second gang waits for a rack that is soon free; the third one starts in the other.
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

/// The first gang fits into no rack; the second one fits nowhere.
fn spread() -> String {
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

/// A member fails, another one's end stands for all, one is stopped with its job.
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

/// Capacity is reserved for a gang while small work ends; urgent work goes on.
fn beside_small_work() -> String {
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
    scenario.conduct.insert(1, Conduct::Failing);
    scenario.conduct.insert(3, Conduct::Slow);
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
