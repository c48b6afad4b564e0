//! When a run is over although its server does not say so.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;

const MACHINE: u16 = 1;

/// One task of a long job runs on the only server.
fn one_running() -> Bench {
    let mut bench = Bench::new();
    bench.attach(MACHINE, 1, &["a", "r1"]);
    bench.accept_steps(7, 1, vec![step(1, 1_000, 60_000)]);
    // Longer than what earlier owners may have granted.
    bench.run_for(bench.settings.takeover_bound_ms());
    assert_eq!(bench.machines_of(7), vec![MACHINE]);
    bench
}

/// Moves on without any word from the servers; gives when the end was recorded.
fn unreachable_until_lease_expired(bench: &mut Bench, at_most_ms: u64) -> Option<u64> {
    let begin = bench.now;
    while bench.now < begin + at_most_ms {
        bench.now += 25;
        let round = bench.round();
        let ends = Bench::ends(&round.operations);
        if ends
            .iter()
            .any(|end| end.task == task(7, 0, 0) && end.end == RunEnd::LeaseExpired)
        {
            return Some(bench.now - begin);
        }
    }
    None
}

#[test]
fn an_unreachable_server_keeps_its_runs_until_its_lease_expires() {
    let mut bench = one_running();
    let expired_after_ms = unreachable_until_lease_expired(&mut bench, 10_000);
    let bound_ms = bench.settings.lease_bound_ms();
    let expired_after_ms = expired_after_ms.expect("its lease expires");
    assert!(
        expired_after_ms + bench.settings.lease_ms / 4 >= bound_ms,
        "{expired_after_ms} of {bound_ms} ms"
    );
    assert!(
        expired_after_ms <= bound_ms + 50,
        "{expired_after_ms} of {bound_ms} ms"
    );
}

#[test]
fn a_new_incarnation_beside_the_same_agent_ends_the_runs_of_the_old_one_at_once() {
    let mut bench = one_running();
    bench.attach(MACHINE, 2, &["a", "r1"]);
    let round = bench.round();
    assert!(Bench::ends(&round.operations)
        .iter()
        .any(|end| end.end == RunEnd::LeaseExpired));
}

#[test]
fn an_incarnation_beside_another_agent_ends_nothing() {
    let mut bench = one_running();
    bench.disconnect(MACHINE);
    bench.attach(2, 1, &["a", "r1"]);
    let round = bench.round();
    assert!(Bench::ends(&round.operations).is_empty());
}

#[test]
fn a_new_owner_waits_for_the_leases_that_the_old_one_may_have_granted() {
    let mut bench = one_running();
    bench.take_over(2);
    let expired_after_ms =
        unreachable_until_lease_expired(&mut bench, 20_000).expect("every lease expires");
    let bound_ms = bench.settings.takeover_bound_ms();
    assert!(
        expired_after_ms > bound_ms,
        "{expired_after_ms} of {bound_ms} ms"
    );
    assert!(
        expired_after_ms <= bound_ms + 50,
        "{expired_after_ms} of {bound_ms} ms"
    );
}

#[test]
fn a_new_owner_takes_over_what_runs() {
    let mut bench = one_running();
    bench.take_over(2);
    bench.attach_again(MACHINE, 99);
    bench.round();
    let (_, message) = bench.messages.pop().expect("the agent is notified at once");
    assert!(message.complete);
    assert_eq!(message.assign.len(), 1);
    assert_eq!(
        (message.assign[0].task, message.assign[0].attempt),
        (task(7, 0, 0), 1)
    );
    assert!(message.stop.is_empty());
    bench.run_for(10_000);
    assert_eq!(bench.machines_of(7), vec![MACHINE]);
}

#[test]
fn orders_of_an_expired_lease_are_replaced_before_the_next_lease() {
    let mut bench = one_running();
    bench.messages.clear();
    unreachable_until_lease_expired(&mut bench, 10_000).expect("its lease expires");
    bench.beat(MACHINE);
    bench.round();
    let holds_anew = |message: &&(u16, OwnerMessage)| message.1.lease_from == Millis(bench.now);
    let newest = bench
        .messages
        .iter()
        .position(|message| holds_anew(&message))
        .expect("the report is answered");
    let complete = bench
        .messages
        .iter()
        .position(|(_, message)| message.complete)
        .expect("all is ordered anew");
    assert!(
        complete <= newest,
        "starts of the old orders must not be started again"
    );
    assert!(bench.messages[complete].1.assign.is_empty());
    let stop = &bench.messages[newest].1.stop;
    assert!(
        stop.contains(&(task(7, 0, 0), 1)),
        "it is still listed, and no record asks for it"
    );
}

#[test]
fn a_new_owner_knows_that_a_later_incarnation_beside_the_same_agent_ended_the_old_one() {
    let mut bench = one_running();
    bench.take_over(2);
    // The server lost power with everything else: it comes back as another incarnation, beside a fresh agent.
    bench.attach(MACHINE, 2, &["a", "r1"]);
    let expired_after_ms =
        unreachable_until_lease_expired(&mut bench, 20_000).expect("the old incarnation is over");
    assert!(
        expired_after_ms <= 200,
        "{expired_after_ms} ms, although the bound is {} ms",
        bench.settings.takeover_bound_ms()
    );
}

#[test]
fn at_a_new_owner_an_incarnation_beside_another_agent_ends_nothing() {
    let mut bench = one_running();
    bench.take_over(2);
    bench.attach(2, 1, &["a", "r1"]);
    let expired_after_ms =
        unreachable_until_lease_expired(&mut bench, 20_000).expect("every lease expires");
    let bound_ms = bench.settings.takeover_bound_ms();
    assert!(
        expired_after_ms > bound_ms,
        "{expired_after_ms} of {bound_ms} ms"
    );
}
