//! Incarnations of a server: which heartbeats count, and what becomes of orders.

mod support;

use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::{Agent, HeartbeatResponse, OwnerMessageError, ServerHeartbeat};
use support::{
    assignment, finished, heartbeat_of, message, ordered, reported, running, settings, started,
    task, AnswerAtOnce, CONNECTION, OVERDUE,
};

/// Server "a" starts draining, and then deregisters.
fn drain_and_deregister(agent: &mut Agent) {
    let mut draining = heartbeat_of("a", 2);
    draining.heartbeat.draining = true;
    agent.heartbeat(draining, Millis(90));
    agent.poll(Millis(91));
    agent.deregister(ServerId("a".into()));
}

#[test]
fn late_repeated_and_old_heartbeats_get_no_orders() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 5), Millis(100));
    for sequence in [5, 4, 1] {
        assert_eq!(
            agent.heartbeat(heartbeat_of("a", sequence), Millis(110)),
            HeartbeatResponse::default()
        );
    }
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE);
    agent.heartbeat(heartbeat_of("b", 2), OVERDUE);
    assert_eq!(
        agent.heartbeat(heartbeat_of("a", 5), OVERDUE),
        HeartbeatResponse::default()
    );
    assert!(agent
        .heartbeat(heartbeat_of("a", 6), OVERDUE)
        .starts
        .is_empty());
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

#[test]
fn a_new_incarnation_begins_with_a_new_attach_and_no_orders() {
    let mut agent = ordered();
    for sequence in 1..3 {
        let answer = agent.heartbeat(heartbeat_of("b", sequence), OVERDUE);
        assert_eq!((started(&answer), answer.lease_ms), (vec![], 0));
    }
    let late = OwnerMessage {
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, late),
        Err(OwnerMessageError::OtherIncarnation)
    );
    let messages = agent.poll(OVERDUE);
    assert!(
        matches!(messages.as_slice(), [AgentMessage::Attach { facts, .. }] if facts.id.0 == "b")
    );
}

#[test]
fn a_dead_incarnation_that_shows_up_late_does_not_replace_the_living() {
    let mut agent = ordered();
    let unconfirmed = agent.heartbeat(heartbeat_of("dead", 1), Millis(100));
    let expected = HeartbeatResponse {
        heartbeat_after_ms: settings().busy_heartbeat_ms,
        ..HeartbeatResponse::default()
    };
    assert_eq!(unconfirmed, expected);
    assert_eq!(
        started(&agent.heartbeat(heartbeat_of("a", 2), Millis(110))),
        [(1, 1)]
    );
    assert_eq!(
        agent.heartbeat(heartbeat_of("dead", 2), Millis(120)),
        expected
    );
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("a".into()))
    );
}

#[test]
fn a_new_incarnation_counts_after_a_second_heartbeat_while_the_other_is_overdue() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    for sequence in 1..4 {
        let answer = agent.heartbeat(heartbeat_of("b", sequence), Millis(100 + sequence));
        assert_eq!(answer.heartbeat_after_ms, settings().busy_heartbeat_ms);
        assert_eq!(
            agent.server().map(|facts| &facts.id),
            Some(&ServerId("a".into()))
        );
    }
    agent.heartbeat(heartbeat_of("b", 4), OVERDUE);
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

#[test]
fn the_first_heartbeat_of_a_new_incarnation_is_not_enough_however_overdue_the_other_is() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE.plus(60_000));
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("a".into()))
    );
}

#[test]
fn a_new_incarnation_counts_at_once_after_the_other_deregistered() {
    let mut agent = ordered();
    drain_and_deregister(&mut agent);
    agent.heartbeat(heartbeat_of("b", 1), Millis(110));
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

#[test]
fn an_incarnation_that_seemed_over_comes_back_by_further_heartbeats() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE);
    agent.heartbeat(heartbeat_of("b", 2), OVERDUE);
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
    let later = OVERDUE.plus(2_000);
    agent.heartbeat(heartbeat_of("a", 2), later);
    agent.heartbeat(heartbeat_of("a", 3), later);
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("a".into()))
    );
}

#[test]
fn a_deregistration_is_reported_to_this_and_to_each_later_owner() {
    let mut agent = ordered();
    drain_and_deregister(&mut agent);
    let leave = AgentMessage::Deregister {
        server: ServerId("a".into()),
    };
    assert_eq!(agent.poll(Millis(101)), std::slice::from_ref(&leave));
    agent.deregister(ServerId("a".into()));
    assert!(agent.poll(Millis(111)).is_empty());
    assert_eq!(
        agent.heartbeat(heartbeat_of("a", 3), Millis(120)),
        HeartbeatResponse::default()
    );
    agent.owner_connected(2);
    assert_eq!(agent.poll(Millis(130)), [leave]);
}

