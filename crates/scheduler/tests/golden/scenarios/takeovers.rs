//! New owners: what they take over, and for how long they wait.

use super::{saving, Build};
use crate::bench::step;
use crate::scenario::Scenario;
use lupinrack_cluster_api::job::Step;

pub const SCENARIOS: [(&str, Build); 4] = [
    ("takeover", takeover),
    ("takeover-silent-server", silent_server),
    ("takeover-later-life", later_life),
    ("takeover-without-authority", without_authority),
];

const THREE: [&[&str]; 3] = [&["a", "r1"], &["a", "r1"], &["a", "r2"]];

/// Singles, a gang, lasting work and a job of two steps run, and something waits.
fn running() -> Scenario {
    let mut scenario = Scenario::new(&THREE);
    scenario.run_for(4_200);
    let gang = Step {
        gang: true,
        ..saving(2, 5_000, 4_000)
    };
    let lasting = Step {
        long_running: true,
        ..step(2, 500, 500)
    };
    let second = Step {
        depends_on: vec![0],
        ..step(2, 1_000, 500)
    };
    scenario
        .bench
        .accept_steps(1, 1, vec![saving(4, 2_000, 3_000), second]);
    scenario.bench.accept_steps(2, 2, vec![gang]);
    scenario.bench.accept_steps(3, 2, vec![lasting]);
    scenario
        .bench
        .accept_steps(4, 0, vec![step(3, 12_000, 2_500)]);
    scenario.run_for(1_000);
    scenario
}

/// The agents come one after the other.
fn takeover() -> String {
    let mut scenario = running();
    scenario.bench.take_over(2);
    scenario.round();
    for machine in 1..=3 {
        scenario.bench.reattach(machine, 900 + u64::from(machine));
        scenario.run_for(200);
    }
    scenario.run_for(6_000);
    scenario.finish()
}

fn silent_server() -> String {
    let mut scenario = running();
    scenario.bench.take_over(2);
    let silent = scenario
        .bench
        .servers
        .remove(&1)
        .expect("the server exists");
    for machine in 2..=3 {
        scenario.bench.reattach(machine, 900 + u64::from(machine));
    }
    scenario.run_for(5_000);
    // It was cut off, and comes back with runs that are over for the record.
    scenario.bench.servers.insert(1, silent);
    scenario.bench.reattach(1, 999);
    scenario.run_for(2_000);
    scenario.finish()
}

/// The servers lost power with the owner; one comes back beside its agent.
fn later_life() -> String {
    let mut scenario = running();
    scenario.bench.take_over(2);
    scenario.bench.servers.clear();
    scenario.bench.attach(1, 2, &["a", "r1"]);
    scenario.run_for(500);
    scenario.bench.attach(4, 1, &["a", "r2"]);
    scenario.run_for(6_000);
    scenario.finish()
}

/// Past its authority an owner records what it learns, and orders nothing.
fn without_authority() -> String {
    let mut scenario = running();
    let authority_until = scenario.bench.now;
    scenario.bench.cancel(3);
    for _ in 0..10 {
        scenario.bench.now += 50;
        scenario.follow();
        scenario.round_until(authority_until);
    }
    scenario.finish()
}
