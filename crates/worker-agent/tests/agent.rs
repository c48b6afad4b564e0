//! Orders, leases and sessions of the agent, one rule per test.

mod support;

use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::identity::FencingToken;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::UnknownRun;
use lupinrack_worker_agent::ATTACH_RETRY_MS;
use lupinrack_worker_agent::MAX_START_BYTES;
use lupinrack_worker_agent::MIN_LEASE_MS;
use lupinrack_worker_agent::{Agent, HeartbeatResponse, OwnerMessageError, StopOrder};
use support::{
    assignment, attached, finished, first_message, heartbeat_of, message, ordered, running,
    settings, started, task, AnswerAtOnce, CONNECTION,
};

#[test]
fn a_heartbeat_without_an_owner_is_answered_at_once() {
    let mut agent = Agent::new(settings());
    let response = agent.heartbeat(heartbeat_of("a", 1), Millis(10));
    let expected = HeartbeatResponse {
        heartbeat_after_ms: settings().idle_heartbeat_ms,
        ..HeartbeatResponse::default()
    };
    assert_eq!(response, expected);
    assert!(agent.poll(Millis(11)).is_empty());
    assert_eq!(agent.next_poll(), None);
}

#[test]
fn a_start_is_repeated_until_the_run_is_listed() {
    let mut agent = ordered();
    for sequence in 2..5 {
        let response = agent.heartbeat(heartbeat_of("a", sequence), Millis(100 * sequence));
        assert_eq!(started(&response), [(1, 1)]);
        assert_eq!(
            (response.token, response.heartbeat_after_ms),
            (FencingToken(5), settings().busy_heartbeat_ms)
        );
    }
    let mut listed = heartbeat_of("a", 5);
    listed.heartbeat.running = vec![running(1, 1)];
    let response = agent.heartbeat(listed, Millis(500));
    assert!(response.starts.is_empty() && response.stops.is_empty());
    assert_eq!(response.lease_ms, 3011 - 500);
}

#[test]
fn an_ended_run_is_not_started_again_after_it_was_observed() {
    let mut agent = ordered();
    let mut ended = heartbeat_of("a", 2);
    ended.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Done)];
    assert!(agent.heartbeat(ended, Millis(100)).starts.is_empty());
    let observation = OwnerMessage {
        observed: 1,
        assign: vec![assignment(1, 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, observation), Ok(()));
    let response = agent.heartbeat(heartbeat_of("a", 3), Millis(120));
    assert_eq!((started(&response), response.observed), (vec![], 1));
}

#[test]
fn a_response_after_the_grant_holds_no_lease_and_no_start() {
    let mut agent = ordered();
    let end = 3011;
    let response = agent.heartbeat(heartbeat_of("a", 2), Millis(end - MIN_LEASE_MS));
    assert_eq!(
        (response.lease_ms, response.starts.len()),
        (MIN_LEASE_MS, 1)
    );
    let response = agent.heartbeat(heartbeat_of("a", 3), Millis(end - MIN_LEASE_MS + 1));
    assert_eq!((response.lease_ms, response.starts.len()), (0, 0));
}

#[test]
fn a_lease_is_limited_to_the_longest_that_servers_accept() {
    let mut agent = attached();
    let long_lease = OwnerMessage {
        lease_ms: 60_000,
        ..first_message()
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, long_lease), Ok(()));
    assert_eq!(
        agent.heartbeat(heartbeat_of("a", 2), Millis(30)).lease_ms,
        settings().lease_max_ms
    );
}

#[test]
fn a_lease_with_a_start_in_the_future_counts_from_the_last_sent_message() {
    let mut agent = attached();
    let future_lease = OwnerMessage {
        lease_from: Millis(9_000),
        ..first_message()
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, future_lease),
        Ok(())
    );
    assert_eq!(
        agent.heartbeat(heartbeat_of("a", 2), Millis(1011)).lease_ms,
        2_000
    );
}

