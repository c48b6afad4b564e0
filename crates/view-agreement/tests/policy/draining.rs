//! Draining processes: they leave the chain, hand over their votes, and end once they are no longer needed.

use crate::common::{disk, view, voter, voters};
use crate::watch::{Watch, SETTINGS};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::View;

/// Milliseconds after the first heartbeat of a draining process within which it has to leave the chain.
const AT_ONCE_MS: u64 = 100;
/// Longer than every delay of the policy.
const LONG_MS: u64 = 30_000;

fn chain(view: &View) -> Vec<DiskId> {
    view.chain.clone()
}

/// A stable view with this many voters, of which the first form the chain, as seen from machine `me`.
fn stable(me: u8, count: u8) -> Watch {
    let all: Vec<u8> = (0..count).collect();
    let mut watch =
        Watch::new(me, view(4, &all, &all[..usize::from(count) / 2 + 1]), &[]).with(&all);
    assert_eq!(watch.advance(2000), None);
    watch
}

#[test]
fn a_draining_member_is_out_of_the_chain_at_once_where_enough_remain() {
    for count in [5, 7, 9] {
        let mut watch = stable(0, count);
        watch.heartbeat(1).draining = true;
        let (wanted, _) = watch.until_wanted(AT_ONCE_MS).expect("it leaves the chain");
        let expected: Vec<DiskId> = (0..count / 2 + 1)
            .filter(|member| *member != 1)
            .map(disk)
            .collect();
        assert_eq!(chain(&wanted), expected);
        assert_eq!(wanted.voters, watch.current.voters);
    }
}

#[test]
fn a_spare_joins_in_the_view_in_which_a_draining_member_leaves() {
    for count in [3, 5, 7, 9] {
        let mut watch = stable(0, count);
        watch.heartbeat(count - 1).replica.caught_up = true;
        watch.heartbeat(1).draining = true;
        let (wanted, _) = watch.until_wanted(AT_ONCE_MS).expect("it leaves the chain");
        assert_eq!(wanted.chain.len(), usize::from(count) / 2 + 1);
        assert_eq!(wanted.chain.last(), Some(&disk(count - 1)));
        assert_eq!(wanted.position(disk(1)), None);
    }
}

#[test]
fn a_draining_head_leaves_the_proposal_to_the_next_member() {
    let mut head = stable(0, 5);
    head.heartbeat(0).draining = true;
    assert_eq!(head.advance(LONG_MS), None);
    let mut next = stable(1, 5);
    next.heartbeat(0).draining = true;
    let (wanted, _) = next
        .until_wanted(AT_ONCE_MS)
        .expect("the next member takes over");
    assert_eq!(chain(&wanted), [1, 2].map(disk));
}

#[test]
fn a_draining_member_stays_while_too_few_would_remain() {
    let mut three = stable(0, 3);
    three.heartbeat(1).draining = true;
    assert_eq!(three.advance(LONG_MS), None);
    for (tolerated, stays) in [(1, false), (2, true)] {
        let mut five =
            Watch::new(0, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).tolerating(tolerated);
        five = five.with(&[0, 1, 2, 3, 4]);
        five.advance(2000);
        five.heartbeat(2).draining = true;
        assert_eq!(
            five.advance(LONG_MS).is_none(),
            stays,
            "{tolerated} tolerated losses"
        );
    }
}

#[test]
fn the_only_member_that_has_everything_stays() {
    let mut watch = stable(1, 5);
    watch.heartbeat(1).replica.complete = false;
    watch.heartbeat(2).replica.complete = false;
    watch.heartbeat(0).draining = true;
    assert_eq!(watch.advance(LONG_MS), None);
    watch.heartbeat(2).replica.complete = true;
    let (wanted, _) = watch
        .until_wanted(AT_ONCE_MS)
        .expect("another has everything now");
    assert_eq!(chain(&wanted), [2, 1].map(disk));
}

#[test]
fn a_draining_voter_keeps_its_vote_without_a_new_disk() {
    for count in [3, 5, 7, 9] {
        let mut watch = stable(0, count);
        watch.heartbeat(count - 1).draining = true;
        assert_eq!(watch.advance(1000), None, "{count} voters");
        watch.lose(&[count - 1]);
        assert_eq!(watch.advance(LONG_MS), None, "{count} voters");
        watch.add(count - 1);
        assert_eq!(watch.advance(LONG_MS), None, "{count} voters");
    }
}

#[test]
fn a_new_disk_takes_the_vote_of_a_draining_voter_that_is_still_alive() {
    for count in [3, 5, 7, 9] {
        let mut watch = stable(0, count);
        watch.lose(&[count - 1]);
        watch.add(count);
        watch.wait_until_stable(4000);
        watch.add(count - 1);
        watch.catch_all_up();
        watch.heartbeat(count - 2).draining = true;
        let passed = watch.wait_until_stable(4000);
        assert_eq!(watch.current.voter(disk(count - 2)), None, "{count} voters");
        assert_eq!(watch.current.voters.len(), usize::from(count));
        assert!(passed <= 1000, "{count} voters: {passed} ms");
    }
}

