//! Without `orders_by_start_tag`, tasks are released in the order of arrival.

mod common;

use common::{arrival, NOW};
use lupinrack_dispatch::{DispatchSettings, Dispatcher};

const SERVER: u8 = 1;

/// The order of release when a stream of high weight enqueues a task after the backlog of a stream of low weight.
fn released(orders_by_start_tag: bool) -> Vec<u32> {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        orders_by_start_tag,
        ..DispatchSettings::default()
    });
    for task in 0..3 {
        dispatcher.enqueue(&SERVER, arrival('l', 0.1, 1.0, task), NOW);
    }
    dispatcher.enqueue(&SERVER, arrival('h', 0.9, 1.0, 3), NOW);
    dispatcher.release(&SERVER, 0, NOW, |_| true)
}

#[test]
fn in_start_tag_order_a_later_stream_overtakes_a_backlog() {
    assert_eq!(released(true), [0, 3, 1, 2]);
}

#[test]
fn in_arrival_order_a_later_stream_waits_behind_a_backlog() {
    assert_eq!(released(false), [0, 1, 2, 3]);
}
