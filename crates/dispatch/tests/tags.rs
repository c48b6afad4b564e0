//! The formula of the tags: the maximum of virtual time and previous finish tag, the delay, and its clip.

mod common;

use common::{arrival, dispatcher, tag, NOW};
use lupinrack_cluster_api::time::Millis;
use lupinrack_dispatch::{hybrid_delay, DispatchSettings, Dispatcher, Tags};

const STREAM_IDLE_MS: u64 = 10_000;

#[test]
fn a_backlogged_stream_starts_each_task_at_the_previous_finish_tag() {
    let mut dispatcher = dispatcher();
    let first = dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 1), NOW);
    let second = dispatcher.enqueue(&1, arrival('a', 0.5, 3.0, 2), NOW);
    assert_eq!(
        first,
        Tags {
            start: tag(0.0),
            finish: tag(2.0)
        }
    );
    assert_eq!(
        second,
        Tags {
            start: tag(2.0),
            finish: tag(8.0)
        }
    );
}

#[test]
fn a_new_stream_starts_at_the_virtual_time() {
    let mut dispatcher = dispatcher();
    for task in 0..4 {
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, task), NOW);
    }
    assert_eq!(dispatcher.release(&1, 4, NOW, |_| true), [0, 1, 2, 3]);
    assert_eq!(dispatcher.virtual_time(&1), tag(6.0));
    assert_eq!(
        dispatcher.enqueue(&1, arrival('b', 0.25, 1.0, 9), NOW),
        Tags {
            start: tag(6.0),
            finish: tag(10.0)
        }
    );
}

#[test]
fn a_stream_ahead_of_the_virtual_time_starts_at_its_previous_finish_tag() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 10.0, 1), NOW);
    dispatcher.release(&1, 0, NOW, |_| true);
    assert_eq!(dispatcher.virtual_time(&1), tag(0.0));
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 2), NOW).start,
        tag(20.0)
    );
}

#[test]
fn costs_on_other_servers_delay_the_stream() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 4.0, 1), NOW);
    dispatcher.enqueue(&2, arrival('a', 0.5, 1.0, 2), NOW);
    dispatcher.enqueue(&3, arrival('a', 0.5, 0.5, 3), NOW);
    // F_prev 8, delay 1.5 of at most (2 − 1) / (1 − 0.5) × 4 = 8.
    let tags = dispatcher.enqueue(&1, arrival('a', 0.5, 4.0, 4), NOW);
    assert_eq!(
        tags,
        Tags {
            start: tag(11.0),
            finish: tag(19.0)
        }
    );
    // The remote cost counts once: since then, no task was enqueued on another server.
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 5), NOW).start,
        tag(19.0)
    );
}

#[test]
fn the_delay_is_clipped() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 1), NOW);
    dispatcher.enqueue(&2, arrival('a', 0.5, 100.0, 2), NOW);
    // F_prev 2, clip (2 − 1) / (1 − 0.5) × 1 = 2 units, over φ 4.
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 3), NOW).start,
        tag(6.0)
    );
}

#[test]
fn the_clip_follows_weight_cost_and_ratio() {
    assert_eq!(hybrid_delay(100.0, 1.0, 0.5, 0.5), 2.0);
    assert_eq!(hybrid_delay(100.0, 3.0, 0.5, 0.5), 6.0);
    assert_eq!(hybrid_delay(100.0, 1.0, 0.2, 0.5), 1.25);
    assert_eq!(hybrid_delay(100.0, 1.0, 0.5, 0.25), 6.0);
    assert_eq!(hybrid_delay(1.5, 1.0, 0.5, 0.5), 1.5);
    assert_eq!(hybrid_delay(100.0, 1.0, 0.5, 1.0), 0.0);
}

#[test]
fn a_stream_of_weight_one_has_no_delay() {
    assert_eq!(hybrid_delay(100.0, 1.0, 1.0, 0.5), 0.0);
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 1.0, 1.0, 1), NOW);
    dispatcher.enqueue(&2, arrival('a', 1.0, 100.0, 2), NOW);
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 1.0, 1.0, 3), NOW).start,
        tag(1.0)
    );
}

