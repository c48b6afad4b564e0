//! When scheduling rounds run.

use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::core::round_schedule::RoundSchedule;
use std::time::Duration;

/// A schedule whose last round began at `at` and took `took`, with the next round requested.
fn after_round(at: u64, took: Duration) -> RoundSchedule {
    let mut schedule = RoundSchedule::default();
    schedule.request();
    assert!(schedule.begin_if_due(Millis(at)));
    schedule.events_finished_in(took);
    schedule.request();
    schedule
}

#[test]
fn a_cheap_round_is_followed_by_the_next_one_after_five_milliseconds() {
    let mut schedule = after_round(1_000, Duration::from_micros(300));
    assert_eq!(schedule.wait_ms(Millis(1_000)), Some(5));
    assert!(!schedule.begin_if_due(Millis(1_004)));
    assert!(schedule.begin_if_due(Millis(1_005)));
}

#[test]
fn long_rounds_leave_three_quarters_of_the_time_to_other_work() {
    let mut schedule = after_round(1_000, Duration::from_millis(6));
    assert_eq!(schedule.wait_ms(Millis(1_000)), Some(24));
    assert!(!schedule.begin_if_due(Millis(1_023)));
    assert!(schedule.begin_if_due(Millis(1_024)));
}

#[test]
fn rounds_of_ten_to_twenty_milliseconds_are_forty_milliseconds_apart() {
    for took_ms in [10, 15, 20] {
        let schedule = after_round(1_000, Duration::from_millis(took_ms));
        assert_eq!(schedule.wait_ms(Millis(1_000)), Some(40));
    }
}

#[test]
fn rounds_of_any_length_leave_half_of_the_time_to_other_work() {
    let mut schedule = after_round(1_000, Duration::from_millis(150));
    assert_eq!(schedule.wait_ms(Millis(1_000)), Some(300));
    assert!(!schedule.begin_if_due(Millis(1_299)));
    assert!(schedule.begin_if_due(Millis(1_300)));
}

#[test]
fn a_process_that_stood_still_in_a_round_runs_the_next_one_soon() {
    let schedule = after_round(1_000, Duration::from_secs(9));
    assert_eq!(schedule.wait_ms(Millis(1_000)), Some(500));
    assert_eq!(schedule.wait_ms(Millis(10_000)), Some(0));
}

#[test]
fn events_without_a_round_do_not_change_the_interval() {
    let mut schedule = after_round(1_000, Duration::from_micros(300));
    schedule.events_finished_in(Duration::from_millis(50));
    assert_eq!(schedule.wait_ms(Millis(1_000)), Some(5));
}
