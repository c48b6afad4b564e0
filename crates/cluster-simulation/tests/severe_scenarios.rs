//! The worst days of the control side, a few of each scene; more are played by hand with
//! `cargo run --release --example hunt`.

use lupinrack_cluster_simulation::{play, DayKind, DayReport, DaySettings, Scene};

fn check(scene: Scene, seeds: impl Iterator<Item = u64>, settings: DaySettings) {
    for seed in seeds {
        let report = play(
            seed,
            DaySettings {
                kind: DayKind::WorstOf(scene),
                ..settings
            },
        );
        assert!(
            report.broken.is_empty(),
            "{scene:?}, seed {seed}: {:#?}",
            report.broken
        );
        assert_work_was_done(scene, seed, &report);
    }
}

/// A day on which nothing happens breaks no rule either.
fn assert_work_was_done(scene: Scene, seed: u64, report: &DayReport) {
    assert!(
        report.accepted >= 30,
        "{scene:?}, seed {seed}: {} jobs accepted",
        report.accepted
    );
    assert!(
        report.tasks_done >= 100,
        "{scene:?}, seed {seed}: {} tasks done",
        report.tasks_done
    );
    assert!(
        report.changes >= 5,
        "{scene:?}, seed {seed}: {} changes acknowledged",
        report.changes
    );
}

fn three() -> DaySettings {
    DaySettings {
        traffic_ms: 60_000,
        ..DaySettings::default()
    }
}

fn five() -> DaySettings {
    DaySettings {
        cores: 5,
        tolerance: 2,
        ..three()
    }
}

#[test]
fn a_machine_cut_off_with_its_callers_breaks_no_rule() {
    check(Scene::CutWithCallers, 1..=4, three());
    check(Scene::CutWithCallers, 1..=2, five());
}

#[test]
fn a_disk_lost_right_after_the_repair_of_another_breaks_no_rule() {
    check(Scene::WipedThenAnother, 1..=4, three());
    check(Scene::WipedThenAnother, 1..=2, five());
}

#[test]
fn all_at_once_breaks_no_rule() {
    check(Scene::AllAtOnce, 1..=4, three());
    check(Scene::AllAtOnce, 1..=2, five());
}

#[test]
fn slow_and_sick_machines_break_no_rule() {
    check(Scene::SlowOrSick, 1..=4, three());
}

#[test]
fn machines_ended_in_turn_break_no_rule() {
    check(Scene::EndedInTurn, 1..=4, three());
}

#[test]
fn machines_replaced_in_order_break_no_rule() {
    check(Scene::ReplacedInOrder, 1..=4, three());
}

#[test]
fn machines_replaced_again_and_again_break_no_rule() {
    check(Scene::ReplacedAgainAndAgain, 1..=4, three());
    check(Scene::ReplacedAgainAndAgain, 1..=2, five());
}

/// Nine voters are renewed like fewer.
#[test]
fn machines_of_nine_replaced_again_and_again_break_no_rule() {
    check(
        Scene::ReplacedAgainAndAgain,
        1..=1,
        DaySettings {
            cores: 9,
            tolerance: 2,
            ..three()
        },
    );
}

#[test]
fn a_disk_lost_right_after_a_replacement_breaks_no_rule() {
    check(Scene::ReplacedThenWiped, 1..=4, three());
    check(Scene::ReplacedThenWiped, 1..=2, five());
}

#[test]
fn a_newcomer_wiped_while_it_catches_up_breaks_no_rule() {
    check(Scene::WipedWhileCatchingUp, 1..=4, three());
}

#[test]
fn losses_at_once_break_no_rule() {
    check(Scene::LossesAtOnce, 1..=4, three());
    check(Scene::LossesAtOnce, 1..=2, five());
}
