//! Incarnations of a server: which heartbeats are accepted, and which orders stay when the incarnation changes.

mod support;

use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::{
    Agent, HeartbeatResponse, OwnerMessageError, ServerHeartbeat, MAX_HEARTBEAT_DELAY_MS,
};
use support::{
    assignment, finished, heartbeat_of, message, ordered, reported, running, settings, started,
    task, AnswerAtOnce, CONNECTION, OVERDUE,
};

/// The current incarnation is overdue, and heartbeats of an earlier one would have arrived by now.
const OVERDUE_FOR_LONG: Millis = Millis(OVERDUE.0 + MAX_HEARTBEAT_DELAY_MS);

/// The identity of the current incarnation.
fn current(agent: &Agent) -> Option<&str> {
    agent.server().map(|facts| facts.id.0.as_str())
}

/// Lets server "a" report that it drains, and then deregister.
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
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE_FOR_LONG);
    agent.heartbeat(heartbeat_of("b", 2), OVERDUE_FOR_LONG);
    assert_eq!(
        agent.heartbeat(heartbeat_of("a", 5), OVERDUE_FOR_LONG),
        HeartbeatResponse::default()
    );
    assert!(agent
        .heartbeat(heartbeat_of("a", 6), OVERDUE_FOR_LONG)
        .starts
        .is_empty());
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

#[test]
fn a_new_incarnation_starts_with_an_attach_and_no_orders() {
    let mut agent = ordered();
    for sequence in 1..3 {
        let response = agent.heartbeat(heartbeat_of("b", sequence), OVERDUE_FOR_LONG);
        assert_eq!((started(&response), response.lease_ms), (vec![], 0));
    }
    let late_message = OwnerMessage {
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, late_message),
        Err(OwnerMessageError::OtherIncarnation)
    );
    let messages = agent.poll(OVERDUE_FOR_LONG);
    assert!(
        matches!(messages.as_slice(), [AgentMessage::Attach { facts, .. }] if facts.id.0 == "b")
    );
}

#[test]
fn a_late_heartbeat_of_a_dead_incarnation_does_not_replace_the_running_one() {
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
fn a_new_incarnation_is_accepted_with_its_second_heartbeat_while_the_current_one_is_overdue() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    for sequence in 1..4 {
        let response = agent.heartbeat(heartbeat_of("b", sequence), Millis(100 + sequence));
        assert_eq!(response.heartbeat_after_ms, settings().busy_heartbeat_ms);
        assert_eq!(
            agent.server().map(|facts| &facts.id),
            Some(&ServerId("a".into()))
        );
    }
    agent.heartbeat(heartbeat_of("b", 4), OVERDUE_FOR_LONG);
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

/// Guards against tasks that run twice, since late heartbeats of a crashed incarnation were taken for a later one.
#[test]
fn late_heartbeats_of_a_dead_incarnation_do_not_replace_one_that_began_lately() {
    let mut agent = ordered();
    let response = agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    let held_until = 100 + response.lease_ms;
    for (sequence, at) in (1..).zip((OVERDUE.0..held_until).step_by(100)) {
        agent.heartbeat(heartbeat_of("dead", sequence), Millis(at));
        assert_eq!(current(&agent), Some("a"), "at {at} ms");
    }
    let again = agent.heartbeat(heartbeat_of("a", 3), Millis(held_until - 200));
    assert_eq!(started(&again), [(1, 1)]);
}

#[test]
fn another_incarnation_is_accepted_once_the_lease_of_the_current_one_is_over() {
    let mut agent = ordered();
    let response = agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    let held_until = 100 + response.lease_ms + response.lease_ms / 50;
    assert!(held_until < MAX_HEARTBEAT_DELAY_MS);
    agent.heartbeat(heartbeat_of("b", 1), Millis(held_until - 2));
    agent.heartbeat(heartbeat_of("b", 2), Millis(held_until - 1));
    assert_eq!(current(&agent), Some("a"));
    agent.heartbeat(heartbeat_of("b", 3), Millis(held_until));
    assert_eq!(current(&agent), Some("b"));
}

#[test]
fn the_first_heartbeat_of_a_new_incarnation_is_not_accepted_however_overdue_the_current_one_is() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE.plus(60_000));
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("a".into()))
    );
}

