//! Tests of single rules by which views are proposed.

use crate::common::{address, disk, view, voter, voters};
use crate::watch::{Watch, SETTINGS, STEP_MS};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::{View, Voter};

fn of_three() -> View {
    view(4, &[0, 1, 2], &[0, 1])
}

#[test]
fn no_view_is_proposed_without_a_fault() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    assert_eq!(watch.advance(30_000), None);
}

#[test]
fn founding_begins_at_once_when_all_founders_are_present() {
    let mut watch = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0, 1]);
    assert_eq!(watch.advance(300), None);
    watch.add(2);
    assert_eq!(watch.advance(STEP_MS), Some(view(1, &[0, 1, 2], &[0, 1])));
}

#[test]
fn founding_goes_on_without_a_minority_after_a_while() {
    let mut watch = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0, 1]);
    assert_eq!(watch.advance(500), None);
    assert_eq!(watch.advance(200), Some(view(1, &[0, 1], &[0, 1])));
    let mut alone = Watch::new(0, View::default(), &[0, 1, 2]).with(&[0]);
    assert_eq!(alone.advance(30_000), None);
}

/// Guards against a second view whose only purpose is another order while the first members sync that they are complete.
#[test]
fn the_head_of_the_first_view_has_time_to_become_complete() {
    let mut watch = Watch::new(0, view(1, &[0, 1, 2], &[0, 1]), &[]).with(&[0, 1, 2]);
    watch.heartbeat(0).replica.complete = false;
    assert_eq!(watch.advance(1_500), None);
    watch.heartbeat(0).replica.complete = true;
    assert_eq!(watch.advance(5_000), None);
    watch.heartbeat(0).replica.complete = false;
    let (wanted, _) = watch.until_wanted(5_000).expect("another head");
    assert_eq!(wanted.chain, [1, 0].map(disk));
}

#[test]
fn founding_is_for_founders() {
    let mut stranger = Watch::new(3, View::default(), &[0, 1, 2]).with(&[0, 1, 2, 3]);
    assert_eq!(stranger.advance(2000), None);
    let mut replaced = Watch::new(0, View::default(), &[]).with(&[0, 1, 2]);
    assert_eq!(replaced.advance(2000), None);
}

#[test]
fn a_founding_chain_is_spread_over_zones() {
    let mut watch = Watch::new(0, View::default(), &[0, 1, 2, 3, 4]).with(&[0, 1, 2, 3, 4]);
    watch.heartbeat(1).voter.zone = "zone-0".to_string();
    let chain = watch
        .advance(STEP_MS)
        .expect("all founders are there")
        .chain;
    assert_eq!(chain, [0, 2, 4].map(disk));
}

#[test]
fn a_silent_member_leaves_the_chain() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.heartbeats.remove(&1);
    assert_eq!(watch.advance(SETTINGS.suspect_after_ms - STEP_MS), None);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0])));
}

#[test]
fn a_spare_that_has_caught_up_joins_in_the_same_view() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.heartbeat(2).replica.caught_up = true;
    watch.advance(1000);
    watch.heartbeats.remove(&1);
    assert_eq!(watch.advance(1000), Some(view(5, &[0, 1, 2], &[0, 2])));
}

#[test]
fn a_spare_joins_only_when_it_has_caught_up_in_the_current_view() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2], &[0]), &[]).with(&[0, 1, 2]);
    assert_eq!(watch.advance(1000), None);
    watch.heartbeat(2).replica.caught_up = true;
    watch.heartbeat(2).view_number = 3;
    assert_eq!(watch.advance(1000), None);
    watch.heartbeat(2).view_number = 4;
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0, 2])));
}

#[test]
fn a_spare_of_another_zone_is_preferred() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2], &[0]), &[]).with(&[0, 1, 2]);
    watch.heartbeat(1).replica.caught_up = true;
    watch.heartbeat(2).replica.caught_up = true;
    for voter in &mut watch.current.voters[..2] {
        voter.zone = "zone-0".to_string();
    }
    assert_eq!(
        watch.advance(STEP_MS).expect("a spare joins").chain,
        [0, 2].map(disk)
    );
}

