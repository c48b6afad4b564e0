//! Each way in which a run is over without its server's word, and the rule that is named for it.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_scheduler::{InferredEndReason, Round};

const MACHINE: u16 = 1;
const JOB: u64 = 7;

fn with_server() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench
}

fn running() -> Bench {
    let mut bench = with_server();
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    assert_eq!(bench.machines_of(JOB), [MACHINE]);
    bench
}

/// A start was proposed, and its record is on its way.
fn proposed() -> Bench {
    let mut bench = with_server();
    bench.delays_operations = true;
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    let starts = |bench: &Bench| Bench::starts(&bench.pending).len();
    while starts(&bench) == 0 {
        bench.now += 50;
        bench.beat(MACHINE);
        bench.round();
    }
    bench.delays_operations = false;
    bench
}

fn apply_held(bench: &mut Bench) {
    let pending = std::mem::take(&mut bench.pending);
    pending
        .into_iter()
        .for_each(|operation| bench.apply(operation));
}

/// The only inferred end of this round, as it is recorded, and its reason.
fn only_inferred_end(round: &Round) -> (RunEnd, InferredEndReason) {
    let ends = Bench::ends(&round.operations);
    let [end] = ends.as_slice() else {
        panic!("one end: {ends:?}")
    };
    let [inferred] = round.inferred_ends.as_slice() else {
        panic!("one inferred end: {:?}", round.inferred_ends)
    };
    assert_eq!((end.task, end.attempt), (inferred.task, inferred.attempt));
    assert_eq!(end.task, task(JOB, 0, 0));
    (end.end, inferred.reason)
}

fn rounds_until_inferred_end(bench: &mut Bench, at_most_ms: u64) -> Round {
    let until = bench.now + at_most_ms;
    while bench.now < until {
        bench.now += 50;
        let round = bench.round();
        if !round.inferred_ends.is_empty() {
            return round;
        }
    }
    panic!("no end was inferred");
}

#[test]
fn a_server_that_deregistered_runs_nothing() {
    let mut bench = running();
    bench.leave(MACHINE);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (RunEnd::LeaseExpired, InferredEndReason::ServerDeregistered)
    );
}

#[test]
fn a_later_incarnation_beside_the_same_agent_ends_the_earlier() {
    let mut bench = running();
    bench.attach(MACHINE, 2, &["a", "r1"]);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (RunEnd::LeaseExpired, InferredEndReason::LaterIncarnation)
    );
}

#[test]
fn an_expired_lease_ends_a_run() {
    let mut bench = running();
    let round = rounds_until_inferred_end(&mut bench, 10_000);
    assert_eq!(
        only_inferred_end(&round),
        (RunEnd::LeaseExpired, InferredEndReason::LeaseExpired)
    );
}

#[test]
fn a_run_that_no_server_reports_to_a_new_owner_is_over_after_the_longest_lease() {
    let mut bench = running();
    bench.take_over(2);
    let began = bench.now;
    let round = rounds_until_inferred_end(&mut bench, 20_000);
    assert_eq!(
        only_inferred_end(&round),
        (
            RunEnd::LeaseExpired,
            InferredEndReason::TakeoverBoundExpired
        )
    );
    assert!(bench.now - began > bench.settings.takeover_bound_ms());
}

#[test]
fn a_start_that_is_recorded_after_its_server_is_gone_never_begins() {
    let mut bench = proposed();
    bench.leave(MACHINE);
    bench.round();
    apply_held(&mut bench);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (
            RunEnd::LeaseExpired,
            InferredEndReason::ServerGoneBeforeNotification
        )
    );
}

#[test]
fn a_start_whose_job_is_cancelled_before_it_is_recorded_never_begins() {
    let mut bench = proposed();
    apply_held(&mut bench);
    bench.cancel(JOB);
    let round = bench.round();
    assert!(round
        .messages
        .iter()
        .all(|order| order.message.assign.is_empty()));
    assert_eq!(
        only_inferred_end(&round),
        (
            RunEnd::Stopped,
            InferredEndReason::StoppedBeforeNotification
        )
    );
}

#[test]
fn an_acknowledged_stop_ends_a_run_that_the_server_does_not_list() {
    let mut bench = with_server();
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    while bench
        .messages
        .iter()
        .all(|(_, message)| message.assign.is_empty())
    {
        bench.now += 50;
        bench.beat(MACHINE);
        bench.round();
    }
    // The answer that pending the start was lost on its way to the server.
    bench.messages.clear();
    bench.cancel(JOB);
    bench.round();
    let (_, stop) = bench.messages.pop().expect("the stop is ordered");
    assert_eq!(stop.stop, [(task(JOB, 0, 0), 1)]);
    bench.beat(MACHINE);
    assert!(
        bench.round().inferred_ends.is_empty(),
        "the server has not seen the stop"
    );
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("it is there")
        .orders_seen = stop.number;
    bench.beat(MACHINE);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (RunEnd::Stopped, InferredEndReason::StopAcknowledged)
    );
}
