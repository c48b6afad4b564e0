//! Histories of many seeds: crashes, lost disks, lost connections, slow disks and changes of view.

mod support;

use support::checker::Violation;
use support::world::{Summary, World};
use support::PlantedFault;

/// How many histories are played without a fault.
const HISTORIES: u64 = 60;

/// How many histories a planted fault may take to show.
const FAULTY_HISTORIES: u64 = 600;

fn play(seed: u64, fault: PlantedFault) -> Summary {
    World::new(seed, fault).run()
}

/// Whether the checker notices, in some history, that a planted fault does harm; a standstill is not enough.
fn is_caught(fault: PlantedFault) -> bool {
    let harm = |violation: Violation| !matches!(violation, Violation::Stuck { .. });
    (0..FAULTY_HISTORIES).any(|seed| play(seed, fault).violation.is_some_and(harm))
}

#[test]
fn invariants_hold_in_every_history() {
    let mut total = Summary::default();
    for seed in 0..HISTORIES {
        let summary = play(seed, PlantedFault::None);
        assert_eq!(summary.violation, None, "seed {seed}: {summary:?}");
        total.committed += summary.committed;
        total.views += summary.views;
        total.barriers += summary.barriers;
        total.wipes += summary.wipes;
        total.snapshots += summary.snapshots;
    }
    println!("{total:?}");
    // The histories are worth something only if all this happens in them.
    assert!(total.committed > HISTORIES * 100, "{total:?}");
    assert!(total.views > HISTORIES * 10, "{total:?}");
    assert!(total.barriers > HISTORIES * 10, "{total:?}");
    assert!(total.wipes > HISTORIES / 10, "{total:?}");
    assert!(total.snapshots > HISTORIES / 10, "{total:?}");
}

#[test]
fn an_acknowledgement_before_the_sync_is_caught() {
    assert!(is_caught(PlantedFault::AcknowledgeBeforeSync));
}

#[test]
fn a_spare_that_joins_without_truncation_is_caught() {
    assert!(is_caught(PlantedFault::NoTruncation));
}

#[test]
fn a_member_that_accepts_messages_of_other_views_is_caught() {
    assert!(is_caught(PlantedFault::AcceptOtherViews));
}

#[test]
fn a_head_that_acts_again_in_its_view_after_a_restart_is_caught() {
    assert!(is_caught(PlantedFault::ViewNotStored));
}

#[test]
fn a_view_that_is_adopted_before_it_is_synced_is_caught() {
    assert!(is_caught(PlantedFault::ViewStoredLate));
}

#[test]
fn a_status_that_is_not_kept_is_caught() {
    assert!(is_caught(PlantedFault::AlwaysComplete));
}

#[test]
fn a_snapshot_that_is_sent_for_newer_than_it_is_is_caught() {
    assert!(is_caught(PlantedFault::SentSnapshotTooNew));
}

#[test]
fn a_snapshot_that_is_stored_for_newer_than_it_is_is_caught() {
    assert!(is_caught(PlantedFault::StoredSnapshotTooNew));
}

#[test]
fn a_view_whose_head_was_not_complete_does_no_harm() {
    let violations: Vec<Violation> = (0..HISTORIES)
        .filter_map(|seed| play(seed, PlantedFault::AnyHead).violation)
        .collect();
    assert!(!violations.is_empty(), "the fault was not met");
    assert!(
        violations
            .iter()
            .all(|violation| matches!(violation, Violation::Stuck { .. })),
        "{violations:?}"
    );
}
