//! The table of subscribers.

use lupinrack_cluster_api::frame::Interest;
use lupinrack_cluster_node::subscribers::Subscribers;

const HAS_5: Interest = Interest::Configuration { have: 5 };
const HAS_6: Interest = Interest::Configuration { have: 6 };

#[test]
fn a_new_subscriber_has_been_sent_no_view() {
    let mut subscribers = Subscribers::default();
    let subscriber = subscribers.subscribe(1, HAS_5);
    assert_eq!((subscriber.interest, subscriber.sent_view), (HAS_5, 0));
}

#[test]
fn the_sent_view_is_kept_while_the_connection_is_open() {
    let mut subscribers = Subscribers::default();
    subscribers.subscribe(1, HAS_5).sent_view = 3;
    let subscriber = subscribers.subscribe(1, HAS_6);
    assert_eq!((subscriber.interest, subscriber.sent_view), (HAS_6, 3));
}

#[test]
fn a_new_connection_has_been_sent_no_view() {
    let mut subscribers = Subscribers::default();
    subscribers.subscribe(1, HAS_5).sent_view = 3;
    subscribers.disconnected(1);
    assert_eq!(subscribers.subscribe(2, HAS_5).sent_view, 0);
    let connections: Vec<u64> = subscribers
        .iter_mut()
        .map(|(connection, _)| *connection)
        .collect();
    assert_eq!(connections, [2]);
}

#[test]
fn the_end_of_an_unknown_connection_changes_nothing() {
    let mut subscribers = Subscribers::default();
    subscribers.subscribe(1, HAS_5);
    subscribers.disconnected(2);
    assert_eq!(subscribers.iter_mut().count(), 1);
}

#[test]
fn a_configuration_subscriber_wants_only_newer_versions() {
    let mut subscribers = Subscribers::default();
    let subscriber = subscribers.subscribe(1, HAS_5);
    assert!(!subscriber.wants(5) && subscriber.wants(6));
    subscriber.was_sent(u64::MAX);
    assert_eq!(
        subscriber.interest,
        Interest::Configuration { have: u64::MAX }
    );
    assert!(!subscriber.wants(u64::MAX));
    assert!(!subscribers.subscribe(2, Interest::Views).wants(7));
}
