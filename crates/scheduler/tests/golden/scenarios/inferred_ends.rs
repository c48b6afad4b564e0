//! Inferred ends for each reason.

use super::{checkpointing, TraceBuilder};
use crate::bench::step;
use crate::scenario::Scenario;
use lupinrack_cluster_api::operation::Operation;

pub const SCENARIOS: [(&str, TraceBuilder); 7] = [
    ("lapses-server-left", server_deregistered),
    ("lapses-later-life", later_incarnation),
    ("lapses-hold-over", lease_expired),
    ("lapses-detached", agent_disconnected),
    ("lapses-never-told", server_gone_before_notification),
    ("lapses-stopped-untold", stopped_before_notification),
    ("lapses-stop-seen", stop_acknowledged),
];

const TWO_SERVERS: [&[&str]; 2] = [&["a", "r1"], &["a", "r2"]];

/// Three tasks run, packed on one server.
fn three_running() -> Scenario {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.run_for(4_200);
    scenario
        .bench
        .accept_steps(7, 1, vec![checkpointing(3, 1_000, 9_000)]);
    scenario.run_for(1_500);
    scenario
}

/// Starts are proposed, and the operations that record them are pending.
fn starts_proposed() -> Scenario {
    let mut scenario = Scenario::new(&TWO_SERVERS);
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

fn server_deregistered() -> String {
    let mut scenario = three_running();
    scenario.bench.deregister(1);
    scenario.bench.servers.remove(&1);
    scenario.run_for(1_000);
    scenario.finish()
}

fn later_incarnation() -> String {
    let mut scenario = three_running();
    scenario.bench.attach(1, 2, &["a", "r1"]);
    scenario.run_for(1_000);
    scenario.finish()
}

/// Both servers are unreachable until their leases have expired, and reconnect.
fn lease_expired() -> String {
    let mut scenario = three_running();
    scenario.run_without_heartbeats(4_000);
    scenario.run_for(1_000);
    scenario.finish()
}

/// The agent of a server disconnects and does not reconnect.
fn agent_disconnected() -> String {
    let mut scenario = three_running();
    scenario.bench.disconnect(1);
    scenario.bench.servers.remove(&1);
    scenario.run_for(5_000);
    scenario.finish()
}

fn server_gone_before_notification() -> String {
    let mut scenario = starts_proposed();
    scenario.bench.deregister(1);
    scenario.bench.servers.remove(&1);
    scenario.round();
    apply_pending(&mut scenario);
    scenario.run_for(500);
    scenario.finish()
}

fn stopped_before_notification() -> String {
    let mut scenario = starts_proposed();
    apply_pending(&mut scenario);
    scenario.bench.cancel(7);
    scenario.run_for(500);
    scenario.finish()
}

/// The order to start is lost, and the server acknowledges the stop.
fn stop_acknowledged() -> String {
    let mut scenario = starts_proposed();
    apply_pending(&mut scenario);
    scenario.round();
    scenario.bench.messages.clear();
    scenario.bench.cancel(7);
    scenario.run_for(500);
    scenario.finish()
}
