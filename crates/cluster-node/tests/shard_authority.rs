//! How long a process may act as the owner of shards without a new confirmation of the head.

use lupinrack_cluster_api::request::Reply;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::core::shard_authority::{ShardAuthority, AUTHORITY_MS};

const VIEW: u64 = 3;

#[test]
fn authority_counts_from_the_request_not_from_its_answer() {
    let mut authority = ShardAuthority::default();
    let reply_to = authority.begin_request(VIEW, Millis(10_000));
    reply_to.send(Reply::Done).expect("the answer is awaited");
    assert!(authority.poll(VIEW));
    assert_eq!(authority.until(), Millis(10_000 + AUTHORITY_MS));
}

#[test]
fn an_answer_that_takes_longer_than_the_interval_still_confirms() {
    let mut authority = ShardAuthority::default();
    let reply_to = authority.begin_request(VIEW, Millis(10_000));
    let due_within = |now: u64| authority.is_request_due(Millis(now));
    assert!(!(10_001..10_000 + AUTHORITY_MS).any(due_within));
    reply_to.send(Reply::Done).expect("the answer is awaited");
    assert!(authority.poll(VIEW));
    assert!(authority.is_request_due(Millis(10_700)));
}

#[test]
fn an_unanswered_request_is_repeated_once_its_authority_would_have_expired() {
    let mut authority = ShardAuthority::default();
    let _reply_to = authority.begin_request(VIEW, Millis(10_000));
    assert!(!authority.poll(VIEW));
    assert!(authority.is_request_due(Millis(10_000 + AUTHORITY_MS)));
}

#[test]
fn a_dropped_request_is_repeated_after_the_interval() {
    let mut authority = ShardAuthority::default();
    drop(authority.begin_request(VIEW, Millis(10_000)));
    assert!(!authority.poll(VIEW));
    assert!(authority.is_request_due(Millis(10_300)));
}

#[test]
fn an_answer_about_an_earlier_view_gives_no_authority() {
    let mut authority = ShardAuthority::default();
    let reply_to = authority.begin_request(VIEW, Millis(10_000));
    reply_to.send(Reply::Done).expect("the answer is awaited");
    assert!(!authority.poll(VIEW + 1));
    assert_eq!(authority.until(), Millis(0));
}
