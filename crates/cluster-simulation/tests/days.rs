//! Days of a few seeds; more are played by hand with `cargo run --release --example hunt`.

use lupinrack_cluster_simulation::{play, DayReport, DaySettings};

fn check(seeds: impl Iterator<Item = u64>, settings: DaySettings) {
    for seed in seeds {
        let report = play(seed, settings);
        assert!(report.broken.is_empty(), "seed {seed}: {:#?}", report.broken);
        assert_work_was_done(seed, &report);
    }
}

/// A day on which nothing happens breaks no rule either.
fn assert_work_was_done(seed: u64, report: &DayReport) {
    assert!(report.accepted >= 30, "seed {seed}: {} jobs accepted", report.accepted);
    assert!(report.tasks_done >= 100, "seed {seed}: {} tasks done", report.tasks_done);
}

#[test]
fn days_of_three_core_machines_break_no_rule() {
    check(1..=24, DaySettings::default());
}

#[test]
fn days_of_five_core_machines_break_no_rule() {
    check(1..=8, DaySettings { cores: 5, ..DaySettings::default() });
}

/// A frozen agent took a start up again that had lapsed, with the next hold.
#[test]
fn a_lapsed_start_does_not_come_back() {
    check([32, 488, 555].into_iter(), DaySettings::default());
}

/// A view that an answer told of first was never adopted, and the chain stood still.
#[test]
fn a_view_is_adopted_that_an_answer_told_of_first() {
    check([116].into_iter(), DaySettings::default());
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let first = play(7, DaySettings::default());
    let second = play(7, DaySettings::default());
    assert_eq!(first, second);
}