#[test]
fn a_closed_connection_shortens_the_timeout() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.heartbeats.remove(&1);
    watch.policy.connection_reset(address(1));
    assert_eq!(watch.advance(300), None);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0])));
}

/// The minimum timeout in the tests of observed gaps, in milliseconds.
const LEAST_MS: u64 = 350;
/// Milliseconds of timely heartbeats after which earlier gaps have decayed.
const LONG_IN_TIME_MS: u64 = 15_000;

#[test]
fn a_process_whose_heartbeats_came_in_time_is_suspected_sooner() {
    let mut watch = Watch::new(0, of_three(), &[])
        .with(&[0, 1, 2])
        .suspecting_after(LEAST_MS);
    watch.advance(LONG_IN_TIME_MS);
    watch.heartbeats.remove(&1);
    assert_eq!(watch.advance(LEAST_MS - STEP_MS), None);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0])));
}

#[test]
fn a_process_with_few_observations_has_the_longest_timeout() {
    let mut watch = Watch::new(0, of_three(), &[])
        .with(&[0, 1, 2])
        .suspecting_after(LEAST_MS);
    watch.advance(500);
    watch.heartbeats.remove(&1);
    assert_eq!(watch.advance(LEAST_MS), None);
    assert!(watch
        .advance(SETTINGS.suspect_after_ms - LEAST_MS)
        .is_some());
}

#[test]
fn a_gap_between_heartbeats_lengthens_the_timeout() {
    let mut watch = Watch::new(0, of_three(), &[])
        .with(&[0, 1, 2])
        .suspecting_after(LEAST_MS);
    watch.advance(LONG_IN_TIME_MS);
    let late = watch.heartbeats.remove(&1).expect("the machine is there");
    assert_eq!(watch.advance(LEAST_MS - STEP_MS), None);
    watch.heartbeats.insert(1, late);
    watch.advance(STEP_MS);
    watch.heartbeats.remove(&1);
    assert_eq!(watch.advance(SETTINGS.suspect_after_ms - STEP_MS), None);
    assert!(watch.advance(STEP_MS).is_some());
}

#[test]
fn a_process_that_just_started_suspects_no_other() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 2]);
    assert_eq!(watch.advance(SETTINGS.suspect_after_ms), None);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0])));
}

#[test]
fn a_process_that_stalled_suspects_no_other() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.now = watch.now.plus(5000);
    assert_eq!(watch.view_to_propose_now(), None);
    watch.heartbeats.remove(&1);
    assert_eq!(watch.advance(400), None);
    assert!(watch.advance(400).is_some());
}

#[test]
fn without_a_majority_no_view_is_proposed() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.heartbeats.remove(&1);
    watch.heartbeats.remove(&2);
    assert_eq!(watch.advance(60_000), None);
}

#[test]
fn without_any_member_of_the_chain_no_view_is_proposed() {
    let mut watch = Watch::new(1, view(4, &[0, 1, 2], &[0]), &[]).with(&[0, 1, 2]);
    watch.heartbeat(1).replica.caught_up = true;
    watch.heartbeat(2).replica.caught_up = true;
    watch.current.chain = vec![disk(0)];
    watch.heartbeats.remove(&0);
    assert_eq!(watch.advance(60_000), None);
}

#[test]
fn a_process_that_is_not_a_voter_or_has_an_unhealthy_disk_proposes_nothing() {
    let mut stranger = Watch::new(3, of_three(), &[]).with(&[0, 2, 3]);
    assert_eq!(stranger.advance(5000), None);
    let mut unhealthy = Watch::new(0, of_three(), &[]).with(&[0, 2]);
    unhealthy.heartbeat(0).healthy = false;
    assert_eq!(unhealthy.advance(5000), None);
}

