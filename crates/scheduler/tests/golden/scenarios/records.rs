//! Late, duplicate and unproposed operations, and unexpected runs.

use super::TraceBuilder;
use crate::bench::{service, step, task};
use crate::scenario::Scenario;
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_cluster_api::operation::{Operation, StartRecord};
use lupinrack_cluster_api::server::{RunEnd, RunningTask};

pub const SCENARIOS: [(&str, TraceBuilder); 5] = [
    ("records-submitted-again", resubmitted),
    ("records-many", many_starts_and_ends),
    ("records-unproposed-start", unproposed_start),
    ("records-refused-start", rejected_start),
    ("records-foreign-run", unexpected_run),
];

const TWO_SERVERS: [&[&str]; 2] = [&["a", "r1"], &["a", "r2"]];

fn apply_pending(scenario: &mut Scenario) {
    let pending: Vec<Operation> = std::mem::take(&mut scenario.bench.pending);
    pending
        .into_iter()
        .for_each(|operation| scenario.bench.apply(operation));
}

/// Operations that record servers, starts and ends are delayed, resubmitted, and then applied twice.
fn resubmitted() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.bench.delays_operations = true;
    scenario.bench.accept_steps(1, 1, vec![step(3, 1_000, 300)]);
    scenario.run_for(1_000);
    apply_pending(&mut scenario);
    scenario.run_for(1_600);
    apply_pending(&mut scenario);
    scenario.run_for(500);
    scenario.finish()
}

/// More starts and ends than fit into one operation.
fn many_starts_and_ends() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(300, 40, 300), step(250, 40, 300)]);
    scenario.run_for(1_000);
    scenario.finish()
}

/// Starts that are recorded under the scheduler's own fencing token without a proposal. The server never receives one of
/// them, and runs the other.
fn unproposed_start() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.run_for(4_200);
    scenario.bench.delays_operations = true;
    scenario
        .bench
        .accept_steps(7, 1, vec![step(2, 1_000, 60_000)]);
    let server = ServerId("s1-1".to_owned());
    let start = |index| StartRecord {
        task: task(7, 0, index),
        attempt: 1,
        server: server.clone(),
        checkpoint: "some".to_owned(),
    };
    let token = FencingToken(1);
    scenario.bench.apply(Operation::RecordStarts {
        service: service(),
        token,
        starts: vec![start(0), start(1)],
    });
    let running = RunningTask {
        task: task(7, 0, 1),
        attempt: 1,
        checkpoint: "more".to_owned(),
        percent: 5,
    };
    scenario.server(1).running.push(running);
    scenario.bench.delays_operations = false;
    scenario.run_for(1_000);
    scenario.finish()
}

/// The job of a proposed start is cancelled before the start is applied, so the start is rejected.
fn rejected_start() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.run_for(100);
    scenario.bench.delays_operations = true;
    scenario.bench.accept_steps(1, 1, vec![step(2, 1_000, 300)]);
    scenario.bench.accept_steps(2, 1, vec![step(1, 1_000, 300)]);
    scenario.round();
    scenario.bench.cancel(1);
    scenario.bench.delays_operations = false;
    apply_pending(&mut scenario);
    scenario.run_for(1_000);
    scenario.finish()
}

/// Runs and ends of unknown jobs, and a run of a known task with another attempt.
fn unexpected_run() -> String {
    let mut scenario = Scenario::new(&TWO_SERVERS);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(2, 1_000, 2_000)]);
    scenario.run_for(200);
    let unexpected = |job, attempt| RunningTask {
        task: task(job, 0, 0),
        attempt,
        checkpoint: String::new(),
        percent: 1,
    };
    scenario.server(2).running.push(unexpected(99, 3));
    scenario.server(2).running.push(unexpected(1, 5));
    scenario.server(1).running.push(unexpected(98, 1));
    scenario.server(1).end(task(98, 0, 0), 1, RunEnd::Failed);
    scenario
        .bench
        .accept_steps(2, 0, vec![step(20, 1_000, 500)]);
    scenario.run_for(1_500);
    scenario.finish()
}
