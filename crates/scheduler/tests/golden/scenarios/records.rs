//! Records that come late, twice or unasked, and runs that nobody asked for.

use super::Build;
use crate::bench::{service, step, task};
use crate::scenario::Scenario;
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_cluster_api::operation::{Operation, StartRecord};
use lupinrack_cluster_api::server::{RunEnd, RunningTask};

pub const SCENARIOS: [(&str, Build); 5] = [
    ("records-submitted-again", submitted_again),
    ("records-many", many),
    ("records-unproposed-start", unproposed_start),
    ("records-refused-start", refused_start),
    ("records-foreign-run", foreign_run),
];

const TWO: [&[&str]; 2] = [&["a", "r1"], &["a", "r2"]];

fn apply_pending(scenario: &mut Scenario) {
    let pending: Vec<Operation> = std::mem::take(&mut scenario.bench.pending);
    pending
        .into_iter()
        .for_each(|operation| scenario.bench.apply(operation));
}

/// Servers, starts and ends whose operations are lost at first and applied twice later.
fn submitted_again() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario.bench.delays_operations = true;
    scenario.bench.accept_steps(1, 1, vec![step(3, 1_000, 300)]);
    scenario.run_for(1_000);
    apply_pending(&mut scenario);
    scenario.run_for(1_600);
    apply_pending(&mut scenario);
    scenario.run_for(500);
    scenario.finish()
}

/// More starts and ends than one operation holds.
fn many() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(300, 40, 300), step(250, 40, 300)]);
    scenario.run_for(1_000);
    scenario.finish()
}

/// Starts that somebody recorded under the scheduler's own token: one that its server never sees, one that it runs.
fn unproposed_start() -> String {
    let mut scenario = Scenario::new(&TWO);
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

/// The job of a proposed start is cancelled before the record comes: its start is refused.
fn refused_start() -> String {
    let mut scenario = Scenario::new(&TWO);
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

/// Runs and ends of jobs that are not known, and of an older start.
fn foreign_run() -> String {
    let mut scenario = Scenario::new(&TWO);
    scenario.run_for(100);
    scenario
        .bench
        .accept_steps(1, 1, vec![step(2, 1_000, 2_000)]);
    scenario.run_for(200);
    let stray = |job, attempt| RunningTask {
        task: task(job, 0, 0),
        attempt,
        checkpoint: String::new(),
        percent: 1,
    };
    scenario.server(2).running.push(stray(99, 3));
    scenario.server(2).running.push(stray(1, 5));
    scenario.server(1).running.push(stray(98, 1));
    scenario.server(1).end(task(98, 0, 0), 1, RunEnd::Failed);
    scenario
        .bench
        .accept_steps(2, 0, vec![step(20, 1_000, 500)]);
    scenario.run_for(1_500);
    scenario.finish()
}