#[test]
fn a_draining_voter_that_has_ended_is_replaced_by_the_next_new_disk_at_once() {
    let mut watch = stable(0, 5);
    watch.heartbeat(4).draining = true;
    watch.advance(500);
    watch.lose(&[4]);
    watch.advance(100);
    watch.add(5);
    let (wanted, passed) = watch.until_wanted(LONG_MS).expect("it is replaced");
    assert_eq!(wanted.voters, voters(&[0, 1, 2, 3, 5]));
    assert!(
        passed <= 600,
        "{passed} ms: as soon as the new disk is stable"
    );
}

#[test]
fn of_an_even_number_a_draining_voter_is_removed_before_it_ends() {
    for count in [4, 6, 8, 10] {
        let mut watch = stable(0, count);
        watch.heartbeat(1).draining = true;
        watch.heartbeat(count - 1).replica.caught_up = true;
        watch.wait_until_stable(2000);
        let expected: Vec<_> = (0..count).filter(|index| *index != 1).map(voter).collect();
        assert_eq!(watch.current.voters, expected, "{count} voters");
    }
}

#[test]
fn a_lost_voter_is_replaced_before_one_that_is_draining() {
    for count in [5, 7, 9] {
        let mut watch = stable(0, count);
        watch.lose(&[count - 1]);
        watch.heartbeat(count - 2).draining = true;
        watch.add(count);
        let passed = watch.wait_until_stable(4000);
        assert_eq!(watch.current.voter(disk(count - 1)), None, "{count} voters");
        assert!(
            watch.current.voter(disk(count - 2)).is_some(),
            "{count} voters"
        );
        assert!(
            passed <= SETTINGS.catch_up_ms / 2,
            "{count} voters: {passed} ms"
        );
        watch.add(count + 1);
        watch.wait_until_stable(4000);
        assert_eq!(watch.current.voter(disk(count - 2)), None, "{count} voters");
    }
}

#[test]
fn a_draining_process_becomes_neither_voter_nor_member() {
    let mut watch = stable(0, 3);
    watch.add(3);
    watch.heartbeat(3).draining = true;
    assert_eq!(watch.advance(LONG_MS), None);
    let mut spare = Watch::new(0, view(4, &[0, 1, 2], &[0]), &[]).with(&[0, 1, 2]);
    spare.heartbeat(1).replica.caught_up = true;
    spare.heartbeat(1).draining = true;
    assert_eq!(spare.advance(LONG_MS), None);
}

/// Whether machine `index`, which is draining, may end.
fn may_shut_down(watch: &Watch, index: u8) -> bool {
    watch
        .policy
        .may_shut_down(&watch.current, &voter(index), watch.now)
}

#[test]
fn a_member_may_end_once_enough_others_have_everything() {
    for count in [3, 5, 7, 9] {
        let mut watch = stable(1, count);
        watch.catch_all_up();
        watch.heartbeat(1).draining = true;
        watch.advance(500);
        assert!(
            !may_shut_down(&watch, 1),
            "{count} voters: it is in the chain"
        );
        let members: Vec<u8> = (0..count / 2 + 2).filter(|member| *member != 1).collect();
        watch.adopt(view(5, &(0..count).collect::<Vec<u8>>(), &members));
        let incomplete = &members[1..];
        incomplete
            .iter()
            .for_each(|member| watch.heartbeat(*member).replica.complete = false);
        watch.advance(500);
        assert!(
            !may_shut_down(&watch, 1),
            "{count} voters: one other has everything"
        );
        incomplete
            .iter()
            .for_each(|member| watch.heartbeat(*member).replica.complete = true);
        watch.advance(50);
        assert!(may_shut_down(&watch, 1), "{count} voters");
    }
}

#[test]
fn a_spare_does_not_end_while_a_member_is_lost() {
    let mut watch = stable(2, 3);
    watch.heartbeat(2).draining = true;
    watch.advance(50);
    assert!(may_shut_down(&watch, 2));
    watch.lose(&[1]);
    watch.advance(1000);
    assert!(
        !may_shut_down(&watch, 2),
        "only one other disk has everything"
    );
}

#[test]
fn a_voter_waits_for_its_replacement() {
    let mut watch = stable(4, 5);
    watch.add(5);
    watch.heartbeat(4).draining = true;
    watch.advance(600);
    assert!(
        !may_shut_down(&watch, 4),
        "the new disk is about to take its vote"
    );
    watch.adopt(view(5, &[0, 1, 2, 3, 5], &[0, 1, 2]));
    watch.advance(50);
    assert!(may_shut_down(&watch, 4));
}

#[test]
fn the_only_voter_may_end_at_once() {
    let watch = Watch::new(0, view(4, &[0], &[0]), &[])
        .tolerating(0)
        .with(&[0]);
    assert!(may_shut_down(&watch, 0));
}
