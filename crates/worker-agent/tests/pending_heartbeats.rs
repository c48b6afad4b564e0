//! Heartbeats whose answers are left open until there are orders.

mod support;

use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::lease::LEASE_LEAST_MS;
use lupinrack_worker_agent::{
    Agent, HeartbeatOutcome, PendingHeartbeat, ServerHeartbeat, StopOrder,
};
use support::{
    assignment, attached, beat, finished, message, ordered, reported, running, started, task,
    AnswerAtOnce, CONNECTION, SILENT,
};

/// The end of the hold that the support's messages grant.
const HOLD_END: u64 = 3_011;

fn leave_open(agent: &mut Agent, beat: ServerHeartbeat, now: u64) -> PendingHeartbeat {
    match agent.receive_heartbeat(beat, Millis(now)) {
        HeartbeatOutcome::Pending(open) => open,
        HeartbeatOutcome::Answered(answer) => panic!("answered at once: {answer:?}"),
    }
}

fn beat_with_run(sequence: u64) -> ServerHeartbeat {
    let mut listed = beat("a", sequence);
    listed.heartbeat.running = vec![running(1, 1)];
    listed
}

/// An agent that holds and has no orders, and whose server runs task 1.
fn without_orders() -> Agent {
    let mut agent = ordered();
    agent.heartbeat(beat_with_run(2), Millis(30));
    agent
}

fn tell(agent: &mut Agent, message: OwnerMessage, now: u64) {
    assert_eq!(agent.receive_owner_message(CONNECTION, message), Ok(()));
}

fn second_message() -> OwnerMessage {
    OwnerMessage {
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    }
}

#[test]
fn the_newest_heartbeat_is_left_open() {
    let mut agent = attached();
    let open = leave_open(&mut agent, beat("a", 2), 100);
    assert_eq!(
        (open.arrived_at, open.lists_ends, open.idle),
        (Millis(100), false, true)
    );
    let open = leave_open(&mut agent, beat_with_run(3), 200);
    assert_eq!(
        (open.arrived_at, open.lists_ends, open.idle),
        (Millis(200), false, false)
    );
    let mut ended = beat("a", 4);
    ended.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    let open = leave_open(&mut agent, ended, 300);
    assert_eq!(
        (open.arrived_at, open.lists_ends, open.idle),
        (Millis(300), true, false)
    );
}

#[test]
fn late_heartbeats_and_those_of_an_unconfirmed_life_are_answered_at_once() {
    let mut agent = ordered();
    leave_open(&mut agent, beat("a", 3), 100);
    for sequence in [2, 3] {
        let receipt = agent.receive_heartbeat(beat("a", sequence), Millis(110));
        let HeartbeatOutcome::Answered(answer) = receipt else {
            panic!("{sequence} was left open")
        };
        assert!(answer.starts.is_empty() && answer.lease_ms == 0);
    }
    let receipt = agent.receive_heartbeat(beat("b", 1), Millis(120));
    let HeartbeatOutcome::Answered(answer) = receipt else {
        panic!("the other life was left open")
    };
    assert!(answer.starts.is_empty() && answer.lease_ms == 0);
}

#[test]
fn a_start_that_comes_meanwhile_is_an_order() {
    let mut agent = without_orders();
    let open = leave_open(&mut agent, beat_with_run(3), 100);
    assert!(!agent.has_orders(Millis(110)));
    tell(&mut agent, second_message(), 120);
    assert!(agent.has_orders(Millis(120)));
    assert_eq!(
        started(&agent.respond_to_heartbeat(&open, Millis(120))),
        [(2, 1)]
    );
}

#[test]
fn a_stop_that_comes_meanwhile_is_an_order() {
    let mut agent = without_orders();
    let open = leave_open(&mut agent, beat_with_run(3), 100);
    tell(
        &mut agent,
        OwnerMessage {
            stop: vec![(task(2), 1)],
            ..message(2, "a", 5)
        },
        110,
    );
    assert!(
        !agent.has_orders(Millis(110)),
        "what does not run needs no stop"
    );
    tell(
        &mut agent,
        OwnerMessage {
            stop: vec![(task(1), 1)],
            ..message(3, "a", 5)
        },
        120,
    );
    assert!(agent.has_orders(Millis(120)));
    let answer = agent.respond_to_heartbeat(&open, Millis(120));
    assert_eq!(
        answer.stops,
        [StopOrder {
            task: task(1).to_string(),
            attempt: 1
        }]
    );
}

#[test]
fn a_message_without_orders_is_no_order() {
    let mut agent = without_orders();
    leave_open(&mut agent, beat_with_run(3), 100);
    tell(&mut agent, message(2, "a", 5), 110);
    assert!(!agent.has_orders(Millis(110)));
}