#[test]
fn proposers_take_turns_by_their_place_in_the_chain() {
    let turn_of = |me: u8| {
        let mut watch =
            Watch::new(me, view(4, &[0, 1, 2, 3, 4], &[2, 0, 1]), &[]).with(&[0, 1, 3, 4]);
        let mut waited = 0;
        while watch.advance(STEP_MS).is_none() {
            waited += STEP_MS;
        }
        waited
    };
    let first = turn_of(0);
    assert_eq!([1, 3, 4].map(|me| turn_of(me) - first), [300, 3600, 3900]);
}

#[test]
fn a_process_outside_the_chain_proposes_at_once_where_no_member_can() {
    let mut watch = Watch::new(2, of_three(), &[]).with(&[0, 1, 2]);
    watch.heartbeat(2).replica.caught_up = true;
    watch.heartbeat(0).healthy = false;
    watch.advance(1000);
    watch.heartbeats.remove(&1);
    assert_eq!(
        watch.advance(SETTINGS.suspect_after_ms),
        Some(view(5, &[0, 1, 2], &[0, 2]))
    );
}

#[test]
fn a_process_that_receives_nothing_counts_as_lost_although_its_heartbeats_arrive() {
    let mut watch = Watch::new(1, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(2000);
    watch.heartbeat(0).receives = false;
    let unacknowledged_after_ms = SETTINGS.suspect_after_ms + 2 * SETTINGS.heartbeat_ms;
    assert_eq!(watch.advance(unacknowledged_after_ms - STEP_MS), None);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[1])));
}

#[test]
fn a_process_that_receives_nothing_has_a_while_to_acknowledge_after_its_start() {
    let mut watch = Watch::new(1, of_three(), &[]).with(&[1, 2]);
    watch.advance(600);
    watch.add(0);
    watch.heartbeat(0).receives = false;
    let unacknowledged_after_ms = SETTINGS.suspect_after_ms + 2 * SETTINGS.heartbeat_ms;
    assert_eq!(watch.advance(unacknowledged_after_ms), None);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[1])));
}

#[test]
fn an_acknowledgement_of_a_future_heartbeat_counts_as_one_of_the_present() {
    let mut watch = Watch::new(1, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(2000);
    watch.heartbeat(0).receives = false;
    watch.heartbeat(0).claims_to_receive_later_ms = 60_000;
    watch.advance(STEP_MS);
    watch.heartbeat(0).claims_to_receive_later_ms = 0;
    watch.heartbeat(0).receives = true;
    assert_eq!(
        watch.advance(5000),
        None,
        "the acknowledgements that follow are newer than the present one"
    );
    watch.heartbeat(0).receives = false;
    assert!(
        watch.advance(2000).is_some(),
        "an acknowledgement from the future counts only as one of the present"
    );
}

#[test]
fn of_two_members_that_report_no_link_the_farther_one_is_removed() {
    let mut watch =
        Watch::new(0, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3, 4]);
    watch.heartbeat(4).replica.caught_up = true;
    watch.advance(2000);
    watch.heartbeat(1).reported_unlinked.push(2);
    assert_eq!(watch.advance(5000), None, "one report may be old");
    watch.heartbeat(2).reported_unlinked.push(1);
    assert_eq!(
        watch.advance(STEP_MS).map(|view| view.chain),
        Some([0, 1, 4].map(disk).to_vec())
    );
}

#[test]
fn a_report_of_a_process_that_just_started_proves_no_missing_link() {
    let mut watch =
        Watch::new(0, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3, 4]);
    watch.break_link(1, 2);
    assert_eq!(watch.advance(SETTINGS.suspect_after_ms), None);
    assert!(watch.advance(1000).is_some());
}

#[test]
fn a_member_that_its_neighbour_reaches_stays_although_the_head_does_not_reach_it() {
    let mut watch =
        Watch::new(0, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3, 4]);
    watch.heartbeat(4).replica.caught_up = true;
    watch.advance(2000);
    watch.break_link(0, 2);
    watch.heartbeat(2).receives = false;
    assert_eq!(watch.advance(5000), None);
    watch.break_link(1, 2);
    assert_eq!(
        watch.advance(STEP_MS).map(|view| view.chain),
        Some([0, 1, 4].map(disk).to_vec())
    );
}

