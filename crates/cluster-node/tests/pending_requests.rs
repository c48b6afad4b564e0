//! Pending calls at the head.

mod common;

use common::core;
use lupinrack_cluster_api::identity::{DiskId, FencingToken, ServiceName};
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::request::{CallId, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::core::pending_requests::{
    Caller, CompletedBarrier, PendingRequest, PendingRequests, UpdateRequest,
};
use quickcheck::quickcheck;

/// An empty list of call numbers.
const NOTHING: [u64; 0] = [];

fn call_until(id: u64, until: u64) -> PendingRequest {
    let caller = Caller {
        from: core(1),
        connection: Some(1),
        id: CallId {
            incarnation: 1,
            number: id,
        },
        deadline: Millis(until),
    };
    PendingRequest {
        caller,
        request: Request::ReadConfiguration,
    }
}

fn call(id: u64) -> PendingRequest {
    call_until(id, 1_000)
}

fn ids(calls: Vec<PendingRequest>) -> Vec<u64> {
    calls
        .into_iter()
        .map(|call| call.caller.id.number)
        .collect()
}

/// The numbers of the calls that a completed barrier confirms.
fn passed_ids(passed: CompletedBarrier) -> Vec<u64> {
    ids(passed.requests)
}

#[test]
fn an_applied_operation_brings_its_call_once() {
    let mut waiting = PendingRequests::default();
    waiting.await_operation(7, call(1));
    assert!(waiting.take_applied(6).is_none());
    assert_eq!(
        waiting.take_applied(7).map(|call| call.caller.id.number),
        Some(1)
    );
    assert!(waiting.take_applied(7).is_none());
}

#[test]
fn a_barrier_is_due_while_reads_wait_and_none_is_under_way() {
    let mut waiting = PendingRequests::default();
    assert!(!waiting.needs_barrier());
    waiting.await_barrier(call(1));
    assert!(waiting.needs_barrier());
    waiting.barrier_started(1);
    assert!(!waiting.needs_barrier());
    waiting.await_barrier(call(2));
    assert!(!waiting.needs_barrier(), "one barrier at a time");
    waiting.complete_barrier(1);
    assert!(waiting.needs_barrier());
}

#[test]
fn a_barrier_answers_only_reads_that_came_before_it_began() {
    let mut waiting = PendingRequests::default();
    waiting.await_barrier(call(1));
    waiting.barrier_started(1);
    waiting.await_barrier(call(2));
    assert_eq!(passed_ids(waiting.complete_barrier(1)), [1]);
    waiting.barrier_started(2);
    assert_eq!(passed_ids(waiting.complete_barrier(2)), [2]);
}

#[test]
fn an_older_barrier_answers_nothing() {
    let mut waiting = PendingRequests::default();
    waiting.await_barrier(call(1));
    waiting.barrier_started(5);
    assert_eq!(passed_ids(waiting.complete_barrier(4)), NOTHING);
    assert_eq!(passed_ids(waiting.complete_barrier(5)), [1]);
    assert_eq!(
        passed_ids(waiting.complete_barrier(5)),
        NOTHING,
        "it passes once"
    );
}

#[test]
fn a_barrier_that_begins_beside_another_loses_no_read() {
    let mut waiting = PendingRequests::default();
    waiting.await_barrier(call(1));
    waiting.barrier_started(1);
    waiting.await_barrier(call(2));
    waiting.barrier_started(2);
    assert_eq!(
        passed_ids(waiting.complete_barrier(1)),
        NOTHING,
        "the second covers the first one's reads, too"
    );
    assert_eq!(passed_ids(waiting.complete_barrier(2)), [1, 2]);
}

#[test]
fn a_view_change_hands_everything_back_and_voids_the_barrier() {
    let mut waiting = PendingRequests::default();
    waiting.await_operation(7, call(1));
    waiting.await_barrier(call(2));
    waiting.barrier_started(1);
    waiting.await_barrier(call(3));
    waiting.defer(call(4));
    assert_eq!(ids(waiting.view_changed()), [1, 2, 3, 4]);
    assert_eq!(ids(waiting.view_changed()), NOTHING);
    assert!(waiting.take_applied(7).is_none());
    waiting.await_barrier(call(5));
    assert!(
        waiting.needs_barrier(),
        "the old view's barrier is not waited for"
    );
    assert_eq!(
        passed_ids(waiting.complete_barrier(1)),
        NOTHING,
        "and answers nothing in the new view"
    );
}

#[test]
fn deferred_calls_come_back_once() {
    let mut waiting = PendingRequests::default();
    waiting.defer(call(1));
    waiting.defer(call(2));
    assert_eq!(ids(waiting.take_deferred()), [1, 2]);
    assert_eq!(ids(waiting.take_deferred()), NOTHING);
}

#[test]
fn calls_whose_callers_gave_up_are_dropped_wherever_they_wait() {
    let mut waiting = PendingRequests::default();
    for late in [false, true] {
        let until = if late { 2_000 } else { 1_000 };
        let base = if late { 10 } else { 0 };
        waiting.await_operation(base + 1, call_until(base + 1, until));
        waiting.defer(call_until(base + 4, until));
        waiting.await_barrier(call_until(base + 2, until));
    }
    waiting.barrier_started(1);
    waiting.await_barrier(call_until(3, 1_000));
    waiting.await_barrier(call_until(13, 2_000));
    waiting.expire(Millis(1_000));
    assert_eq!(ids(waiting.view_changed()), [11, 12, 13, 14]);
}

quickcheck! {
    /// Exactly one barrier answers each read, and that barrier starts after the read arrives.
    fn no_read_is_answered_early_or_twice(steps: Vec<bool>) -> bool {
        let mut waiting = PendingRequests::default();
        let mut barrier = 0;
        let mut under_way = false;
        // The newest barrier at the arrival of each read.
        let mut came_at: Vec<u64> = Vec::new();
        let mut answered: Vec<u64> = Vec::new();
        for read_comes in steps {
            if read_comes {
                came_at.push(barrier);
                waiting.await_barrier(call(came_at.len() as u64 - 1));
                continue;
            }
            if under_way {
                let passed = passed_ids(waiting.complete_barrier(barrier));
                if passed.iter().any(|id| came_at[*id as usize] >= barrier) {
                    return false;
                }
                answered.extend(passed);
                under_way = false;
            }
            if waiting.needs_barrier() {
                barrier += 1;
                waiting.barrier_started(barrier);
                under_way = true;
            }
        }
        answered.extend(ids(waiting.view_changed()));
        answered.sort_unstable();
        answered == (0..came_at.len() as u64).collect::<Vec<u64>>()
    }
}

fn question(connection: u64, requested_at: u64) -> UpdateRequest {
    UpdateRequest {
        connection,
        have: 0,
        requested_at: Millis(requested_at),
    }
}

#[test]
fn a_subscriber_is_answered_by_a_barrier_that_began_after_it_asked() {
    let mut waiting = PendingRequests::default();
    waiting.await_update(question(4, 100));
    assert!(waiting.needs_barrier());
    waiting.barrier_started(1);
    waiting.await_update(question(4, 200));
    assert_eq!(
        waiting.complete_barrier(1).updates,
        [question(4, 100)],
        "not with the moment of its later question"
    );
    assert!(waiting.needs_barrier());
    waiting.barrier_started(2);
    assert_eq!(waiting.complete_barrier(2).updates, [question(4, 200)]);
    assert!(!waiting.needs_barrier());
}

#[test]
fn of_the_questions_of_one_subscriber_the_newest_waits() {
    let mut waiting = PendingRequests::default();
    for requested_at in [100, 200, 300] {
        waiting.await_update(question(4, requested_at));
        waiting.await_update(question(5, requested_at + 1));
    }
    waiting.barrier_started(1);
    assert_eq!(
        waiting.complete_barrier(1).updates,
        [question(4, 300), question(5, 301)]
    );
}

#[test]
fn a_view_change_discards_update_requests() {
    let mut waiting = PendingRequests::default();
    waiting.await_update(question(4, 100));
    waiting.barrier_started(1);
    waiting.await_update(question(5, 100));
    assert_eq!(ids(waiting.view_changed()), NOTHING);
    assert!(!waiting.needs_barrier());
    waiting.barrier_started(2);
    assert_eq!(waiting.complete_barrier(2).updates, []);
}

fn take_shard(token: u64) -> Operation {
    Operation::TakeShard {
        service: ServiceName("service".to_owned()),
        token: FencingToken(token),
        owner: DiskId(1),
        incarnation: 1,
    }
}

#[test]
fn operations_that_come_before_the_head_is_ready_wait_for_it_in_their_order() {
    let mut waiting = PendingRequests::default();
    waiting.defer_operation(take_shard(1));
    waiting.defer_operation(take_shard(2));
    assert_eq!(
        waiting.take_deferred_operations(),
        [take_shard(1), take_shard(2)]
    );
    assert_eq!(waiting.take_deferred_operations(), []);
}

#[test]
fn pending_operations_are_limited() {
    let mut waiting = PendingRequests::default();
    (0..1_000).for_each(|token| waiting.defer_operation(take_shard(token)));
    assert_eq!(waiting.take_deferred_operations().len(), 64);
}
