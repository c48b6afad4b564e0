//! Ends of runs by the expiry of leases.

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
    // Longer than any lease that an earlier owner may have granted.
    bench.run_for(bench.settings.takeover_bound_ms());
    assert_eq!(bench.machines_running(7), vec![MACHINE]);
    bench
}

/// Advances the time without heartbeats. Returns after how long the end of the run was recorded.
fn run_without_heartbeats_until_lease_expires(bench: &mut Bench, max_wait_ms: u64) -> Option<u64> {
    let unreachable_since = bench.now;
    while bench.now < unreachable_since + max_wait_ms {
        bench.now += 25;
        let round = bench.round();
        let ends = Bench::submitted_ends(&round.operations);
        if ends
            .iter()
            .any(|end| end.task == task(7, 0, 0) && end.end == RunEnd::LeaseExpired)
        {
            return Some(bench.now - unreachable_since);
        }
    }
    None
}

#[test]
fn an_unreachable_server_keeps_its_runs_until_its_lease_expires() {
    let mut bench = one_running();
    let expired_after_ms = run_without_heartbeats_until_lease_expires(&mut bench, 10_000);
    let bound_ms = bench.settings.lease_bound_ms();
    let expired_after_ms = expired_after_ms.expect("the lease expires");
    assert!(
        expired_after_ms + bench.settings.lease_ms / 4 >= bound_ms,
        "expired after {expired_after_ms} ms; the bound is {bound_ms} ms"
    );
    assert!(
        expired_after_ms <= bound_ms + 50,
        "expired after {expired_after_ms} ms; the bound is {bound_ms} ms"
    );
}

#[test]
fn a_new_incarnation_with_the_same_agent_ends_the_runs_of_the_old_one_at_once() {
    let mut bench = one_running();
    bench.attach(MACHINE, 2, &["a", "r1"]);
    let round = bench.round();
    assert!(Bench::submitted_ends(&round.operations)
        .iter()
        .any(|end| end.end == RunEnd::LeaseExpired));
}

#[test]
fn an_incarnation_with_another_agent_ends_no_runs() {
    let mut bench = one_running();
    bench.disconnect(MACHINE);
    bench.attach(2, 1, &["a", "r1"]);
    let round = bench.round();
    assert!(Bench::submitted_ends(&round.operations).is_empty());
}

#[test]
fn a_new_owner_waits_until_leases_of_the_old_owner_have_expired() {
    let mut bench = one_running();
    bench.take_over(2);
    let expired_after_ms =
        run_without_heartbeats_until_lease_expires(&mut bench, 20_000).expect("all leases expire");
    let bound_ms = bench.settings.takeover_bound_ms();
    assert!(
        expired_after_ms > bound_ms,
        "expired after {expired_after_ms} ms; the bound is {bound_ms} ms"
    );
    assert!(
        expired_after_ms <= bound_ms + 50,
        "expired after {expired_after_ms} ms; the bound is {bound_ms} ms"
    );
}

#[test]
fn a_new_owner_keeps_the_runs_that_servers_report() {
    let mut bench = one_running();
    bench.take_over(2);
    bench.reattach(MACHINE, 99);
    bench.round();
    let (_, message) = bench
        .messages
        .pop()
        .expect("the agent is sent a message in the same round");
    assert!(message.complete);
    assert_eq!(message.assign.len(), 1);
    assert_eq!(
        (message.assign[0].task, message.assign[0].attempt),
        (task(7, 0, 0), 1)
    );
    assert!(message.stop.is_empty());
    bench.run_for(10_000);
    assert_eq!(bench.machines_running(7), vec![MACHINE]);
}

#[test]
fn orders_of_an_expired_lease_are_replaced_before_a_new_lease_is_granted() {
    let mut bench = one_running();
    bench.messages.clear();
    run_without_heartbeats_until_lease_expires(&mut bench, 10_000).expect("the lease expires");
    bench.send_heartbeat(MACHINE);
    bench.round();
    let grants_lease = |message: &&(u16, OwnerMessage)| message.1.lease_from == Millis(bench.now);
    let granting = bench
        .messages
        .iter()
        .position(|message| grants_lease(&message))
        .expect("the heartbeat is answered");
    let complete = bench
        .messages
        .iter()
        .position(|(_, message)| message.complete)
        .expect("a complete list of orders is sent");
    assert!(
        complete <= granting,
        "starts of the old orders must not be executed under the new lease"
    );
    assert!(bench.messages[complete].1.assign.is_empty());
    let stop = &bench.messages[granting].1.stop;
    assert!(
        stop.contains(&(task(7, 0, 0), 1)),
        "the server lists the run, and the state no longer assigns it"
    );
}

#[test]
fn at_a_new_owner_a_later_incarnation_with_the_same_agent_ends_runs_of_the_old_one() {
    let mut bench = one_running();
    bench.take_over(2);
    // Server and agent lost power together with the old owner, and return as a new incarnation with a new agent process.
    bench.attach(MACHINE, 2, &["a", "r1"]);
    let expired_after_ms = run_without_heartbeats_until_lease_expires(&mut bench, 20_000)
        .expect("the runs of the old incarnation end");
    assert!(
        expired_after_ms <= 200,
        "{expired_after_ms} ms; the takeover bound is {} ms",
        bench.settings.takeover_bound_ms()
    );
}

#[test]
fn at_a_new_owner_an_incarnation_with_another_agent_ends_no_runs() {
    let mut bench = one_running();
    bench.take_over(2);
    bench.attach(2, 1, &["a", "r1"]);
    let expired_after_ms =
        run_without_heartbeats_until_lease_expires(&mut bench, 20_000).expect("all leases expire");
    let bound_ms = bench.settings.takeover_bound_ms();
    assert!(
        expired_after_ms > bound_ms,
        "expired after {expired_after_ms} ms; the bound is {bound_ms} ms"
    );
}
