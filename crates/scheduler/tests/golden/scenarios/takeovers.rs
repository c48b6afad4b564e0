//! Takeovers: which runs a new owner keeps, and how long it waits.

use super::{checkpointing, TraceBuilder};
use crate::bench::step;
use crate::scenario::Scenario;
use lupinrack_cluster_api::job::Step;

pub const SCENARIOS: [(&str, TraceBuilder); 4] = [
    ("takeover", takeover),
    ("takeover-silent-server", unreachable_server),
    ("takeover-later-life", later_incarnation),
    ("takeover-without-authority", without_authority),
];

const THREE_SERVERS: [&[&str]; 3] = [&["a", "r1"], &["a", "r1"], &["a", "r2"]];

/// Single tasks, a gang, long-running tasks and a job of two steps run, and further tasks wait.
fn mixed_workload() -> Scenario {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.run_for(4_200);
    let gang = Step {
        gang: true,
        ..checkpointing(2, 5_000, 4_000)
    };
    let long_running = Step {
        long_running: true,
        ..step(2, 500, 500)
    };
    let second = Step {
        depends_on: vec![0],
        ..step(2, 1_000, 500)
    };
    scenario
        .bench
        .accept_steps(1, 1, vec![checkpointing(4, 2_000, 3_000), second]);
    scenario.bench.accept_steps(2, 2, vec![gang]);
    scenario.bench.accept_steps(3, 2, vec![long_running]);
    scenario
        .bench
        .accept_steps(4, 0, vec![step(3, 12_000, 2_500)]);
    scenario.run_for(1_000);
    scenario
}

/// The agents attach one after the other.
fn takeover() -> String {
    let mut scenario = mixed_workload();
    scenario.bench.take_over(2);
    scenario.round();
    for machine in 1..=3 {
        scenario.bench.reattach(machine, 900 + u64::from(machine));
        scenario.run_for(200);
    }
    scenario.run_for(6_000);
    scenario.finish()
}

fn unreachable_server() -> String {
    let mut scenario = mixed_workload();
    scenario.bench.take_over(2);
    let unreachable = scenario
        .bench
        .servers
        .remove(&1)
        .expect("the server exists");
    for machine in 2..=3 {
        scenario.bench.reattach(machine, 900 + u64::from(machine));
    }
    scenario.run_for(5_000);
    // The server was partitioned, and reconnects with runs whose ends are already recorded.
    scenario.bench.servers.insert(1, unreachable);
    scenario.bench.reattach(1, 999);
    scenario.run_for(2_000);
    scenario.finish()
}

/// The servers lost power together with the owner. One returns with its agent.
fn later_incarnation() -> String {
    let mut scenario = mixed_workload();
    scenario.bench.take_over(2);
    scenario.bench.servers.clear();
    scenario.bench.attach(1, 2, &["a", "r1"]);
    scenario.run_for(500);
    scenario.bench.attach(4, 1, &["a", "r2"]);
    scenario.run_for(6_000);
    scenario.finish()
}

/// After the end of its authority, an owner records reported ends and sends no orders.
fn without_authority() -> String {
    let mut scenario = mixed_workload();
    let authority_until = scenario.bench.now;
    scenario.bench.cancel(3);
    for _ in 0..10 {
        scenario.bench.now += 50;
        scenario.exchange_messages();
        scenario.round_until(authority_until);
    }
    scenario.finish()
}
