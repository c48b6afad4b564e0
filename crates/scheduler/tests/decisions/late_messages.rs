//! What comes late: attachments of earlier incarnations, and heartbeats that were overtaken.

use crate::bench::{step, task, Bench, ModelServer};
use lupinrack_cluster_api::server::RunEnd;

const MACHINE: u16 = 1;
const OTHER: u16 = 2;
const JOB: u64 = 7;

/// Two incarnations followed each other beside one agent; a long task runs in the second.
fn second_incarnation_running() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench.attach(MACHINE, 2, &["a", "r1"]);
    bench.run_for(200);
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    assert_eq!(bench.machines_of(JOB), [MACHINE]);
    bench
}

/// The agent takes a late heartbeat of the first incarnation for a living server.
fn first_incarnation_attaches(bench: &mut Bench) -> ModelServer {
    let living = bench.servers[&MACHINE].clone();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    living
}

#[test]
fn an_earlier_incarnation_that_attaches_late_ends_no_run_of_the_later() {
    let mut bench = second_incarnation_running();
    first_incarnation_attaches(&mut bench);
    let round = bench.round();
    assert!(
        Bench::ends(&round.operations).is_empty(),
        "the later incarnation runs on"
    );
}

#[test]
fn at_a_new_owner_an_earlier_incarnation_that_attaches_late_ends_no_run_of_the_later() {
    let mut bench = second_incarnation_running();
    bench.take_over(2);
    bench.attach_again(MACHINE, 99);
    bench.round();
    first_incarnation_attaches(&mut bench);
    let round = bench.round();
    assert!(
        Bench::ends(&round.operations).is_empty(),
        "the later incarnation runs on"
    );
}

#[test]
fn the_later_incarnation_goes_on_when_its_agent_reports_it_again() {
    let mut bench = second_incarnation_running();
    let living = first_incarnation_attaches(&mut bench);
    bench.round();
    bench.servers.insert(MACHINE, living);
    bench.attach_again(MACHINE, 99);
    bench.round();
    let (_, message) = bench.messages.pop().expect("the session begins anew");
    let wanted: Vec<_> = message
        .assign
        .iter()
        .map(|assignment| (assignment.task, assignment.attempt))
        .collect();
    assert_eq!(wanted, [(task(JOB, 0, 0), 1)]);
    bench.run_for(2_000);
    assert_eq!(bench.machines_of(JOB), [MACHINE]);
    assert_eq!(
        bench
            .state
            .job(task(JOB, 0, 0).job)
            .expect("the job is known")
            .task(0, 0, 0)
            .map(|task| task.attempt),
        Some(1)
    );
}

#[test]
fn the_last_ends_of_an_incarnation_count_although_the_next_has_attached() {
    let mut bench = second_incarnation_running();
    let server = bench.servers.get_mut(&MACHINE).expect("it is there");
    server.end(task(JOB, 0, 0), 1, RunEnd::Done);
    bench.beat(MACHINE);
    bench.attach(MACHINE, 3, &["a", "r1"]);
    let round = bench.round();
    let ends: Vec<RunEnd> = Bench::ends(&round.operations)
        .iter()
        .map(|end| end.end)
        .collect();
    assert_eq!(ends, [RunEnd::Done]);
}

#[test]
fn a_late_attachment_rolls_no_fact_back() {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    let early = bench.servers[&MACHINE].clone();
    let server = bench.servers.get_mut(&MACHINE).expect("it is there");
    (server.sequence, server.draining) = (9, true);
    bench.beat(MACHINE);
    bench.round();
    // Another connection brings what was sent before the draining began.
    bench.servers.insert(
        MACHINE,
        ModelServer {
            sequence: 5,
            ..early
        },
    );
    bench.attach_again(MACHINE, 99);
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    for _ in 0..20 {
        bench.now += 50;
        let round = bench.round();
        assert!(
            Bench::starts(&round.operations).is_empty(),
            "the server drains"
        );
    }
}

#[test]
fn a_draining_server_is_not_ordered_again_what_it_has_not_started() {
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
        .expect("it is there")
        .draining = true;
    bench.beat(MACHINE);
    bench.round();
    // The agent was restarted, and has forgotten that its server leaves.
    bench.messages.clear();
    bench.attach_again(MACHINE, 99);
    bench.round();
    let (_, message) = bench.messages.pop().expect("the session begins");
    assert!(message.complete && message.assign.is_empty(), "{message:?}");
}

#[test]
fn a_server_that_reports_no_remaining_time_is_evacuated_by_the_drain_time() {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    bench.attach(OTHER, 1, &["a", "r1"]);
    bench.run_for(500);
    assert_eq!(bench.machines_of(JOB), [MACHINE]);
    // It has sent its leave without a word of draining, and serves on.
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("it is there")
        .draining = true;
    bench.run_for(1_000);
    assert_eq!(
        bench.machines_of(JOB),
        [OTHER],
        "its run goes on elsewhere, once it is stopped"
    );
    assert_eq!(
        bench
            .state
            .job(task(JOB, 0, 0).job)
            .expect("the job is known")
            .task(0, 0, 0)
            .map(|task| task.attempt),
        Some(2)
    );
}
