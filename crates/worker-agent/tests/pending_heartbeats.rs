//! Heartbeats whose responses are delayed until there are orders.

mod support;

use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::MIN_LEASE_MS;
use lupinrack_worker_agent::{
    Agent, HeartbeatOutcome, PendingHeartbeat, ServerHeartbeat, StopOrder,
};
use support::{
    assignment, attached, finished, heartbeat_of, message, ordered, reported, running, started,
    task, AnswerAtOnce, CONNECTION, OVERDUE,
};

/// When the lease expires that the messages of `support` grant, in milliseconds.
const LEASE_END: u64 = 3_011;

fn receive_pending(agent: &mut Agent, heartbeat: ServerHeartbeat, now: u64) -> PendingHeartbeat {
    match agent.receive_heartbeat(heartbeat, Millis(now)) {
        HeartbeatOutcome::Pending(pending) => pending,
        HeartbeatOutcome::Answered(response) => panic!("answered at once: {response:?}"),
    }
}

fn heartbeat_with_run(sequence: u64) -> ServerHeartbeat {
    let mut listed = heartbeat_of("a", sequence);
    listed.heartbeat.running = vec![running(1, 1)];
    listed
}

/// An agent with a lease whose only order is carried out: its server runs task 1.
fn without_orders() -> Agent {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_with_run(2), Millis(30));
    agent
}

fn deliver(agent: &mut Agent, message: OwnerMessage) {
    assert_eq!(agent.receive_owner_message(CONNECTION, message), Ok(()));
}

fn second_message() -> OwnerMessage {
    OwnerMessage {
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    }
}

#[test]
fn the_newest_heartbeat_is_pending() {
    let mut agent = attached();
    let pending = receive_pending(&mut agent, heartbeat_of("a", 2), 100);
    assert_eq!(
        (pending.arrived_at, pending.lists_ends, pending.idle),
        (Millis(100), false, true)
    );
    let pending = receive_pending(&mut agent, heartbeat_with_run(3), 200);
    assert_eq!(
        (pending.arrived_at, pending.lists_ends, pending.idle),
        (Millis(200), false, false)
    );
    let mut ended = heartbeat_of("a", 4);
    ended.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    let pending = receive_pending(&mut agent, ended, 300);
    assert_eq!(
        (pending.arrived_at, pending.lists_ends, pending.idle),
        (Millis(300), true, false)
    );
}

#[test]
fn late_heartbeats_and_those_of_an_unconfirmed_incarnation_are_answered_at_once() {
    let mut agent = ordered();
    receive_pending(&mut agent, heartbeat_of("a", 3), 100);
    for sequence in [2, 3] {
        let outcome = agent.receive_heartbeat(heartbeat_of("a", sequence), Millis(110));
        let HeartbeatOutcome::Answered(response) = outcome else {
            panic!("{sequence} is pending")
        };
        assert!(response.starts.is_empty() && response.lease_ms == 0);
    }
    let outcome = agent.receive_heartbeat(heartbeat_of("b", 1), Millis(120));
    let HeartbeatOutcome::Answered(response) = outcome else {
        panic!("the other incarnation is pending")
    };
    assert!(response.starts.is_empty() && response.lease_ms == 0);
}

#[test]
fn a_start_that_arrives_while_the_heartbeat_is_pending_is_an_order() {
    let mut agent = without_orders();
    let pending = receive_pending(&mut agent, heartbeat_with_run(3), 100);
    assert!(!agent.has_orders(Millis(110)));
    deliver(&mut agent, second_message());
    assert!(agent.has_orders(Millis(120)));
    assert_eq!(
        started(&agent.respond_to_heartbeat(&pending, Millis(120))),
        [(2, 1)]
    );
}

#[test]
fn a_stop_that_arrives_while_the_heartbeat_is_pending_is_an_order() {
    let mut agent = without_orders();
    let pending = receive_pending(&mut agent, heartbeat_with_run(3), 100);
    deliver(
        &mut agent,
        OwnerMessage {
            stop: vec![(task(2), 1)],
            ..message(2, "a", 5)
        },
    );
    assert!(
        !agent.has_orders(Millis(110)),
        "a task that does not run needs no stop"
    );
    deliver(
        &mut agent,
        OwnerMessage {
            stop: vec![(task(1), 1)],
            ..message(3, "a", 5)
        },
    );
    assert!(agent.has_orders(Millis(120)));
    let response = agent.respond_to_heartbeat(&pending, Millis(120));
    assert_eq!(
        response.stops,
        [StopOrder {
            task: task(1).to_string(),
            attempt: 1
        }]
    );
}

#[test]
fn a_message_without_orders_is_no_order() {
    let mut agent = without_orders();
    receive_pending(&mut agent, heartbeat_with_run(3), 100);
    deliver(&mut agent, message(2, "a", 5));
    assert!(!agent.has_orders(Millis(110)));
}