#[test]
fn a_proposer_keeps_itself_and_drops_the_neighbour_that_does_not_receive_it() {
    let mut watch =
        Watch::new(2, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3, 4]);
    watch.heartbeat(4).replica.caught_up = true;
    watch.advance(2000);
    watch.heartbeat(1).receives = false;
    let (wanted, _) = watch.until_wanted(5000).expect("the neighbour leaves");
    assert_eq!(wanted.chain, [0, 2, 4].map(disk));
}

#[test]
fn a_process_outside_the_chain_removes_nobody_that_a_member_reaches() {
    let mut watch = Watch::new(2, of_three(), &[]).with(&[0, 1, 2]);
    watch.heartbeat(2).replica.caught_up = true;
    watch.advance(2000);
    watch.heartbeat(0).receives = false;
    assert_eq!(watch.advance(20_000), None);
}

#[test]
fn a_member_that_reaches_no_majority_is_not_waited_for() {
    let mut watch =
        Watch::new(3, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3, 4]);
    watch.heartbeat(3).replica.caught_up = true;
    watch.heartbeat(4).replica.caught_up = true;
    watch.advance(2000);
    watch.lose(&[1, 2]);
    watch.heartbeat(0).reported_unlinked = vec![1, 2];
    watch.break_link(0, 4);
    let (wanted, passed) = watch
        .until_wanted(10_000)
        .expect("the process outside the chain proposes");
    assert_eq!(wanted.chain, [0, 3, 4].map(disk));
    assert!(
        passed <= SETTINGS.suspect_after_ms + 2 * STEP_MS,
        "{passed} ms"
    );
}

#[test]
fn a_spare_that_all_members_reach_is_preferred() {
    let all = [0, 1, 2, 3, 4, 5, 6];
    let mut watch = Watch::new(0, view(4, &all, &[0, 1, 2, 3]), &[]).with(&all);
    watch.catch_all_up();
    watch.advance(2000);
    // By its zone alone, this spare would be preferred.
    watch.break_link(2, 4);
    watch.lose(&[1]);
    let (wanted, _) = watch.until_wanted(5000).expect("the lost member leaves");
    assert_eq!(wanted.chain, [0, 2, 3, 5].map(disk));
}

#[test]
fn a_voter_that_another_reaches_keeps_its_vote() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(2000);
    watch.heartbeat(2).receives = false;
    watch.break_link(0, 2);
    watch.add(3);
    assert_eq!(watch.advance(20_000), None);
    watch.break_link(1, 2);
    let (wanted, _) = watch.until_wanted(20_000).expect("it is replaced");
    assert_eq!(wanted.voters, voters(&[0, 1, 3]));
}

#[test]
fn an_unhealthy_disk_leaves_only_while_enough_remain() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.heartbeat(1).healthy = false;
    assert_eq!(watch.advance(5000), None);
    watch.heartbeat(2).replica.caught_up = true;
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0, 2])));

    let mut longer =
        Watch::new(0, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3, 4]);
    longer.heartbeat(1).healthy = false;
    assert_eq!(longer.advance(400), None);
    assert_eq!(
        longer.advance(100).map(|view| view.chain),
        Some([0, 2].map(disk).to_vec())
    );
}

#[test]
fn new_processes_are_added_one_at_a_time_once_they_are_stable() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2, 3, 4]);
    assert_eq!(watch.advance(500), None);
    assert_eq!(
        watch.advance(STEP_MS),
        Some(view(5, &[0, 1, 2, 3], &[0, 1]))
    );
}

#[test]
fn a_new_process_is_added_while_another_is_gone() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2, 3], &[0, 1, 2]), &[]).with(&[0, 1, 2, 4]);
    assert_eq!(watch.advance(1000).map(|view| view.voters.len()), Some(5));
}