#[test]
fn a_new_incarnation_is_accepted_at_once_after_the_current_one_deregistered() {
    let mut agent = ordered();
    drain_and_deregister(&mut agent);
    agent.heartbeat(heartbeat_of("b", 1), Millis(110));
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

#[test]
fn a_replaced_incarnation_returns_with_further_heartbeats() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE_FOR_LONG);
    agent.heartbeat(heartbeat_of("b", 2), OVERDUE_FOR_LONG);
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
    let later = OVERDUE_FOR_LONG.plus(2_000);
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
    let deregister = AgentMessage::Deregister {
        server: ServerId("a".into()),
    };
    assert_eq!(agent.poll(Millis(101)), std::slice::from_ref(&deregister));
    agent.deregister(ServerId("a".into()));
    assert!(agent.poll(Millis(111)).is_empty());
    assert_eq!(
        agent.heartbeat(heartbeat_of("a", 3), Millis(120)),
        HeartbeatResponse::default()
    );
    agent.owner_connected(2);
    assert_eq!(agent.poll(Millis(130)), [deregister]);
}

#[test]
fn stops_of_one_incarnation_do_not_reach_the_next() {
    let mut agent = ordered();
    let stop = OwnerMessage {
        stop: vec![(task(1), 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, stop), Ok(()));
    agent.heartbeat(heartbeat_of("b", 1), OVERDUE_FOR_LONG);
    let mut listed = heartbeat_of("b", 2);
    listed.heartbeat.running = vec![running(1, 1)];
    assert!(agent.heartbeat(listed, OVERDUE_FOR_LONG).stops.is_empty());
    assert_eq!(
        agent.server().map(|facts| &facts.id),
        Some(&ServerId("b".into()))
    );
}

/// A heartbeat of server "a" that lists a run of task 1.
fn heartbeat_with_run(sequence: u64) -> ServerHeartbeat {
    let mut listed = heartbeat_of("a", sequence);
    listed.heartbeat.running = vec![running(1, 1)];
    listed
}

#[test]
fn a_server_that_deregisters_without_having_drained_keeps_its_runs_and_gets_no_starts() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_with_run(2), Millis(100));
    agent.poll(Millis(101));
    agent.deregister(ServerId("a".into()));
    let messages = agent.poll(Millis(111));
    assert!(
        messages
            .iter()
            .all(|message| !matches!(message, AgentMessage::Deregister { .. })),
        "the server still serves: {messages:?}"
    );
    let report = reported(&messages).expect("the owner is notified immediately");
    assert!(report.draining);
    assert_eq!(report.running, [running(1, 1)]);
    let second = OwnerMessage {
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, second), Ok(()));
    let response = agent.heartbeat(heartbeat_with_run(3), Millis(120));
    assert!(
        response.starts.is_empty(),
        "a start for a server that has deregistered"
    );
    assert!(response.lease_ms > 0, "running tasks keep their lease");
}

#[test]
fn a_server_that_deregisters_first_is_reported_until_it_is_overdue() {
    let mut agent = ordered();
    agent.deregister(ServerId("a".into()));
    agent.heartbeat(heartbeat_with_run(2), Millis(100));
    agent.poll(Millis(101));
    // The server repeats the call if the response was lost.
    agent.deregister(ServerId("a".into()));
    let mut ended = heartbeat_of("a", 3);
    ended.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    agent.heartbeat(ended, Millis(120));
    let messages = agent.poll(Millis(121));
    let report = reported(&messages).expect("the end is reported");
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
fn a_late_heartbeat_does_not_revert_newer_state() {
    let mut agent = ordered();
    let mut newest = heartbeat_of("a", 9);
    newest.heartbeat.draining = true;
    newest.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    agent.heartbeat(newest, Millis(100));
    agent.poll(Millis(101));
    // The server sent it before the run ended and before it started to drain.
    assert_eq!(
        agent.heartbeat(heartbeat_with_run(8), Millis(110)),
        HeartbeatResponse::default()
    );
    assert!(
        reported(&agent.poll(Millis(111))).is_none(),
        "the late heartbeat was forwarded"
    );
    let response = agent.heartbeat(heartbeat_of("a", 10), Millis(120));
    assert!(
        response.starts.is_empty(),
        "a start on a draining server, of a run that has ended"
    );
}

#[test]
fn a_restarted_agent_assumes_that_a_deregistered_server_still_serves() {
    let mut agent = Agent::new(settings());
    agent.owner_connected(CONNECTION);
    agent.deregister(ServerId("a".into()));
    assert!(
        agent.poll(Millis(6)).is_empty(),
        "the server may still serve"
    );
    agent.heartbeat(heartbeat_with_run(2), Millis(10));
    let messages = agent.poll(Millis(11));
    let [AgentMessage::Attach { heartbeat, .. }] = messages.as_slice() else {
        panic!("an attach: {messages:?}")
    };
    assert!(heartbeat.draining);
    assert_eq!(heartbeat.running, [running(1, 1)]);
}
