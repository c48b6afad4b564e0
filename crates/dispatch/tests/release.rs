//! Which tasks are released, and in which order.

mod common;

use common::{arrival, dispatcher, dispatcher_with, tag, TestDispatcher, NOW};

/// A dispatcher with one server whose tasks are numbered in the order of their start tags.
fn filled(depth: usize, max_bypasses: u32, tasks: u32) -> TestDispatcher {
    let mut dispatcher = dispatcher_with(depth, max_bypasses);
    for task in 0..tasks {
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, task), NOW);
    }
    dispatcher
}

#[test]
fn tasks_are_released_in_the_order_of_their_start_tags() {
    let mut dispatcher = dispatcher();
    for task in 0..3 {
        dispatcher.enqueue(&1, arrival('a', 0.2, 1.0, task), NOW);
    }
    for task in 10..13 {
        dispatcher.enqueue(&1, arrival('b', 0.8, 1.0, task), NOW);
    }
    // The start tags of a are 0, 5, 10, those of b 0, 1.25, 2.5. Among equal tags, the task enqueued first comes first.
    assert_eq!(
        dispatcher.queued(&1).copied().collect::<Vec<_>>(),
        [0, 10, 11, 12, 1, 2]
    );
    assert_eq!(
        dispatcher.release(&1, 0, NOW, |_| true),
        [0, 10, 11, 12, 1, 2]
    );
    assert_eq!(dispatcher.queued(&1).count(), 0);
}

#[test]
fn at_most_depth_tasks_run_on_a_server() {
    let mut dispatcher = filled(3, 64, 10);
    assert_eq!(dispatcher.release(&1, 1, NOW, |_| true), [0, 1]);
    assert!(dispatcher
        .release(&1, 3, NOW, |_| panic!("the server is full"))
        .is_empty());
    assert!(dispatcher
        .release(&1, 9, NOW, |_| panic!("the server is full"))
        .is_empty());
    assert_eq!(dispatcher.release(&1, 2, NOW, |_| true), [2]);
}

#[test]
fn fits_may_reserve_capacity() {
    let mut dispatcher = filled(8, 64, 10);
    let mut free_capacity = 3;
    let released = dispatcher.release(&1, 0, NOW, |_| {
        let fits = free_capacity > 0;
        free_capacity -= i32::from(fits);
        fits
    });
    assert_eq!(released, [0, 1, 2]);
    assert_eq!(free_capacity, 0);
}

#[test]
fn tasks_that_fit_bypass_those_that_do_not() {
    let mut dispatcher = filled(8, 64, 6);
    assert_eq!(
        dispatcher.release(&1, 5, NOW, |task| task % 2 == 1),
        [1, 3, 5]
    );
    assert_eq!(
        dispatcher.queued(&1).copied().collect::<Vec<_>>(),
        [0, 2, 4]
    );
}

#[test]
fn the_virtual_time_never_moves_back() {
    let mut dispatcher = filled(8, 64, 3);
    dispatcher.release(&1, 0, NOW, |task| *task == 2);
    assert_eq!(dispatcher.virtual_time(&1), tag(4.0));
    assert_eq!(dispatcher.release(&1, 0, NOW, |_| true), [0, 1]);
    assert_eq!(dispatcher.virtual_time(&1), tag(4.0));
}

#[test]
fn a_task_is_bypassed_a_bounded_number_of_times_within_one_release() {
    let mut dispatcher = filled(8, 2, 6);
    assert_eq!(dispatcher.release(&1, 0, NOW, |task| *task != 0), [1, 2]);
    assert!(dispatcher.release(&1, 0, NOW, |task| *task != 0).is_empty());
    assert_eq!(dispatcher.release(&1, 0, NOW, |_| true), [0, 3, 4, 5]);
}

#[test]
fn a_task_is_bypassed_a_bounded_number_of_times_over_many_releases() {
    let mut dispatcher = filled(1, 3, 6);
    for expected in [1, 2, 3] {
        assert_eq!(
            dispatcher.release(&1, 0, NOW, |task| *task != 0),
            [expected]
        );
    }
    assert!(dispatcher.release(&1, 0, NOW, |task| *task != 0).is_empty());
    assert!(dispatcher.withdraw(&1, &0));
    assert_eq!(dispatcher.release(&1, 0, NOW, |_| true), [4]);
}

#[test]
fn without_bypasses_the_head_blocks_its_queue_and_no_other() {
    let mut dispatcher = filled(8, 0, 3);
    dispatcher.enqueue(&2, arrival('a', 0.5, 1.0, 10), NOW);
    assert!(dispatcher.release(&1, 0, NOW, |task| *task != 0).is_empty());
    assert_eq!(dispatcher.release(&2, 0, NOW, |task| *task != 0), [10]);
}

#[test]
fn the_task_with_the_fewest_bypasses_left_limits_the_release() {
    let mut dispatcher = filled(8, 2, 6);
    assert_eq!(dispatcher.release(&1, 7, NOW, |task| *task == 2), [2]);
    // 0 and 1 have been bypassed once each. When 1 is released, 0 has reached its limit of 2.
    assert_eq!(dispatcher.release(&1, 0, NOW, |task| *task != 0), [1]);
    assert!(dispatcher.release(&1, 0, NOW, |task| *task != 0).is_empty());
}

#[test]
fn removing_a_server_returns_its_queue() {
    let mut dispatcher = filled(8, 64, 3);
    dispatcher.enqueue(&1, arrival('b', 0.9, 1.0, 7), NOW);
    dispatcher.release(&1, 7, NOW, |_| true);
    assert_eq!(dispatcher.remove_server(&1), [7, 1, 2]);
    assert!(dispatcher.remove_server(&1).is_empty());
    assert_eq!(dispatcher.virtual_time(&1), tag(0.0));
    assert!(dispatcher.tags(&1, &1).is_none());
    // The cost of its queued tasks is refunded; one unit was released and still counts. F_prev and v start from zero.
    let on_other_server = dispatcher.enqueue(&2, arrival('a', 0.5, 1.0, 1), NOW);
    assert_eq!(on_other_server.start, tag(2.0));
    assert_eq!(
        dispatcher.enqueue(&1, arrival('b', 0.5, 1.0, 7), NOW).start,
        tag(0.0)
    );
}

#[test]
fn an_unknown_server_has_an_empty_queue() {
    let mut dispatcher = dispatcher();
    assert!(dispatcher.release(&1, 0, NOW, |_| true).is_empty());
    assert_eq!(dispatcher.queued(&1).count(), 0);
    assert!(!dispatcher.withdraw(&1, &1));
    assert_eq!(dispatcher.virtual_time(&1), tag(0.0));
}
