//! Days of a few seeds; more are played by hand with `cargo run --release --example hunt`.

use lupinrack_cluster_simulation::{play, play_plan, DayReport, DaySettings, Entry, Plan, Trouble};

fn check(seeds: impl Iterator<Item = u64>, settings: DaySettings) {
    for seed in seeds {
        let report = play(seed, settings);
        assert!(
            report.broken.is_empty(),
            "seed {seed}: {:#?}",
            report.broken
        );
        assert_work_was_done(seed, &report);
    }
}

/// A day on which nothing happens breaks no rule either.
fn assert_work_was_done(seed: u64, report: &DayReport) {
    assert!(
        report.accepted >= 30,
        "seed {seed}: {} jobs accepted",
        report.accepted
    );
    assert!(
        report.tasks_done >= 100,
        "seed {seed}: {} tasks done",
        report.tasks_done
    );
}

#[test]
fn days_of_three_core_machines_break_no_rule() {
    check(1..=24, DaySettings::default());
}

#[test]
fn days_of_five_core_machines_break_no_rule() {
    check(
        1..=8,
        DaySettings {
            cores: 5,
            tolerance: 2,
            ..DaySettings::default()
        },
    );
}

/// Agents stand still for longer than a hold lasts, again and again: what lapsed meanwhile must not come back.
fn agents_stand_still() -> Plan {
    let settings = DaySettings::default();
    let first = settings.cores + settings.fronts;
    let freeze = |number: usize| Entry {
        at: 5_000 + 900 * number as u64,
        for_ms: 3_800,
        trouble: Trouble::SideFreeze(first + number % settings.servers),
    };
    Plan::of((0..36).map(freeze).collect())
}

#[test]
fn a_lapsed_start_does_not_come_back() {
    for seed in 1..=6 {
        let report = play_plan(seed, DaySettings::default(), agents_stand_still());
        assert!(
            report.broken.is_empty(),
            "seed {seed}: {:#?}",
            report.broken
        );
        assert_work_was_done(seed, &report);
    }
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let first = play(7, DaySettings::default());
    let second = play(7, DaySettings::default());
    assert_eq!(first, second);
}