#[test]
fn a_draining_server_has_no_start_to_wait_for_but_stops() {
    let mut agent = without_orders();
    let mut draining = beat_with_run(3);
    draining.heartbeat.draining = true;
    let open = leave_open(&mut agent, draining, 100);
    tell(&mut agent, second_message(), 110);
    assert!(!agent.has_orders(Millis(110)));
    tell(
        &mut agent,
        OwnerMessage {
            stop: vec![(task(1), 1)],
            ..message(3, "a", 5)
        },
        120,
    );
    assert!(agent.has_orders(Millis(120)));
    let answer = agent.respond_to_heartbeat(&open, Millis(120));
    assert_eq!((started(&answer), answer.stops.len()), (vec![], 1));
}

#[test]
fn without_a_hold_there_is_no_start_to_wait_for() {
    let mut agent = ordered();
    leave_open(&mut agent, beat("a", 2), HOLD_END - LEASE_LEAST_MS);
    assert!(agent.has_orders(Millis(HOLD_END - LEASE_LEAST_MS)));
    assert!(!agent.has_orders(Millis(HOLD_END - LEASE_LEAST_MS + 1)));
}

#[test]
fn without_a_server_there_are_no_orders() {
    let mut agent = ordered();
    agent.deregister(beat("a", 1).facts.id);
    assert!(!agent.has_orders(Millis(110)));
}

#[test]
fn the_hold_of_an_open_answer_counts_from_the_arrival() {
    let mut agent = ordered();
    let open = leave_open(&mut agent, beat("a", 2), 100);
    assert_eq!(
        agent.respond_to_heartbeat(&open, Millis(400)).lease_ms,
        HOLD_END - 100
    );
}

#[test]
fn an_extension_that_comes_meanwhile_is_in_the_open_answer() {
    let mut agent = ordered();
    let open = leave_open(&mut agent, beat("a", 2), 100);
    let extension = OwnerMessage {
        lease_ms: 4_000,
        ..message(2, "a", 5)
    };
    tell(&mut agent, extension, 150);
    assert_eq!(
        agent.respond_to_heartbeat(&open, Millis(160)).lease_ms,
        11 + 4_000 - 100
    );
}

#[test]
fn orders_of_an_open_answer_are_seen_with_the_next_heartbeat() {
    let mut agent = without_orders();
    let open = leave_open(&mut agent, beat_with_run(3), 100);
    tell(&mut agent, second_message(), 120);
    // What was not answered is not seen.
    let before = agent.poll(Millis(125));
    assert!(
        reported(&before).is_none_or(|heartbeat| heartbeat.orders_seen < 2),
        "{before:?}"
    );
    agent.respond_to_heartbeat(&open, Millis(130));
    leave_open(&mut agent, beat_with_run(4), 200);
    let messages = agent.poll(Millis(200));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(2)
    );
}

#[test]
fn orders_that_come_after_the_answer_are_not_seen_with_the_next_heartbeat() {
    let mut agent = without_orders();
    let open = leave_open(&mut agent, beat_with_run(3), 100);
    agent.respond_to_heartbeat(&open, Millis(120));
    tell(&mut agent, second_message(), 130);
    let mut progressed = beat_with_run(4);
    progressed.heartbeat.running[0].percent = 50;
    let open = leave_open(&mut agent, progressed, 200);
    let messages = agent.poll(Millis(200));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(1)
    );
    assert_eq!(
        started(&agent.respond_to_heartbeat(&open, Millis(210))),
        [(2, 1)]
    );
}

#[test]
fn orders_of_an_answer_that_was_never_given_are_not_seen() {
    let mut agent = without_orders();
    tell(&mut agent, second_message(), 90);
    leave_open(&mut agent, beat_with_run(3), 100);
    let mut progressed = beat_with_run(4);
    progressed.heartbeat.running[0].percent = 50;
    leave_open(&mut agent, progressed, 200);
    let messages = agent.poll(Millis(200));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(1)
    );
}

#[test]
fn a_server_whose_answer_is_open_is_not_silent() {
    let mut agent = attached();
    leave_open(&mut agent, beat("a", 2), 100);
    agent.owner_connected(2);
    let messages = agent.poll(Millis(400));
    assert!(
        matches!(messages.as_slice(), [AgentMessage::Attach { .. }]),
        "{messages:?}"
    );
}

#[test]
fn the_next_heartbeat_is_expected_from_the_answer_on() {
    let mut agent = attached();
    let open = leave_open(&mut agent, beat("a", 2), 100);
    agent.respond_to_heartbeat(&open, Millis(400));
    agent.owner_connected(2);
    let messages = agent.poll(SILENT);
    assert!(
        matches!(messages.as_slice(), [AgentMessage::Attach { .. }]),
        "{messages:?}"
    );
}
