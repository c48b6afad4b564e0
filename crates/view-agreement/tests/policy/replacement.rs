//! The replacement of voters: one view adds a new disk and removes a voter that is gone.

use crate::common::{disk, view, voter, voters};
use crate::watch::{Watch, SETTINGS, STEP_MS};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::{View, Voter};

const SIZES: [u8; 4] = [3, 5, 7, 9];
/// Milliseconds in which the platform starts a replacement of a lost machine.
const SUCCESSOR_AFTER_MS: u64 = 300;
/// Milliseconds within which a voter has to be replaced: half of the time until the loss no longer counts.
const REPLACED_WITHIN_MS: u64 = SETTINGS.catch_up_ms / 2;
/// Longer than every delay of the policy.
const LONG_MS: u64 = 30_000;

fn indices(count: u8) -> Vec<u8> {
    (0..count).collect()
}

/// A stable view with this many voters, of which the first form the chain, all present for a long time.
fn stable(count: u8) -> Watch {
    let all = indices(count);
    let chain = &all[..usize::from(count) / 2 + 1];
    let mut watch = Watch::new(0, view(4, &all, chain), &[]).with(&all);
    assert_eq!(watch.advance(2000), None);
    watch
}

/// The voters with one replaced by another.
fn swapped(count: u8, old: u8, new: u8) -> Vec<Voter> {
    indices(count)
        .into_iter()
        .map(|index| voter(if index == old { new } else { index }))
        .collect()
}

fn disks(view: &View) -> Vec<DiskId> {
    let mut disks: Vec<DiskId> = view.voters.iter().map(|voter| voter.disk).collect();
    disks.sort();
    disks
}

#[test]
fn one_view_adds_a_new_disk_and_removes_a_lost_voter() {
    for count in SIZES {
        let lost = count - 1;
        let mut watch = stable(count);
        watch.lose(&[lost]);
        assert_eq!(watch.advance(SUCCESSOR_AFTER_MS), None);
        watch.add(count);
        let (wanted, passed) = watch
            .until_wanted(LONG_MS)
            .expect("the lost voter is replaced");
        assert_eq!(wanted.voters, swapped(count, lost, count), "{count} voters");
        assert_eq!(wanted.chain, watch.current.chain, "{count} voters");
        assert!(passed <= REPLACED_WITHIN_MS, "{count} voters: {passed} ms");
    }
}

#[test]
fn a_lost_member_leaves_the_chain_and_is_then_replaced() {
    for count in SIZES {
        for lost in 1..count / 2 + 1 {
            let mut watch = stable(count);
            watch.lose(&[lost]);
            watch.advance(SUCCESSOR_AFTER_MS);
            watch.add(count);
            let passed = watch.wait_until_stable(4000);
            assert_eq!(
                watch.current.voters,
                swapped(count, lost, count),
                "{lost} of {count}"
            );
            assert_eq!(
                watch.current.position(disk(lost)),
                None,
                "{lost} of {count}"
            );
            assert!(
                passed <= REPLACED_WITHIN_MS,
                "{lost} of {count}: {passed} ms"
            );
        }
    }
}

#[test]
fn the_replacement_timeout_follows_the_time_to_catch_up() {
    let gone_after = |catch_up_ms: u64| {
        let mut watch = stable(5);
        watch.set_catch_up_ms(catch_up_ms);
        watch.advance(2000);
        watch.add(5);
        watch.lose(&[4]);
        watch
            .until_wanted(LONG_MS)
            .expect("the lost voter is replaced")
            .1
    };
    let [short, long] = [4000, 8000].map(gone_after);
    assert!(short <= 1000, "{short} ms");
    assert!(long > short && long <= 2000, "{long} ms after {short} ms");
}

#[test]
fn without_a_new_disk_a_lost_voter_keeps_its_vote() {
    for count in SIZES {
        let mut watch = stable(count);
        watch.lose(&[count - 1]);
        assert_eq!(watch.advance(2 * LONG_MS), None, "{count} voters");
    }
}

#[test]
fn a_voter_that_comes_back_in_time_is_not_replaced() {
    let mut watch = stable(3);
    watch.lose(&[2]);
    watch.add(3);
    assert_eq!(watch.advance(900), None, "the silent voter may return");
    watch.add(2);
    let (wanted, _) = watch.until_wanted(LONG_MS).expect("the new disk is added");
    assert_eq!(wanted.voters, voters(&[0, 1, 2, 3]));
}

#[test]
fn lost_voters_are_replaced_one_after_another() {
    for count in [5, 7, 9] {
        let most = count / 2;
        let mut watch = stable(count);
        let lost: Vec<u8> = (count - most..count).collect();
        watch.lose(&lost);
        watch.advance(SUCCESSOR_AFTER_MS);
        let successors: Vec<u8> = (count..count + most).collect();
        successors.iter().for_each(|index| watch.add(*index));
        let passed = watch.wait_until_stable(4000);
        let expected: Vec<DiskId> = (0..count - most).chain(successors).map(disk).collect();
        assert_eq!(disks(&watch.current), expected, "{count} voters");
        assert!(passed <= REPLACED_WITHIN_MS, "{count} voters: {passed} ms");
    }
}

#[test]
fn replacements_one_by_one_renew_all_voters() {
    for count in SIZES {
        let mut watch = stable(count);
        let mut successor = count;
        for lost in 1..count {
            watch.lose(&[lost]);
            watch.advance(SUCCESSOR_AFTER_MS);
            watch.add(successor);
            successor += 1;
            watch.catch_all_up();
            watch.wait_until_stable(4000);
            watch.catch_all_up();
            watch.wait_until_stable(4000);
            assert_eq!(
                watch.current.voters.len(),
                usize::from(count),
                "{count} voters without {lost}"
            );
            assert_eq!(
                watch.current.chain.len(),
                usize::from(count) / 2 + 1,
                "{count} voters without {lost}"
            );
        }
        let expected: Vec<DiskId> = [0].into_iter().chain(count..successor).map(disk).collect();
        assert_eq!(disks(&watch.current), expected, "{count} voters");
    }
}