#[test]
fn a_task_that_is_queued_already_keeps_its_tags() {
    let mut dispatcher = dispatcher();
    let tags = dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 1), NOW);
    dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 2), NOW);
    assert_eq!(dispatcher.enqueue(&1, arrival('b', 0.1, 7.0, 1), NOW), tags);
    assert_eq!(dispatcher.queued(&1).count(), 2);
    assert_eq!(dispatcher.stream_count(), 1);
}

#[test]
fn withdrawing_the_last_task_restores_the_previous_finish_tag() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 1), NOW);
    let before = dispatcher.enqueue(&1, arrival('a', 0.5, 5.0, 2), NOW);
    assert!(dispatcher.withdraw(&1, &2));
    assert!(!dispatcher.withdraw(&1, &2));
    assert_eq!(dispatcher.tags(&1, &2), None);
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 3), NOW).start,
        before.start
    );
}

#[test]
fn withdrawing_an_earlier_task_keeps_the_tags_of_later_ones() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 5.0, 1), NOW);
    let last = dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 2), NOW);
    assert!(dispatcher.withdraw(&1, &1));
    assert_eq!(dispatcher.tags(&1, &2), Some(last));
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 0.5, 1.0, 3), NOW).start,
        last.finish
    );
}

#[test]
fn the_cost_of_a_withdrawn_task_causes_no_delay() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 4.0, 1), NOW);
    dispatcher.enqueue(&2, arrival('a', 0.5, 1.0, 2), NOW);
    dispatcher.withdraw(&2, &2);
    assert_eq!(
        dispatcher.enqueue(&1, arrival('a', 0.5, 4.0, 3), NOW).start,
        tag(8.0)
    );
}

#[test]
fn an_idle_stream_loses_its_state_and_a_queued_one_does_not() {
    let mut dispatcher = dispatcher();
    dispatcher.enqueue(&1, arrival('a', 0.5, 50.0, 1), NOW);
    let queued = dispatcher.enqueue(&1, arrival('b', 0.5, 50.0, 2), NOW);
    dispatcher.release(&1, 0, NOW, |task| *task == 1);
    let later = Millis(STREAM_IDLE_MS);
    assert_eq!(
        dispatcher
            .enqueue(&1, arrival('a', 0.5, 1.0, 3), later)
            .start,
        tag(0.0)
    );
    assert_eq!(
        dispatcher
            .enqueue(&1, arrival('b', 0.5, 1.0, 4), later)
            .start,
        queued.finish
    );
}

#[test]
fn the_state_of_idle_streams_is_freed() {
    let mut dispatcher = Dispatcher::<u8, u32, u32>::new(DispatchSettings::default());
    for stream in 0..1000 {
        dispatcher.enqueue(&1, arrival(stream, 0.5, 1.0, stream), NOW);
        dispatcher.release(&1, 0, NOW, |_| true);
    }
    assert_eq!(dispatcher.stream_count(), 1000);
    dispatcher.enqueue(&1, arrival(0, 0.5, 1.0, 5000), Millis(STREAM_IDLE_MS));
    assert_eq!(dispatcher.stream_count(), 1);
}

#[test]
fn invalid_weights_and_costs_are_clamped() {
    let mut dispatcher = dispatcher();
    for (task, weight) in [0.0, -1.0, f64::NAN, 7.0].into_iter().enumerate() {
        let tags = dispatcher.enqueue(&(task as u8), arrival('a', weight, 1.0, task as u32), NOW);
        assert_eq!(
            tags,
            Tags {
                start: tag(0.0),
                finish: tag(1.0)
            },
            "weight {weight}"
        );
    }
    for (task, cost) in [-1.0, f64::NAN].into_iter().enumerate() {
        let tags = dispatcher.enqueue(&9, arrival('b', 0.5, cost, task as u32), NOW);
        assert_eq!(tags, Tags::default(), "cost {cost}");
    }
    let huge = dispatcher.enqueue(&9, arrival('c', 1e-9, f64::INFINITY, 100), NOW);
    assert!(huge.finish > huge.start);
    let next = dispatcher.enqueue(&9, arrival('c', 1e-9, f64::INFINITY, 101), NOW);
    assert!(next.finish > next.start, "tags must not saturate: {next:?}");
}
