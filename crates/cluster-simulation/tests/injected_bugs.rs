//! Planted faults: each is caught by the days of a few seeds, which break no rule without it.

use lupinrack_cluster_simulation::{
    play, play_plan, CoreChoice, CoreTrouble, CutDirection, DayReport, DaySettings, Entry, Plan,
    PlantedFault, Trouble,
};

/// Whether one of the days breaks one of the rules with the fault, and none does without it.
fn assert_caught(planted: PlantedFault, seeds: &[u64], rules: &[&str]) {
    let mut broken = Vec::new();
    for seed in seeds {
        let sound = play(*seed, DaySettings::default());
        assert!(
            sound.broken.is_empty(),
            "seed {seed} without the fault: {:#?}",
            sound.broken
        );
        broken.extend(
            play(
                *seed,
                DaySettings {
                    planted: Some(planted),
                    ..DaySettings::default()
                },
            )
            .broken,
        );
    }
    let caught = broken
        .iter()
        .any(|line| rules.iter().any(|rule| line.contains(rule)));
    assert!(caught, "{planted:?}: {broken:#?}");
}

#[test]
fn a_sync_left_out_is_caught() {
    assert_caught(
        PlantedFault::SyncLeftOut,
        &[4, 8, 13],
        &["LOST: accepted job"],
    );
}

/// The same for a plan in place of the seeds' own.
fn assert_caught_in(plan: &Plan, planted: PlantedFault, rule: &str) {
    let mut caught = false;
    for seed in 1..=4 {
        let sound = play_plan(seed, DaySettings::default(), plan.clone());
        assert!(
            sound.broken.is_empty(),
            "seed {seed} without the fault: {:#?}",
            sound.broken
        );
        let settings = DaySettings {
            planted: Some(planted),
            ..DaySettings::default()
        };
        let broken = play_plan(seed, settings, plan.clone()).broken;
        caught |= broken.iter().any(|line| line.contains(rule));
    }
    assert!(caught, "{planted:?} is not caught by {rule}");
}

/// Agents are cut off from the core for longer than a hold lasts, again and again.
fn agents_cut_off() -> Plan {
    let settings = DaySettings::default();
    let first = settings.cores + settings.fronts;
    let cut = |number: usize| Entry {
        at: 5_000 + 1_500 * number as u64,
        for_ms: 4_500,
        trouble: Trouble::SideCut(first + number % settings.servers, false),
    };
    Plan::of((0..16).map(cut).collect())
}

#[test]
fn a_hold_too_long_is_caught() {
    assert_caught_in(&agents_cut_off(), PlantedFault::LeaseTooLong, "TWICE");
}

/// Fronts are cut off from the core for longer than clients wait, again and again.
fn fronts_cut_off() -> Plan {
    let settings = DaySettings::default();
    let cut = |number: usize| Entry {
        at: 5_000 + 3_500 * number as u64,
        for_ms: 2_900,
        trouble: Trouble::FrontCut(settings.cores + number % settings.fronts),
    };
    Plan::of((0..9).map(cut).collect())
}

#[test]
fn a_refusal_in_doubt_is_caught() {
    assert_caught_in(&fronts_cut_off(), PlantedFault::RefusedInDoubt, "REFUSED");
}

#[test]
fn an_end_observed_too_soon_is_caught() {
    assert_caught(PlantedFault::ObservedTooSoon, &[2, 4, 5], &["TWICE"]);
}

#[test]
fn a_token_that_is_not_raised_is_caught() {
    assert_caught(
        PlantedFault::TokenNotRaised,
        &[37, 38],
        &["LOST: not finished"],
    );
}

/// One machine is cut off while the others go on; then the second is cut off and the third comes back empty, next to the
/// first. Without the identity that it had, the empty one is no voter, and the two wait for the second.
fn empty_disk_beside_an_old_one(old: usize, newest: usize, empty: usize) -> Plan {
    let core = |at, for_ms, kind, machine| Entry {
        at,
        for_ms,
        trouble: Trouble::Core(kind, CoreChoice::Place(machine)),
    };
    Plan::of(vec![
        core(8_000, 9_000, CoreTrouble::Cut(CutDirection::Both), old),
        core(16_000, 8_000, CoreTrouble::CutFromAll, newest),
        core(16_500, 300, CoreTrouble::Wipe, empty),
    ])
}

fn play_empty_disk(seed: u64, planted: Option<PlantedFault>) -> Vec<DayReport> {
    let roles = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let settings = DaySettings {
        planted,
        ..DaySettings::default()
    };
    let day = |[old, newest, empty]: [usize; 3]| {
        play_plan(
            seed,
            settings,
            empty_disk_beside_an_old_one(old, newest, empty),
        )
    };
    roles.into_iter().map(day).collect()
}

#[test]
fn the_vote_of_an_empty_disk_is_caught() {
    let sound = play_empty_disk(1, None);
    assert!(
        sound.iter().all(|report| report.broken.is_empty()),
        "{sound:#?}"
    );
    let planted = play_empty_disk(1, Some(PlantedFault::VoteOfEmptyDisk));
    let lost = |report: &DayReport| {
        report
            .broken
            .iter()
            .any(|line| line.contains("LOST: accepted job"))
    };
    assert!(planted.iter().any(lost), "{planted:#?}");
}