#[test]
fn stops_are_orders_for_a_draining_server_but_starts_are_not() {
    let mut agent = without_orders();
    let mut draining = heartbeat_with_run(3);
    draining.heartbeat.draining = true;
    let pending = receive_pending(&mut agent, draining, 100);
    deliver(&mut agent, second_message());
    assert!(!agent.has_orders(Millis(110)));
    deliver(
        &mut agent,
        OwnerMessage {
            stop: vec![(task(1), 1)],
            ..message(3, "a", 5)
        },
    );
    assert!(agent.has_orders(Millis(120)));
    let response = agent.respond_to_heartbeat(&pending, Millis(120));
    assert_eq!((started(&response), response.stops.len()), (vec![], 1));
}

#[test]
fn a_start_without_a_lease_is_no_order() {
    let mut agent = ordered();
    receive_pending(&mut agent, heartbeat_of("a", 2), LEASE_END - MIN_LEASE_MS);
    assert!(agent.has_orders(Millis(LEASE_END - MIN_LEASE_MS)));
    assert!(!agent.has_orders(Millis(LEASE_END - MIN_LEASE_MS + 1)));
}

#[test]
fn without_a_server_there_are_no_orders() {
    let mut agent = ordered();
    agent.deregister(heartbeat_of("a", 1).facts.id);
    assert!(!agent.has_orders(Millis(110)));
}

#[test]
fn the_lease_of_a_pending_heartbeat_counts_from_its_arrival() {
    let mut agent = ordered();
    let pending = receive_pending(&mut agent, heartbeat_of("a", 2), 100);
    assert_eq!(
        agent.respond_to_heartbeat(&pending, Millis(400)).lease_ms,
        LEASE_END - 100
    );
}

#[test]
fn a_lease_extension_that_arrives_while_the_heartbeat_is_pending_is_in_its_response() {
    let mut agent = ordered();
    let pending = receive_pending(&mut agent, heartbeat_of("a", 2), 100);
    let extension = OwnerMessage {
        lease_ms: 4_000,
        ..message(2, "a", 5)
    };
    deliver(&mut agent, extension);
    assert_eq!(
        agent.respond_to_heartbeat(&pending, Millis(160)).lease_ms,
        11 + 4_000 - 100
    );
}

#[test]
fn orders_of_a_pending_response_are_seen_with_the_next_heartbeat() {
    let mut agent = without_orders();
    let pending = receive_pending(&mut agent, heartbeat_with_run(3), 100);
    deliver(&mut agent, second_message());
    // An order counts as seen only after a response has carried it.
    let before = agent.poll(Millis(125));
    assert!(
        reported(&before).is_none_or(|heartbeat| heartbeat.orders_seen < 2),
        "{before:?}"
    );
    agent.respond_to_heartbeat(&pending, Millis(130));
    receive_pending(&mut agent, heartbeat_with_run(4), 200);
    let messages = agent.poll(Millis(200));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(2)
    );
}

#[test]
fn orders_that_arrive_after_the_response_are_not_seen_with_the_next_heartbeat() {
    let mut agent = without_orders();
    let pending = receive_pending(&mut agent, heartbeat_with_run(3), 100);
    agent.respond_to_heartbeat(&pending, Millis(120));
    deliver(&mut agent, second_message());
    let mut progressed = heartbeat_with_run(4);
    progressed.heartbeat.running[0].percent = 50;
    let pending = receive_pending(&mut agent, progressed, 200);
    let messages = agent.poll(Millis(200));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(1)
    );
    assert_eq!(
        started(&agent.respond_to_heartbeat(&pending, Millis(210))),
        [(2, 1)]
    );
}

#[test]
fn orders_of_a_response_that_was_never_sent_are_not_seen() {
    let mut agent = without_orders();
    deliver(&mut agent, second_message());
    receive_pending(&mut agent, heartbeat_with_run(3), 100);
    let mut progressed = heartbeat_with_run(4);
    progressed.heartbeat.running[0].percent = 50;
    receive_pending(&mut agent, progressed, 200);
    let messages = agent.poll(Millis(200));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(1)
    );
}

#[test]
fn a_server_whose_heartbeat_is_pending_is_not_overdue() {
    let mut agent = attached();
    receive_pending(&mut agent, heartbeat_of("a", 2), 100);
    agent.owner_connected(2);
    let messages = agent.poll(Millis(400));
    assert!(
        matches!(messages.as_slice(), [AgentMessage::Attach { .. }]),
        "{messages:?}"
    );
}

#[test]
fn the_next_heartbeat_is_expected_from_the_response_on() {
    let mut agent = attached();
    let pending = receive_pending(&mut agent, heartbeat_of("a", 2), 100);
    agent.respond_to_heartbeat(&pending, Millis(400));
    agent.owner_connected(2);
    let messages = agent.poll(OVERDUE);
    assert!(
        matches!(messages.as_slice(), [AgentMessage::Attach { .. }]),
        "{messages:?}"
    );
}
