//! The agent's reports to the owner: their content, and when they are sent.

mod support;

use lupinrack_cluster_api::agent::AgentMessage;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::{HEARTBEAT_GRACE_MS, MAX_LISTED_ENDS};
use lupinrack_worker_agent::{PROGRESS_INTERVAL_MS, REPORT_INTERVAL_MS};
use support::{finished, heartbeat_of, ordered, reported, running, started, AnswerAtOnce, OVERDUE};

#[test]
fn no_run_starts_while_the_list_of_ends_may_be_cut_off() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(30));
    let mut cut_off = heartbeat_of("a", 3);
    cut_off.heartbeat.finished = (0..MAX_LISTED_ENDS as u32)
        .map(|n| finished(u64::from(n) + 1, 100 + n, 1, RunEnd::Done))
        .collect();
    cut_off.ends_listed = MAX_LISTED_ENDS;
    assert!(agent.heartbeat(cut_off, Millis(40)).starts.is_empty());
    assert_eq!(
        reported(&agent.poll(Millis(41))).map(|heartbeat| heartbeat.orders_seen),
        Some(0)
    );
}

#[test]
fn orders_count_as_seen_one_heartbeat_after_their_response() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    assert_eq!(reported(&agent.poll(Millis(101))), None);
    agent.heartbeat(heartbeat_of("a", 3), Millis(200));
    assert_eq!(
        reported(&agent.poll(Millis(201))).map(|heartbeat| heartbeat.orders_seen),
        Some(1)
    );
}

#[test]
fn withheld_starts_do_not_count_as_seen() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(3_500));
    agent.heartbeat(heartbeat_of("a", 3), Millis(3_600));
    let messages = agent.poll(Millis(3_601));
    assert_eq!(
        reported(&messages).map(|heartbeat| heartbeat.orders_seen),
        Some(0)
    );
}

#[test]
fn unchanged_heartbeats_are_not_forwarded() {
    let mut agent = ordered();
    let mut listed = heartbeat_of("a", 2);
    listed.heartbeat.running = vec![running(1, 1)];
    agent.heartbeat(listed.clone(), Millis(100));
    assert!(reported(&agent.poll(Millis(100))).is_some());
    listed.heartbeat.sequence = 3;
    agent.heartbeat(listed.clone(), Millis(200));
    assert!(
        reported(&agent.poll(Millis(200))).is_some(),
        "a response with the start was sent since"
    );
    listed.heartbeat.sequence = 4;
    agent.heartbeat(listed, Millis(300));
    assert!(agent.poll(Millis(300)).is_empty());
    assert_eq!(agent.next_poll(), Some(Millis(200 + REPORT_INTERVAL_MS)));
    let messages = agent.poll(Millis(200 + REPORT_INTERVAL_MS));
    assert!(matches!(
        messages.as_slice(),
        [AgentMessage::Report {
            heartbeat: None,
            ..
        }]
    ));
}

#[test]
fn progress_is_forwarded_at_intervals_and_checkpoints_at_once() {
    let mut agent = ordered();
    let mut listed = heartbeat_of("a", 2);
    listed.heartbeat.running = vec![running(1, 1)];
    agent.heartbeat(listed.clone(), Millis(100));
    agent.poll(Millis(100));
    listed.heartbeat.sequence = 3;
    agent.heartbeat(listed.clone(), Millis(150));
    agent.poll(Millis(150));
    listed.heartbeat.sequence = 4;
    listed.heartbeat.running[0].percent = 50;
    agent.heartbeat(listed.clone(), Millis(400));
    assert_eq!(reported(&agent.poll(Millis(400))), None);
    assert!(reported(&agent.poll(Millis(150 + PROGRESS_INTERVAL_MS))).is_some());
    listed.heartbeat.sequence = 5;
    listed.heartbeat.running[0].checkpoint = "0f".into();
    agent.heartbeat(listed, Millis(700));
    assert!(reported(&agent.poll(Millis(700))).is_some());
}

#[test]
fn an_overdue_server_is_not_reported() {
    let mut agent = ordered();
    let response = agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    let overdue_at = 100 + response.heartbeat_after_ms + HEARTBEAT_GRACE_MS;
    assert!(!agent.poll(Millis(overdue_at)).is_empty());
    assert!(agent
        .poll(Millis(overdue_at + REPORT_INTERVAL_MS))
        .is_empty());
    assert_eq!(agent.next_poll(), None);
    agent.heartbeat(heartbeat_of("a", 3), Millis(5_000));
    assert!(!agent.poll(Millis(5_000)).is_empty());
}

#[test]
fn changed_facts_are_sent_by_a_new_attach() {
    let mut agent = ordered();
    let mut changed = heartbeat_of("a", 2);
    changed.facts.capacity.cpu += 1;
    assert_eq!(started(&agent.heartbeat(changed, Millis(100))), [(1, 1)]);
    assert!(matches!(
        agent.poll(Millis(101)).as_slice(),
        [AgentMessage::Attach { .. }]
    ));
}

#[test]
fn message_numbers_of_one_session_are_not_reported_in_the_next() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    agent.heartbeat(heartbeat_of("a", 3), Millis(200));
    assert_eq!(
        reported(&agent.poll(Millis(201))).map(|heartbeat| heartbeat.orders_seen),
        Some(1)
    );
    agent.owner_connected(2);
    let messages = agent.poll(Millis(210));
    assert!(
        matches!(&messages[..], [AgentMessage::Attach { heartbeat, .. }] if heartbeat.orders_seen == 0)
    );
}

#[test]
fn an_overdue_server_is_not_attached() {
    let mut agent = ordered();
    agent.heartbeat(heartbeat_of("a", 2), Millis(100));
    agent.owner_connected(2);
    assert!(agent.poll(OVERDUE).is_empty());
    agent.heartbeat(heartbeat_of("a", 3), OVERDUE);
    assert!(matches!(
        agent.poll(OVERDUE).as_slice(),
        [AgentMessage::Attach { .. }]
    ));
}
