//! Late messages: attachments of earlier incarnations, and heartbeats that arrive out of order.

use crate::bench::{step, task, Bench, ModelServer};
use lupinrack_cluster_api::server::RunEnd;

const MACHINE: u16 = 1;
const OTHER: u16 = 2;
const JOB: u64 = 7;

/// One agent has attached two incarnations, one after the other. A long task runs on the second.
fn second_incarnation_running() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench.attach(MACHINE, 2, &["a", "r1"]);
    bench.run_for(200);
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    assert_eq!(bench.machines_running(JOB), [MACHINE]);
    bench
}

/// A heartbeat of the first incarnation arrives late, and the agent attaches that incarnation. Returns the server of the
/// second one.
fn first_incarnation_attaches(bench: &mut Bench) -> ModelServer {
    let later_incarnation = bench.servers[&MACHINE].clone();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    later_incarnation
}

#[test]
fn a_late_attachment_of_an_earlier_incarnation_ends_no_run_of_the_later_one() {
    let mut bench = second_incarnation_running();
    first_incarnation_attaches(&mut bench);
    let round = bench.round();
    assert!(
        Bench::submitted_ends(&round.operations).is_empty(),
        "the run of the later incarnation continues"
    );
}

#[test]
fn at_a_new_owner_a_late_attachment_of_an_earlier_incarnation_ends_no_run_of_the_later_one() {
    let mut bench = second_incarnation_running();
    bench.take_over(2);
    bench.reattach(MACHINE, 99);
    bench.round();
    first_incarnation_attaches(&mut bench);
    let round = bench.round();
    assert!(
        Bench::submitted_ends(&round.operations).is_empty(),
        "the run of the later incarnation continues"
    );
}

#[test]
fn the_later_incarnation_keeps_its_run_when_its_agent_reattaches_it() {
    let mut bench = second_incarnation_running();
    let later_incarnation = first_incarnation_attaches(&mut bench);
    bench.round();
    bench.servers.insert(MACHINE, later_incarnation);
    bench.reattach(MACHINE, 99);
    bench.round();
    let (_, message) = bench.messages.pop().expect("a new session begins");
    let assigned: Vec<_> = message
        .assign
        .iter()
        .map(|assignment| (assignment.task, assignment.attempt))
        .collect();
    assert_eq!(assigned, [(task(JOB, 0, 0), 1)]);
    bench.run_for(2_000);
    assert_eq!(bench.machines_running(JOB), [MACHINE]);
    assert_eq!(
        bench
            .state
            .job(task(JOB, 0, 0).job)
            .expect("the job exists")
            .task(0, 0, 0)
            .map(|task| task.attempt),
        Some(1)
    );
}

#[test]
fn reported_ends_of_an_incarnation_are_recorded_after_the_next_one_attached() {
    let mut bench = second_incarnation_running();
    let server = bench.servers.get_mut(&MACHINE).expect("the server exists");
    server.end(task(JOB, 0, 0), 1, RunEnd::Done);
    bench.send_heartbeat(MACHINE);
    bench.attach(MACHINE, 3, &["a", "r1"]);
    let round = bench.round();
    let ends: Vec<RunEnd> = Bench::submitted_ends(&round.operations)
        .iter()
        .map(|end| end.end)
        .collect();
    assert_eq!(ends, [RunEnd::Done]);
}

#[test]
fn a_late_attachment_does_not_undo_draining() {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    let before_drain = bench.servers[&MACHINE].clone();
    let server = bench.servers.get_mut(&MACHINE).expect("the server exists");
    (server.sequence, server.draining) = (9, true);
    bench.send_heartbeat(MACHINE);
    bench.round();
    // Another connection delivers a heartbeat from before the drain.
    bench.servers.insert(
        MACHINE,
        ModelServer {
            sequence: 5,
            ..before_drain
        },
    );
    bench.reattach(MACHINE, 99);
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    for _ in 0..20 {
        bench.now += 50;
        let round = bench.round();
        assert!(
            Bench::submitted_starts(&round.operations).is_empty(),
            "the server is draining"
        );
    }
}

#[test]
fn a_draining_server_is_not_sent_again_a_start_that_it_did_not_execute() {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.round();
    bench.round();
    assert!(!bench.messages.is_empty(), "the start is ordered");
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("the server exists")
        .draining = true;
    bench.send_heartbeat(MACHINE);
    bench.round();
    // The agent restarts and no longer knows that its server is draining.
    bench.messages.clear();
    bench.reattach(MACHINE, 99);
    bench.round();
    let (_, message) = bench.messages.pop().expect("a session begins");
    assert!(message.complete && message.assign.is_empty(), "{message:?}");
}

#[test]
fn a_draining_server_without_a_reported_remaining_time_is_evacuated_within_the_drain_time() {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    bench.attach(OTHER, 1, &["a", "r1"]);
    bench.run_for(500);
    assert_eq!(bench.machines_running(JOB), [MACHINE]);
    // The server reports that it is draining, without a remaining time, and continues to run its task.
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("the server exists")
        .draining = true;
    bench.run_for(1_000);
    assert_eq!(
        bench.machines_running(JOB),
        [OTHER],
        "the task continues on the other server after the run was stopped"
    );
    assert_eq!(
        bench
            .state
            .job(task(JOB, 0, 0).job)
            .expect("the job exists")
            .task(0, 0, 0)
            .map(|task| task.attempt),
        Some(2)
    );
}
