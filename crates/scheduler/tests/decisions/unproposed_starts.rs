//! Recorded starts that the scheduler did not propose.

use crate::bench::{service, step, task, Bench};
use lupinrack_cluster_api::identity::{FencingToken, ServerId};
use lupinrack_cluster_api::operation::{Operation, StartRecord};
use lupinrack_cluster_api::server::RunEnd;

const MACHINE: u16 = 1;

/// Applies a start of the only task under the scheduler's own fencing token, without a proposal.
fn unproposed_start() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms() + 50);
    bench.delays_operations = true;
    bench.accept_steps(7, 1, vec![step(1, 1_000, 60_000)]);
    let start = StartRecord {
        task: task(7, 0, 0),
        attempt: 1,
        server: ServerId(format!("s{MACHINE}-1")),
        checkpoint: String::new(),
    };
    let token = FencingToken(1);
    bench.apply(Operation::RecordStarts {
        service: service(),
        token,
        starts: vec![start],
    });
    bench
}

#[test]
fn an_unproposed_start_is_not_ended_before_its_server_reports() {
    let mut bench = unproposed_start();
    let round = bench.round();
    let ends = Bench::submitted_ends(&round.operations);
    assert!(
        ends.is_empty(),
        "the server may have received the start: {ends:?}"
    );
}

#[test]
fn an_unproposed_start_ends_once_its_server_has_acknowledged_the_stop() {
    let mut bench = unproposed_start();
    bench.run_for(200);
    let ends = Bench::submitted_ends(&bench.pending);
    let stopped = |end: &&lupinrack_cluster_api::operation::EndRecord| end.task == task(7, 0, 0);
    let end = ends
        .iter()
        .find(stopped)
        .expect("the server does not list the run after the stop");
    assert_eq!((end.attempt, end.end), (1, RunEnd::Stopped));
}
