//! Random histories from many seeds, with crashes, lost disks, lost connections, slow disks and changes of view.

mod support;

use support::checker::Violation;
use support::world::{Summary, World};
use support::InjectedFault;

/// How many histories run with a correct driver.
const HISTORIES: u64 = 60;

/// Within how many histories an injected fault has to be detected.
const FAULTY_HISTORIES: u64 = 600;

fn play(seed: u64, fault: InjectedFault) -> Summary {
    World::new(seed, fault).run()
}

/// Whether the checker detects, in some history, that an injected fault violates safety; lost liveness does not count.
fn is_detected(fault: InjectedFault) -> bool {
    let harm = |violation: Violation| !matches!(violation, Violation::Stuck { .. });
    (0..FAULTY_HISTORIES).any(|seed| play(seed, fault).violation.is_some_and(harm))
}

#[test]
fn invariants_hold_in_every_history() {
    let mut total = Summary::default();
    for seed in 0..HISTORIES {
        let summary = play(seed, InjectedFault::None);
        assert_eq!(summary.violation, None, "seed {seed}: {summary:?}");
        total.committed += summary.committed;
        total.views += summary.views;
        total.barriers += summary.barriers;
        total.wipes += summary.wipes;
        total.snapshots += summary.snapshots;
    }
    println!("{total:?}");
    // The histories are a meaningful test only if all of these events occur in them.
    assert!(total.committed > HISTORIES * 100, "{total:?}");
    assert!(total.views > HISTORIES * 10, "{total:?}");
    assert!(total.barriers > HISTORIES * 10, "{total:?}");
    assert!(total.wipes > HISTORIES / 10, "{total:?}");
    assert!(total.snapshots > HISTORIES / 10, "{total:?}");
}

#[test]
fn an_acknowledgement_before_the_sync_is_caught() {
    assert!(is_detected(InjectedFault::AcknowledgeBeforeSync));
}

#[test]
fn a_spare_that_joins_without_truncation_is_caught() {
    assert!(is_detected(InjectedFault::NoTruncation));
}

#[test]
fn a_member_that_accepts_messages_of_other_views_is_caught() {
    assert!(is_detected(InjectedFault::AcceptOtherViews));
}

#[test]
fn a_head_that_acts_again_in_its_view_after_a_restart_is_caught() {
    assert!(is_detected(InjectedFault::ViewNotStored));
}

#[test]
fn a_view_that_is_adopted_before_it_is_synced_is_caught() {
    assert!(is_detected(InjectedFault::ViewStoredLate));
}

#[test]
fn a_status_that_is_not_stored_is_caught() {
    assert!(is_detected(InjectedFault::AlwaysComplete));
}

#[test]
fn a_snapshot_sent_with_too_high_an_index_is_caught() {
    assert!(is_detected(InjectedFault::SentSnapshotTooNew));
}

#[test]
fn a_snapshot_stored_with_too_high_an_index_is_caught() {
    assert!(is_detected(InjectedFault::StoredSnapshotTooNew));
}

#[test]
fn a_view_whose_head_was_not_complete_does_no_harm() {
    let violations: Vec<Violation> = (0..HISTORIES)
        .filter_map(|seed| play(seed, InjectedFault::AnyHead).violation)
        .collect();
    assert!(!violations.is_empty(), "the fault had no effect");
    assert!(
        violations
            .iter()
            .all(|violation| matches!(violation, Violation::Stuck { .. })),
        "{violations:?}"
    );
}