#[test]
fn a_stop_is_repeated_while_the_run_is_listed_and_forbids_its_start() {
    let mut agent = ordered();
    let stop = OwnerMessage {
        stop: vec![(task(1), 1)],
        assign: vec![assignment(2, 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, stop), Ok(()));
    for sequence in 2..4 {
        let mut listed = heartbeat_of("a", sequence);
        listed.heartbeat.running = vec![running(1, 1), running(2, 1)];
        let response = agent.heartbeat(listed, Millis(50 * sequence));
        assert_eq!(
            response.stops,
            [StopOrder {
                task: task(1).to_string(),
                attempt: 1
            }]
        );
    }
    let repeated_assignment = OwnerMessage {
        assign: vec![assignment(1, 1)],
        ..message(3, "a", 5)
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, repeated_assignment),
        Ok(())
    );
    assert_eq!(
        started(&agent.heartbeat(heartbeat_of("a", 4), Millis(220))),
        [(2, 1)]
    );
}

#[test]
fn an_older_attempt_is_stopped_before_the_newer_one_starts() {
    let mut agent = attached();
    let newer = OwnerMessage {
        assign: vec![assignment(1, 2)],
        ..first_message()
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, newer), Ok(()));
    let mut listed = heartbeat_of("a", 2);
    listed.heartbeat.running = vec![running(1, 1)];
    let response = agent.heartbeat(listed, Millis(30));
    assert_eq!(
        response.stops,
        [StopOrder {
            task: task(1).to_string(),
            attempt: 1
        }]
    );
    assert!(response.starts.is_empty());
    assert_eq!(
        started(&agent.heartbeat(heartbeat_of("a", 3), Millis(40))),
        [(1, 2)]
    );
}

#[test]
fn runs_with_task_names_of_other_systems_are_stopped() {
    let mut agent = attached();
    let mut listed = heartbeat_of("a", 2);
    listed.unknown_runs = vec![UnknownRun {
        task: "other".into(),
        attempt: 4,
    }];
    let response = agent.heartbeat(listed, Millis(30));
    assert_eq!(
        response.stops,
        [StopOrder {
            task: "other".into(),
            attempt: 4
        }]
    );
}

#[test]
fn a_draining_server_starts_nothing() {
    let mut agent = ordered();
    let mut draining = heartbeat_of("a", 2);
    draining.heartbeat.draining = true;
    assert!(agent.heartbeat(draining, Millis(30)).starts.is_empty());
    let response = agent.heartbeat(heartbeat_of("a", 3), Millis(40));
    assert!(response.starts.is_empty() && response.lease_ms > 0);
}

#[test]
fn starts_that_are_too_large_for_one_response_are_split_over_several() {
    let mut agent = attached();
    let mut first = first_message();
    first.assign = (0..3).map(|index| assignment(index, 1)).collect();
    for start in &mut first.assign {
        start.spec = "x".repeat(MAX_START_BYTES / 2);
    }
    assert_eq!(agent.receive_owner_message(CONNECTION, first), Ok(()));
    assert_eq!(
        started(&agent.heartbeat(heartbeat_of("a", 2), Millis(30))),
        [(0, 1), (1, 1)]
    );
    let mut listed = heartbeat_of("a", 3);
    listed.heartbeat.running = vec![running(0, 1), running(1, 1)];
    assert_eq!(started(&agent.heartbeat(listed, Millis(40))), [(2, 1)]);
}

#[test]
fn orders_under_a_lower_token_are_rejected_in_any_session() {
    let mut agent = ordered();
    agent.owner_connected(2);
    assert!(
        matches!(agent.poll(Millis(40)).as_slice(), [AgentMessage::Attach { token, .. }] if token.0 == 5)
    );
    let lower = OwnerMessage {
        complete: true,
        lease_from: Millis(40),
        ..message(1, "a", 4)
    };
    assert_eq!(
        agent.receive_owner_message(2, lower),
        Err(OwnerMessageError::LowerToken)
    );
    assert_eq!(
        started(&agent.heartbeat(heartbeat_of("a", 2), Millis(60))),
        [(1, 1)]
    );
}

#[test]
fn the_first_message_of_a_higher_token_replaces_all_orders() {
    let mut agent = ordered();
    agent.owner_connected(2);
    agent.poll(Millis(40));
    let complete = OwnerMessage {
        complete: true,
        lease_from: Millis(40),
        lease_ms: 1_000,
        assign: vec![assignment(9, 1)],
        ..message(1, "a", 6)
    };
    assert_eq!(agent.receive_owner_message(2, complete), Ok(()));
    let response = agent.heartbeat(heartbeat_of("a", 2), Millis(60));
    assert_eq!(
        (started(&response), response.token),
        (vec![(9, 1)], FencingToken(6))
    );
    assert_eq!(response.lease_ms, 980);
}

