//! Runs that are over without their server's word, by each rule.

use super::{saving, Build};
use crate::bench::step;
use crate::scenario::Scenario;
use lupinrack_cluster_api::operation::Operation;

pub const SCENARIOS: [(&str, Build); 7] = [
    ("lapses-server-left", server_left),
    ("lapses-later-life", later_life),
    ("lapses-hold-over", hold_over),
    ("lapses-detached", detached),
    ("lapses-never-told", never_told),
    ("lapses-stopped-untold", stopped_untold),
    ("lapses-stop-seen", stop_seen),
];

const TWO: [&[&str]; 2] = [&["a", "r1"], &["a", "r2"]];

/// Three tasks run, packed on one server.
fn running() -> Scenario {
    let mut scenario = Scenario::new(&TWO);
    scenario.run_for(4_200);
    scenario
        .bench
        .accept_steps(7, 1, vec![saving(3, 1_000, 9_000)]);
    scenario.run_for(1_500);
    scenario
}

/// Starts were proposed, and their record is on its way.
fn proposed() -> Scenario {
    let mut scenario = Scenario::new(&TWO);
    scenario.run_for(4_200);
    scenario.bench.delays_operations = true;
    scenario
        .bench
        .accept_steps(7, 1, vec![step(3, 1_000, 9_000)]);
    scenario.round();
    scenario
}

fn apply_pending(scenario: &mut Scenario) {
    scenario.bench.delays_operations = false;
    let pending: Vec<Operation> = std::mem::take(&mut scenario.bench.pending);
    pending
        .into_iter()
        .for_each(|operation| scenario.bench.apply(operation));
}

fn server_left() -> String {
    let mut scenario = running();
    scenario.bench.deregister(1);
    scenario.bench.servers.remove(&1);
    scenario.run_for(1_000);
    scenario.finish()
}

fn later_life() -> String {
    let mut scenario = running();
    scenario.bench.attach(1, 2, &["a", "r1"]);
    scenario.run_for(1_000);
    scenario.finish()
}

/// Both servers are unreachable until their leases have expired, and come back.
fn hold_over() -> String {
    let mut scenario = running();
    scenario.silent_for(4_000);
    scenario.run_for(1_000);
    scenario.finish()
}

/// The agent of a server that is gone does not come back.
fn detached() -> String {
    let mut scenario = running();
    scenario.bench.disconnect(1);
    scenario.bench.servers.remove(&1);
    scenario.run_for(5_000);
    scenario.finish()
}

fn never_told() -> String {
    let mut scenario = proposed();
    scenario.bench.deregister(1);
    scenario.bench.servers.remove(&1);
    scenario.round();
    apply_pending(&mut scenario);
    scenario.run_for(500);
    scenario.finish()
}

fn stopped_untold() -> String {
    let mut scenario = proposed();
    apply_pending(&mut scenario);
    scenario.bench.cancel(7);
    scenario.run_for(500);
    scenario.finish()
}

/// The order to start is lost, the stop is seen.
fn stop_seen() -> String {
    let mut scenario = proposed();
    apply_pending(&mut scenario);
    scenario.round();
    scenario.bench.messages.clear();
    scenario.bench.cancel(7);
    scenario.run_for(500);
    scenario.finish()
}
