//! Unhealthy disks are avoided where others are better, and used where none is.

use crate::common::{disk, view, voters};
use crate::watch::{Watch, SETTINGS, STEP_MS};
use lupinrack_cluster_api::view::View;

/// Longer than every delay of the policy.
const LONG_MS: u64 = 30_000;

fn of_three() -> View {
    view(4, &[0, 1, 2], &[0, 1])
}

/// Makes the disks of these machines unhealthy.
fn with_unhealthy(mut watch: Watch, indices: &[u8]) -> Watch {
    for index in indices {
        watch.heartbeat(*index).healthy = false;
    }
    watch
}

/// Guards against a system that is never founded on slow disks.
#[test]
fn founders_whose_disks_are_all_unhealthy_found_the_system() {
    let watch = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0, 1, 2]);
    let mut watch = with_unhealthy(watch, &[0, 1, 2]);
    let (wanted, passed_ms) = watch.until_wanted(LONG_MS).expect("they found it");
    assert_eq!(wanted, view(1, &[0, 1, 2], &[0, 1]));
    assert!(passed_ms <= 2 * STEP_MS, "{passed_ms} ms");
}

#[test]
fn a_founder_with_an_unhealthy_disk_is_left_out_where_most_are_healthy() {
    let watch = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0, 1, 2]);
    let mut watch = with_unhealthy(watch, &[2]);
    let (wanted, _) = watch.until_wanted(LONG_MS).expect("two found it");
    assert_eq!(wanted, view(1, &[0, 1], &[0, 1]));
}

/// Guards against a lost member that nobody removes while all disks are unhealthy.
#[test]
fn a_lost_member_is_removed_where_all_disks_are_unhealthy() {
    for (me, lost) in [(0, 1), (1, 0)] {
        let mut watch =
            with_unhealthy(Watch::new(me, of_three(), &[]).with(&[0, 1, 2]), &[0, 1, 2]);
        watch.heartbeat(2).replica.caught_up = true;
        assert_eq!(watch.advance(2_000), None);
        watch.lose(&[lost]);
        let (wanted, passed_ms) = watch.until_wanted(LONG_MS).expect("it is removed");
        assert_eq!(wanted.chain, [me, 2].map(disk), "{lost} is lost");
        let limit_ms = SETTINGS.suspect_after_ms + 2 * STEP_MS;
        assert!(passed_ms <= limit_ms, "{lost} is lost: {passed_ms} ms");
    }
}

/// Guards against a chain that is too short to acknowledge although a spare is ready.
#[test]
fn a_spare_with_an_unhealthy_disk_joins_a_chain_that_is_too_short() {
    let mut watch = with_unhealthy(Watch::new(0, of_three(), &[]).with(&[0, 1, 2]), &[2]);
    watch.heartbeat(2).replica.caught_up = true;
    assert_eq!(watch.advance(2_000), None);
    watch.lose(&[1]);
    let (wanted, _) = watch.until_wanted(LONG_MS).expect("the chain changes");
    assert_eq!(wanted.chain, [0, 2].map(disk));
    watch.adopt(wanted);
    assert_eq!(watch.advance(LONG_MS), None, "the chain stays as it is");
}

#[test]
fn a_healthy_spare_joins_before_an_unhealthy_one() {
    let five = view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]);
    let watch = Watch::new(0, five, &[]).tolerating(2);
    let mut watch = with_unhealthy(watch.with(&[0, 1, 2, 3, 4]), &[3]);
    watch.catch_all_up();
    watch.advance(2_000);
    watch.lose(&[2]);
    let (wanted, _) = watch.until_wanted(LONG_MS).expect("the chain changes");
    assert_eq!(wanted.chain, [0, 1, 4].map(disk));
}

/// Guards against a chain that changes whenever one of many slow disks was idle for a while.
#[test]
fn members_stay_while_most_disks_are_unhealthy() {
    let mut three = with_unhealthy(Watch::new(0, of_three(), &[]).with(&[0, 1, 2]), &[0, 1]);
    three.heartbeat(2).replica.caught_up = true;
    assert_eq!(three.advance(LONG_MS), None);
    let five = view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]);
    let mut five = with_unhealthy(Watch::new(0, five, &[]).with(&[0, 1, 2, 3, 4]), &[0, 1, 2]);
    five.catch_all_up();
    assert_eq!(five.advance(LONG_MS), None);
}

/// Guards against a replaced machine that never votes where all disks are slow.
#[test]
fn a_new_disk_becomes_a_voter_where_all_disks_are_unhealthy() {
    let mut watch = with_unhealthy(Watch::new(0, of_three(), &[]).with(&[0, 1, 2]), &[0, 1, 2]);
    watch.lose(&[2]);
    watch.add(3);
    let mut watch = with_unhealthy(watch, &[3]);
    watch.wait_until_stable(4_000);
    assert_eq!(watch.current.voters, voters(&[0, 1, 3]));
}