#[test]
fn orders_stay_when_the_owner_disconnects() {
    let mut agent = ordered();
    agent.owner_disconnected(CONNECTION);
    let response = agent.heartbeat(heartbeat_of("a", 2), Millis(60));
    assert_eq!(
        (started(&response), response.lease_ms),
        (vec![(1, 1)], 3011 - 60)
    );
    assert!(agent.poll(Millis(1_000)).is_empty());
    let late_message = OwnerMessage {
        stop: vec![(task(1), 1)],
        ..message(2, "a", 5)
    };
    let rejected = agent.receive_owner_message(CONNECTION, late_message);
    assert_eq!(rejected, Err(OwnerMessageError::OtherConnection));
}

#[test]
fn a_missing_message_restarts_the_session() {
    let mut agent = ordered();
    let third = OwnerMessage {
        assign: vec![assignment(3, 1)],
        ..message(3, "a", 5)
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, third),
        Err(OwnerMessageError::Gap)
    );
    assert!(matches!(
        agent.poll(Millis(31)).as_slice(),
        [AgentMessage::Attach { .. }]
    ));
    let second = message(2, "a", 5);
    assert_eq!(
        agent.receive_owner_message(CONNECTION, second),
        Err(OwnerMessageError::EarlierSession)
    );
}

#[test]
fn a_repeated_message_is_rejected() {
    let mut agent = ordered();
    assert_eq!(
        agent.receive_owner_message(CONNECTION, message(1, "a", 5)),
        Err(OwnerMessageError::Repeated)
    );
}

#[test]
fn a_response_to_an_earlier_attach_is_rejected() {
    let mut agent = attached();
    agent.heartbeat(heartbeat_of("a", 2), Millis(ATTACH_RETRY_MS));
    let attach_again_at = Millis(11 + ATTACH_RETRY_MS);
    assert!(matches!(
        agent.poll(attach_again_at).as_slice(),
        [AgentMessage::Attach { .. }]
    ));
    let rejected = agent.receive_owner_message(CONNECTION, first_message());
    assert_eq!(rejected, Err(OwnerMessageError::EarlierSession));
    let second_response = OwnerMessage {
        lease_from: attach_again_at,
        ..first_message()
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, second_response),
        Ok(())
    );
}

#[test]
fn unobserved_ends_shorten_the_heartbeat_interval() {
    let mut agent = ordered();
    let mut ended = heartbeat_of("a", 2);
    ended.heartbeat.finished = vec![finished(1, 1, 1, RunEnd::Failed)];
    assert_eq!(
        agent.heartbeat(ended, Millis(100)).heartbeat_after_ms,
        settings().busy_heartbeat_ms
    );
    let observation = OwnerMessage {
        observed: 1,
        heartbeat_after_ms: 300,
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(CONNECTION, observation), Ok(()));
    assert_eq!(
        agent
            .heartbeat(heartbeat_of("a", 3), Millis(120))
            .heartbeat_after_ms,
        300
    );
}

#[test]
fn a_session_starts_with_a_complete_message() {
    let mut agent = attached();
    let changes = OwnerMessage {
        complete: false,
        ..first_message()
    };
    assert_eq!(
        agent.receive_owner_message(CONNECTION, changes),
        Err(OwnerMessageError::EarlierSession)
    );
    assert!(agent
        .heartbeat(heartbeat_of("a", 2), Millis(30))
        .starts
        .is_empty());
}

#[test]
fn a_message_of_an_earlier_session_is_rejected_even_if_its_number_is_next() {
    let mut agent = ordered();
    agent.owner_connected(2);
    agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    agent.poll(Millis(101));
    let complete = OwnerMessage {
        lease_from: Millis(101),
        ..first_message()
    };
    assert_eq!(agent.receive_owner_message(2, complete), Ok(()));
    // The owner sent it in the first session; the driver cannot tell and delivers it on the second connection.
    let late_message = OwnerMessage {
        stop: vec![(task(1), 1)],
        ..message(2, "a", 5)
    };
    assert_eq!(
        agent.receive_owner_message(2, late_message),
        Err(OwnerMessageError::EarlierSession)
    );
    let next = OwnerMessage {
        lease_from: Millis(101),
        ..message(2, "a", 5)
    };
    assert_eq!(agent.receive_owner_message(2, next), Ok(()));
}
