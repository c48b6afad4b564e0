//! Inferred ends: each reason for which the scheduler records the end of a run that its server has not reported.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_scheduler::{InferredEndReason, Round};

const MACHINE: u16 = 1;
const JOB: u64 = 7;

fn one_server() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.run_for(bench.settings.takeover_bound_ms());
    bench
}

fn one_running() -> Bench {
    let mut bench = one_server();
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    bench.run_for(500);
    assert_eq!(bench.machines_running(JOB), [MACHINE]);
    bench
}

/// A start is proposed, and the operation that records it is pending.
fn start_proposed() -> Bench {
    let mut bench = one_server();
    bench.delays_operations = true;
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    let starts = |bench: &Bench| Bench::submitted_starts(&bench.pending).len();
    while starts(&bench) == 0 {
        bench.now += 50;
        bench.send_heartbeat(MACHINE);
        bench.round();
    }
    bench.delays_operations = false;
    bench
}

fn apply_pending(bench: &mut Bench) {
    let pending = std::mem::take(&mut bench.pending);
    pending
        .into_iter()
        .for_each(|operation| bench.apply(operation));
}

/// The only inferred end of this round, as recorded, and its reason.
fn only_inferred_end(round: &Round) -> (RunEnd, InferredEndReason) {
    let ends = Bench::submitted_ends(&round.operations);
    let [end] = ends.as_slice() else {
        panic!("exactly one end is expected: {ends:?}")
    };
    let [inferred] = round.inferred_ends.as_slice() else {
        panic!(
            "exactly one inferred end is expected: {:?}",
            round.inferred_ends
        )
    };
    assert_eq!((end.task, end.attempt), (inferred.task, inferred.attempt));
    assert_eq!(end.task, task(JOB, 0, 0));
    (end.end, inferred.reason)
}

fn rounds_until_inferred_end(bench: &mut Bench, max_wait_ms: u64) -> Round {
    let until = bench.now + max_wait_ms;
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
fn deregistration_of_a_server_ends_its_runs() {
    let mut bench = one_running();
    bench.deregister(MACHINE);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (RunEnd::LeaseExpired, InferredEndReason::ServerDeregistered)
    );
}

#[test]
fn a_later_incarnation_with_the_same_agent_ends_runs_of_the_earlier_one() {
    let mut bench = one_running();
    bench.attach(MACHINE, 2, &["a", "r1"]);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (RunEnd::LeaseExpired, InferredEndReason::LaterIncarnation)
    );
}

#[test]
fn an_expired_lease_ends_the_runs_of_its_server() {
    let mut bench = one_running();
    let round = rounds_until_inferred_end(&mut bench, 10_000);
    assert_eq!(
        only_inferred_end(&round),
        (RunEnd::LeaseExpired, InferredEndReason::LeaseExpired)
    );
}

#[test]
fn a_run_that_no_server_reports_to_a_new_owner_ends_after_the_takeover_bound() {
    let mut bench = one_running();
    bench.take_over(2);
    let taken_over_at = bench.now;
    let round = rounds_until_inferred_end(&mut bench, 20_000);
    assert_eq!(
        only_inferred_end(&round),
        (
            RunEnd::LeaseExpired,
            InferredEndReason::TakeoverBoundExpired
        )
    );
    assert!(bench.now - taken_over_at > bench.settings.takeover_bound_ms());
}

#[test]
fn a_start_recorded_after_its_server_deregistered_is_ended() {
    let mut bench = start_proposed();
    bench.deregister(MACHINE);
    bench.round();
    apply_pending(&mut bench);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (
            RunEnd::LeaseExpired,
            InferredEndReason::ServerGoneBeforeNotification
        )
    );
}

#[test]
fn a_start_whose_job_is_cancelled_before_the_order_is_sent_is_ended() {
    let mut bench = start_proposed();
    apply_pending(&mut bench);
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
    let mut bench = one_server();
    bench.accept_steps(JOB, 1, vec![step(1, 1_000, 60_000)]);
    while bench
        .messages
        .iter()
        .all(|(_, message)| message.assign.is_empty())
    {
        bench.now += 50;
        bench.send_heartbeat(MACHINE);
        bench.round();
    }
    // The message with the order to start is lost.
    bench.messages.clear();
    bench.cancel(JOB);
    bench.round();
    let (_, stop) = bench.messages.pop().expect("the stop is ordered");
    assert_eq!(stop.stop, [(task(JOB, 0, 0), 1)]);
    bench.send_heartbeat(MACHINE);
    assert!(
        bench.round().inferred_ends.is_empty(),
        "the server has not received the stop"
    );
    bench
        .servers
        .get_mut(&MACHINE)
        .expect("the server exists")
        .orders_seen = stop.number;
    bench.send_heartbeat(MACHINE);
    assert_eq!(
        only_inferred_end(&bench.round()),
        (RunEnd::Stopped, InferredEndReason::StopAcknowledged)
    );
}