#[test]
fn there_are_never_more_than_thirteen_voters() {
    let thirteen: Vec<u8> = (0..13).collect();
    let fourteen: Vec<u8> = (0..14).collect();
    let mut watch = Watch::new(0, view(4, &thirteen, &thirteen[..7]), &[]).with(&fourteen);
    assert_eq!(watch.advance(5000), None);
}

#[test]
fn a_new_disk_takes_the_place_of_the_old_one_at_its_address() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    let new = Voter {
        disk: DiskId(77),
        ..voter(2)
    };
    watch.heartbeat(2).voter = new.clone();
    let wanted = watch.advance(1000).expect("the disk is exchanged");
    assert_eq!(wanted.voters, [voter(0), voter(1), new]);
    assert_eq!(wanted.chain, [0, 1].map(disk));
}

#[test]
fn a_member_of_the_chain_whose_disk_is_new_leaves_the_chain_first() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.heartbeat(1).voter.disk = DiskId(77);
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0])));
    watch.current = view(5, &[0, 1, 2], &[0]);
    for index in 0..3 {
        watch.heartbeat(index).view_number = 5;
    }
    let wanted = watch.advance(1000).expect("the disk is exchanged");
    assert_eq!(
        wanted.voter(DiskId(77)).map(|voter| voter.address),
        Some(address(1))
    );
    assert_eq!(wanted.voter(disk(1)), None);
}

#[test]
fn voters_that_are_long_gone_leave_an_even_number_of_at_least_four() {
    let mut four = Watch::new(0, view(4, &[0, 1, 2, 3], &[0, 1, 2]), &[]).with(&[0, 1, 2]);
    four.advance(STEP_MS);
    assert_eq!(four.advance(SETTINGS.catch_up_ms / 2 - STEP_MS), None);
    assert_eq!(
        four.advance(STEP_MS).map(|view| view.voters),
        Some(voters(&[0, 1, 2]))
    );
    let mut five = Watch::new(0, view(4, &[0, 1, 2, 3, 4], &[0, 1, 2]), &[]).with(&[0, 1, 2, 3]);
    assert_eq!(five.advance(60_000), None);
    let mut three = Watch::new(0, of_three(), &[]).with(&[0, 1]);
    assert_eq!(three.advance(60_000), None);
}

#[test]
fn a_complete_member_becomes_head_before_an_incomplete_one() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2], &[0, 1]), &[]).with(&[0, 1, 2]);
    watch.heartbeat(0).replica.complete = false;
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[1, 0])));
    watch.heartbeat(1).replica.complete = false;
    assert_eq!(watch.advance(5000), None);
}

#[test]
fn the_proposer_waits_for_a_head_that_has_not_reported_in_the_current_view() {
    let mut watch = Watch::new(1, view(4, &[0, 1, 2], &[0, 1]), &[]).with(&[0, 1, 2]);
    watch.heartbeat(0).view_number = 3;
    assert_eq!(watch.advance(5000), None);
}

#[test]
fn a_report_of_an_older_view_is_not_used_in_the_next_one() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2], &[0, 1]), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.current = view(5, &[0, 1, 2], &[0, 1]);
    watch.heartbeat(1).view_number = 5;
    assert_eq!(watch.advance(5000), None);
    watch.heartbeat(0).view_number = 5;
    watch.heartbeat(0).replica.complete = false;
    assert_eq!(watch.advance(STEP_MS), Some(view(6, &[0, 1, 2], &[1, 0])));
}

#[test]
fn a_head_that_cannot_continue_gets_a_view_with_the_same_chain() {
    let mut watch = Watch::new(0, of_three(), &[]).with(&[0, 1, 2]);
    watch.heartbeat(0).replica.needs_view = true;
    assert_eq!(watch.advance(STEP_MS), Some(view(5, &[0, 1, 2], &[0, 1])));
}