#[test]
fn a_restarted_proposer_replaces_a_lost_voter_that_never_sent_it_a_heartbeat() {
    for count in SIZES {
        let all = indices(count);
        let chain = &all[..usize::from(count) / 2 + 1];
        let mut watch = Watch::new(0, view(4, &all, chain), &[]).with(&all[..all.len() - 1]);
        watch.add(count);
        let (wanted, passed) = watch
            .until_wanted(LONG_MS)
            .expect("the lost voter is replaced");
        assert_eq!(wanted.voters, swapped(count, count - 1, count));
        assert!(passed <= REPLACED_WITHIN_MS, "{count} voters: {passed} ms");
    }
}

#[test]
fn a_new_disk_of_the_lost_voters_zone_is_preferred() {
    let mut watch = stable(5);
    watch.lose(&[4]);
    watch.add(5);
    watch.add(7);
    let (wanted, _) = watch
        .until_wanted(LONG_MS)
        .expect("the lost voter is replaced");
    assert_eq!(
        wanted.voters,
        swapped(5, 4, 7),
        "machines 4 and 7 are in one zone"
    );
}

#[test]
fn a_replacement_wiped_while_it_catches_up_becomes_a_voter_under_its_new_disk() {
    for count in SIZES {
        let mut watch = stable(count);
        watch.lose(&[count - 1]);
        watch.add(count);
        watch.advance(400);
        let wiped = Voter {
            disk: DiskId(900),
            ..voter(count)
        };
        watch.heartbeat(count).voter = wiped.clone();
        let (wanted, _) = watch
            .until_wanted(LONG_MS)
            .expect("the lost voter is replaced");
        assert_eq!(wanted.voters.last(), Some(&wiped), "{count} voters");
        assert_eq!(wanted.voters.len(), usize::from(count));
    }
}

#[test]
fn a_new_voter_that_is_wiped_is_replaced_by_its_new_disk() {
    for count in SIZES {
        let mut watch = stable(count);
        watch.lose(&[count - 1]);
        watch.add(count);
        watch.wait_until_stable(4000);
        let wiped = Voter {
            disk: DiskId(900),
            ..voter(count)
        };
        watch.heartbeat(count).voter = wiped.clone();
        let passed = watch.wait_until_stable(4000);
        assert_eq!(watch.current.voters.last(), Some(&wiped), "{count} voters");
        assert_eq!(watch.current.voters.len(), usize::from(count));
        assert!(passed <= REPLACED_WITHIN_MS, "{count} voters: {passed} ms");
    }
}

#[test]
fn an_even_number_grows_while_a_voter_is_silent_and_an_odd_one_waits() {
    for count in [4, 6, 8] {
        let mut watch = stable(count);
        watch.lose(&[count - 1]);
        watch.add(count);
        let (wanted, passed) = watch.until_wanted(LONG_MS).expect("the new disk is added");
        assert_eq!(wanted.voters, voters(&indices(count + 1)));
        assert!(
            passed < SETTINGS.catch_up_ms / 4,
            "{passed} ms: before the voter counts as gone"
        );
    }
}

#[test]
fn of_an_even_number_a_voter_that_is_gone_is_replaced_or_removed() {
    for count in [4, 6, 8] {
        let mut replaced = stable(count);
        replaced.lose(&[count - 1]);
        replaced.advance(1000);
        replaced.add(count);
        let (wanted, _) = replaced
            .until_wanted(LONG_MS)
            .expect("the lost voter is replaced");
        assert_eq!(wanted.voters, swapped(count, count - 1, count));
        let mut removed = stable(count);
        removed.lose(&[count - 1]);
        assert_eq!(removed.advance(SETTINGS.catch_up_ms / 2 - STEP_MS), None);
        assert_eq!(
            removed.advance(STEP_MS).map(|view| view.voters),
            Some(voters(&indices(count - 1)))
        );
    }
}

#[test]
fn thirteen_voters_are_the_maximum() {
    let mut watch = stable(13);
    watch.add(13);
    assert_eq!(watch.advance(LONG_MS), None);
    watch.lose(&[12]);
    let (wanted, _) = watch
        .until_wanted(LONG_MS)
        .expect("the lost voter is replaced");
    assert_eq!(wanted.voters, swapped(13, 12, 13));
}

#[test]
fn a_founder_that_is_replaced_before_the_first_view_is_no_founder() {
    let mut watch = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0, 1, 3]);
    let (first, _) = watch
        .until_wanted(LONG_MS)
        .expect("two of three founders agree");
    assert_eq!(first.voters, voters(&[0, 1]));
    watch.adopt(first);
    let (second, _) = watch.until_wanted(LONG_MS).expect("the new disk is added");
    assert_eq!(second.voters, voters(&[0, 1, 3]));
}

#[test]
fn a_founder_that_is_wiped_before_the_first_view_does_not_end_the_founding() {
    let mut watch = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0, 1]);
    watch.advance(300);
    watch.add(2);
    watch.heartbeat(2).voter.disk = DiskId(900);
    let (first, _) = watch.until_wanted(LONG_MS).expect("the founders agree");
    assert_eq!(
        first.voters.len(),
        3,
        "its new disk votes; its address is a founder's, and accepts nothing"
    );
}
