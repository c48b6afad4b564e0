//! The table of subscribers.

use lupinrack_cluster_node::core::subscribers::Subscribers;

#[test]
fn a_new_subscriber_was_told_no_view() {
    let mut subscribers = Subscribers::default();
    let subscriber = subscribers.heard(1, 5);
    assert_eq!((subscriber.have, subscriber.told_view), (5, 0));
}

#[test]
fn what_it_was_told_stays_while_its_connection_lives() {
    let mut subscribers = Subscribers::default();
    subscribers.heard(1, 5).told_view = 3;
    let subscriber = subscribers.heard(1, 6);
    assert_eq!((subscriber.have, subscriber.told_view), (6, 3));
}

#[test]
fn a_new_connection_is_told_everything_again() {
    let mut subscribers = Subscribers::default();
    subscribers.heard(1, 5).told_view = 3;
    subscribers.closed(1);
    assert_eq!(subscribers.heard(2, 5).told_view, 0);
    let connections: Vec<u64> = subscribers.iter_mut().map(|(connection, _)| *connection).collect();
    assert_eq!(connections, [2]);
}

#[test]
fn the_end_of_an_unknown_connection_changes_nothing() {
    let mut subscribers = Subscribers::default();
    subscribers.heard(1, 5);
    subscribers.closed(2);
    assert_eq!(subscribers.iter_mut().count(), 1);
}