#[test]
fn stops_of_one_incarnation_do_not_reach_the_next() {
    let mut agent = ordered();
    let stop = OwnerMessage {
        stop: vec![(task(1), 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, stop), Ok(()));
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE);
    let mut listed = heartbeat_of("b", 2);
    listed.heartbeat.running = vec![running(1, 1)];
    assert!(agent.heartbeat(listed, OVERDUE).stops.is_empty());
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

/// A heartbeat of "a" on which task 1 runs.
fn heartbeat_with_run(sequence: u64) -> ServerHeartbeat {
    let mut listed = heartbeat_of("a", sequence);
    listed.heartbeat.running = vec![running(1, 1)];
    listed
}

#[test]
fn a_server_that_deregisters_without_having_drained_keeps_its_runs_and_gets_no_more() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_with_run(2), Millis(100));
    agent.poll(Millis(101));
    agent.deregister(ServerId("a".into()));
    let notified = agent.poll(Millis(111));
    assert!(
        notified
            .iter()
            .all(|message| !matches!(message, AgentMessage::Deregister { .. })),
        "it serves on: {notified:?}"
    );
    let report = reported(&notified).expect("the owner is notified at once");
    assert!(report.draining);
    assert_eq!(report.running, [running(1, 1)]);
    let second = OwnerMessage {
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, second), Ok(()));
    let answer = agent.heartbeat(heartbeat_with_run(3), Millis(120));
    assert!(
        answer.starts.is_empty(),
        "nothing starts on a server that has deregistered"
    );
    assert!(answer.lease_ms > 0, "what runs keeps its lease");
}

#[test]
fn a_server_that_deregisters_first_is_reported_until_it_is_overdue() {
    let mut agent = ordered();
    agent.deregister(ServerId("a".into()));
    agent.heartbeat(heartbeat_with_run(2), Millis(100));
    agent.poll(Millis(101));
    // The call is sent again where its answer was lost.
    agent.deregister(ServerId("a".into()));
    let mut ended = heartbeat_of("a", 3);
    ended.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    agent.heartbeat(ended, Millis(120));
    let notified = agent.poll(Millis(121));
    let report = reported(&notified).expect("the end is reported");
    assert!(report.draining);
    assert_eq!(report.finished, [finished(1, 1, 1, RunEnd::Done)]);
}

#[test]
fn a_heartbeat_after_the_deregistration_of_a_drained_server_does_not_bring_it_back() {
    let mut agent = ordered();
    drain_and_deregister(&mut agent);
    agent.poll(Millis(101));
    assert_eq!(
        agent.heartbeat(heartbeat_with_run(3), Millis(3_000)),
        HeartbeatResponse::default()
    );
    assert_eq!(agent.server(), None);
    assert!(agent.poll(Millis(3_001)).is_empty());
}

#[test]
fn a_late_heartbeat_takes_back_nothing() {
    let mut agent = ordered();
    let mut newest = heartbeat_of("a", 9);
    newest.heartbeat.draining = true;
    newest.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    agent.heartbeat(newest, Millis(100));
    agent.poll(Millis(101));
    // Sent before the run had ended and the draining began.
    assert_eq!(
        agent.heartbeat(heartbeat_with_run(8), Millis(110)),
        HeartbeatResponse::default()
    );
    assert!(
        reported(&agent.poll(Millis(111))).is_none(),
        "a late one is not passed on"
    );
    let answer = agent.heartbeat(heartbeat_of("a", 10), Millis(120));
    assert!(
        answer.starts.is_empty(),
        "it is draining, and the run has ended"
    );
}

#[test]
fn a_restarted_agent_takes_a_deregistration_for_one_of_a_server_that_serves_on() {
    let mut agent = Agent::new(settings());
    agent.owner_connected(CONNECTION);
    agent.deregister(ServerId("a".into()));
    assert!(
        agent.poll(Millis(6)).is_empty(),
        "nobody knows that it is over"
    );
    agent.heartbeat(heartbeat_with_run(2), Millis(10));
    let notified = agent.poll(Millis(11));
    let [AgentMessage::Attach { heartbeat, .. }] = notified.as_slice() else {
        panic!("an attach: {notified:?}")
    };
    assert!(heartbeat.draining);
    assert_eq!(heartbeat.running, [running(1, 1)]);
}
