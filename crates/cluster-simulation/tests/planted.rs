//! Planted faults: each is caught by the days of a few seeds, which break no rule without it.

use lupinrack_cluster_simulation::{play, DaySettings, PlantedFault};

/// Whether one of the days breaks one of the rules with the fault, and none does without it.
fn assert_caught(planted: PlantedFault, seeds: &[u64], rules: &[&str]) {
    let mut broken = Vec::new();
    for seed in seeds {
        let sound = play(*seed, DaySettings::default());
        assert!(sound.broken.is_empty(), "seed {seed} without the fault: {:#?}", sound.broken);
        broken.extend(play(*seed, DaySettings { planted: Some(planted), ..DaySettings::default() }).broken);
    }
    let caught = broken.iter().any(|line| rules.iter().any(|rule| line.contains(rule)));
    assert!(caught, "{planted:?}: {broken:#?}");
}

#[test]
fn a_sync_left_out_is_caught() {
    assert_caught(PlantedFault::SyncLeftOut, &[4, 8, 13], &["LOST: accepted job"]);
}

#[test]
fn a_hold_too_long_is_caught() {
    assert_caught(PlantedFault::HoldTooLong, &[10, 17, 22], &["TWICE"]);
}

#[test]
fn a_refusal_in_doubt_is_caught() {
    assert_caught(PlantedFault::RefusedInDoubt, &[10, 17, 37], &["REFUSED"]);
}

#[test]
fn an_end_observed_too_soon_is_caught() {
    assert_caught(PlantedFault::ObservedTooSoon, &[2, 4, 5], &["TWICE"]);
}
