//! Orders to agents, and the operations that have to be applied before them.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::job::JobSpec;
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::server::{RunEnd, RunningTask};

const MACHINE: u16 = 1;

fn one_server() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.round();
    bench
}

#[test]
fn a_start_is_ordered_only_after_it_is_recorded() {
    let mut bench = one_server();
    bench.delays_operations = true;
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.round();
    bench.run_for(500);
    assert!(bench.machines_running(7).is_empty());
    let pending = bench.pending.pop().expect("the start was submitted");
    bench.apply(pending);
    bench.round();
    bench.exchange_messages();
    assert_eq!(bench.machines_running(7), vec![MACHINE]);
}

#[test]
fn an_operation_that_is_not_applied_is_resubmitted_unchanged() {
    let mut bench = one_server();
    bench.delays_operations = true;
    bench.accept_steps(7, 0, vec![step(2, 1_000, 500)]);
    bench.run_for(bench.settings.resubmit_ms - 100);
    assert_eq!(bench.pending.len(), 1);
    bench.run_for(200);
    assert_eq!(bench.pending.len(), 2);
    assert_eq!(bench.pending[0], bench.pending[1]);
    let pending = std::mem::take(&mut bench.pending);
    pending
        .into_iter()
        .for_each(|operation| bench.apply(operation));
    bench.run_for(100);
    assert_eq!(
        bench.machines_running(7).len(),
        2,
        "the second copy has no effect"
    );
}

#[test]
fn operations_are_resubmitted_at_once_after_a_change_of_head() {
    let mut bench = one_server();
    bench.delays_operations = true;
    bench.accept_steps(7, 0, vec![step(2, 1_000, 500)]);
    bench.run_for(100);
    assert_eq!(bench.pending.len(), 1);
    bench.scheduler.resubmit_operations();
    bench.round();
    assert_eq!(bench.pending.len(), 2);
    assert_eq!(bench.pending[0], bench.pending[1]);
}

#[test]
fn an_end_is_acknowledged_only_after_it_is_recorded() {
    let mut bench = one_server();
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.run_for(200);
    bench.delays_operations = true;
    let server = bench.servers.get_mut(&MACHINE).expect("the server exists");
    server.end(task(7, 0, 0), 1, RunEnd::Done);
    bench.run_for(300);
    assert_eq!(bench.servers[&MACHINE].finished.len(), 1);
    let pending = bench.pending.remove(0);
    assert!(matches!(pending, Operation::RecordEnds { .. }));
    bench.apply(pending);
    bench.run_for(100);
    assert!(
        bench.servers[&MACHINE].finished.is_empty(),
        "the end was acknowledged"
    );
}

#[test]
fn no_orders_or_starts_are_issued_without_authority() {
    let mut bench = one_server();
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    bench.now += 100;
    bench.send_heartbeat(MACHINE);
    let round = bench.round_until(bench.now);
    assert!(round.messages.is_empty());
    assert!(Bench::submitted_starts(&round.operations).is_empty());
}

#[test]
fn runs_of_a_cancelled_job_are_stopped_in_the_same_round() {
    let mut bench = one_server();
    bench.accept_steps(7, 1, vec![step(2, 1_000, 60_000)]);
    bench.run_for(200);
    bench.cancel(7);
    bench.messages.clear();
    bench.round();
    let (_, message) = bench
        .messages
        .first()
        .expect("the agent is sent a message in the same round");
    assert_eq!(message.stop, vec![(task(7, 0, 0), 1), (task(7, 0, 1), 1)]);
}

#[test]
fn an_unexpected_run_is_stopped_and_blocks_new_starts_until_then() {
    let mut bench = one_server();
    let unexpected = TaskId {
        index: 5,
        ..task(99, 0, 0)
    };
    let running = RunningTask {
        task: unexpected,
        attempt: 3,
        checkpoint: String::new(),
        percent: 10,
    };
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("the server exists")
        .running
        .push(running);
    bench.send_heartbeat(MACHINE);
    bench.accept_steps(7, 0, vec![step(1, 1_000, 500)]);
    let round = bench.round();
    assert!(
        Bench::submitted_starts(&round.operations).is_empty(),
        "the resources of the unexpected run are unknown"
    );
    let (_, message) = bench.messages.last().expect("the agent is sent a message");
    assert_eq!(message.stop, vec![(unexpected, 3)]);
    bench.run_for(200);
    assert_eq!(bench.machines_running(7), vec![MACHINE]);
}

#[test]
fn an_unlisted_run_is_not_ended_before_its_server_acknowledges_the_stop() {
    let mut bench = one_server();
    bench.accept_steps(7, 1, vec![step(1, 1_000, 60_000)]);
    bench.round();
    bench.round();
    // The start is ordered, and no heartbeat has arrived since.
    bench.cancel(7);
    bench.round();
    let (_, stop) = bench.messages.pop().expect("the stop was ordered");
    bench.messages.clear();
    bench.now += 100;
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("the server exists")
        .orders_seen = stop.number - 1;
    bench.send_heartbeat(MACHINE);
    assert!(
        Bench::submitted_ends(&bench.round().operations).is_empty(),
        "the server may still start the run"
    );
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("the server exists")
        .orders_seen = stop.number;
    bench.send_heartbeat(MACHINE);
    let ends = Bench::submitted_ends(&bench.round().operations);
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].end, RunEnd::Stopped);
}

#[test]
fn a_recurring_job_never_starts_before_its_start_time() {
    let mut bench = one_server();
    let first_start_at_ms = crate::bench::WALL_START_MS + 2_000;
    let spec = JobSpec {
        steps: vec![step(1, 1_000, 500)],
        repeat: 2,
        start_at_ms: first_start_at_ms,
        ..JobSpec::default()
    };
    bench.accept_job(
        7,
        0,
        JobSpec {
            interval_ms: 1_000,
            ..spec
        },
    );
    while bench.now < 1_950 {
        bench.run_for(50);
        assert!(bench.machines_running(7).is_empty(), "at {}", bench.now);
    }
    bench.run_for(200);
    assert_eq!(bench.machines_running(7).len(), 1);
    bench.run_for(1_000);
    assert_eq!(
        bench.machines_running(7).len(),
        2,
        "occurrences may overlap"
    );
}

#[test]
fn a_long_running_task_is_restarted_after_any_end() {
    let mut bench = one_server();
    let mut long_running = step(1, 1_000, 500);
    long_running.long_running = true;
    bench.accept_steps(7, 2, vec![long_running]);
    for (attempt, end) in (1..).zip([RunEnd::Done, RunEnd::Failed, RunEnd::Failed, RunEnd::Failed])
    {
        bench.run_for(300);
        assert_eq!(
            bench.machines_running(7),
            vec![MACHINE],
            "attempt {attempt}"
        );
        bench
            .servers
            .get_mut(&MACHINE)
            .expect("the server exists")
            .end(task(7, 0, 0), attempt, end);
    }
    bench.run_for(300);
    assert_eq!(bench.machines_running(7), vec![MACHINE]);
}
