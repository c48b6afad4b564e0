//! Detection of deaths and partitions, and refutation of suspicions after a suspension.

mod common;

use common::{address, zone_of, Network, ZONES};
use lupinrack_cluster_membership::MemberState;

/// The longest time in which all other members have to detect a death, in milliseconds.
const MAX_DETECTION_MS: u64 = 40_000;

#[test]
fn all_members_detect_a_death_at_any_size_and_loss() {
    for (count, loss_percent) in [(5, 0), (5, 30), (40, 10), (40, 30), (300, 0), (300, 10)] {
        let mut network = Network::start(count, loss_percent, 23);
        network.run(60_000);
        let victim = count - 1;
        network.kill(victim);
        let others = network.running();
        let detected_after = network.run_until(MAX_DETECTION_MS, |network| {
            network.observer_count(&others, victim) == 0
        });
        assert!(
            detected_after.is_some(),
            "{count} members, loss of {loss_percent} %"
        );
    }
}

#[test]
fn without_loss_a_death_is_detected_within_seconds() {
    for seed in 0..10 {
        let mut network = Network::start(20, 0, seed);
        network.run(20_000);
        network.kill(13);
        let others = network.running();
        let detected_after =
            network.run_until(20_000, |network| network.observer_count(&others, 13) == 0);
        assert!(detected_after.is_some(), "seed {seed}");
    }
}

#[test]
fn without_loss_no_member_is_considered_dead() {
    let mut network = Network::start(40, 0, 29);
    network.run(20_000);
    let all = network.running();
    for _ in 0..120 {
        network.run(1_000);
        assert!(network.agree_on(&all));
    }
}

#[test]
fn at_a_loss_of_10_percent_no_member_is_considered_dead() {
    for seed in 0..3 {
        let mut network = Network::start(40, 10, seed);
        network.run(40_000);
        let all = network.running();
        for _ in 0..120 {
            network.run(1_000);
            assert!(network.agree_on(&all), "seed {seed}");
        }
    }
}

#[test]
fn at_a_loss_of_30_percent_false_deaths_are_rare() {
    let (count, seconds) = (40, 120);
    let mut network = Network::start(count, 30, 31);
    network.run(60_000);
    let all = network.running();
    let mut missing = 0;
    for _ in 0..seconds {
        network.run(1_000);
        missing += all
            .iter()
            .map(|index| count - network.table_of(*index).len())
            .sum::<usize>();
    }
    let observations = seconds * count * count;
    assert!(
        missing * 1_000 < observations,
        "{missing} of {observations} observations lack a running member"
    );
}

#[test]
fn a_partition_is_detected_on_both_sides_and_heals() {
    let mut network = Network::start(24, 5, 37);
    network.run(30_000);
    let all = network.running();
    let (left, right): (Vec<usize>, Vec<usize>) = all.iter().partition(|index| **index % 2 == 0);
    for index in &right {
        network.move_to_partition(*index, 1);
    }
    let partitioned = network.run_until(90_000, |network| {
        network.agree_on(&left) && network.agree_on(&right)
    });
    assert!(partitioned.is_some());
    for index in &right {
        network.move_to_partition(*index, 0);
    }
    let healed = network.run_until(60_000, |network| network.agree_on(&all));
    assert!(healed.is_some());
}

#[test]
fn a_member_that_forgot_all_others_finds_them_although_its_seeds_are_gone() {
    let mut network = Network::start(12, 0, 43);
    network.run(20_000);
    network.move_to_partition(11, 1);
    let forgotten = network.run_until(600_000, |network| network.swim(11).members().count() == 0);
    assert!(forgotten.is_some(), "the member has not removed all others");
    // Members 0 to 2 are the seeds.
    (0..3).for_each(|seed| network.kill(seed));
    network.move_to_partition(11, 0);
    let others = network.running();
    let reconnected_after = network.run_until(60_000, |network| network.agree_on(&others));
    assert!(reconnected_after.is_some());
}

#[test]
fn sides_of_a_partition_that_removed_each_other_reconnect_by_seeds() {
    let mut network = Network::start(12, 0, 41);
    network.run(20_000);
    let all = network.running();
    for index in 6..12 {
        network.move_to_partition(index, 1);
    }
    network.run(60_000 + network.settings.forget_after_ms);
    assert!(
        network
            .swim(11)
            .members()
            .all(|update| update.address != address(0)),
        "the other side has not been removed from the list"
    );
    for index in 6..12 {
        network.move_to_partition(index, 0);
    }
    assert!(network
        .run_until(60_000, |network| network.agree_on(&all))
        .is_some());
}

#[test]
fn a_partitioned_zone_is_detected_on_both_sides() {
    let mut network = Network::start(18, 0, 43);
    network.run(20_000);
    let (isolated, others): (Vec<usize>, Vec<usize>) = network
        .running()
        .iter()
        .partition(|index| zone_of(**index) == ZONES[1]);
    for index in &isolated {
        network.move_to_partition(*index, 1);
    }
    let detected = network.run_until(90_000, |network| {
        network.agree_on(&others) && network.agree_on(&isolated)
    });
    assert!(detected.is_some());
}

#[test]
fn suspicions_during_a_suspension_are_refuted_after_it() {
    for suspended_ms in [2_000, 6_000, 30_000] {
        let mut network = Network::start(20, 0, 47);
        network.run(20_000);
        let all = network.running();
        network.suspend(9);
        network.run(suspended_ms);
        network.resume(9);
        let refuted_after = network.run_until(15_000, |network| network.agree_on(&all));
        assert!(refuted_after.is_some(), "suspended for {suspended_ms} ms");
        network.run(15_000);
        assert!(network.agree_on(&all), "a late suspicion spread");
    }
}

#[test]
fn a_process_that_was_suspended_considers_no_member_dead() {
    let mut network = Network::start(20, 0, 53);
    network.run(20_000);
    let all = network.running();
    network.suspend(9);
    network.run(20_000);
    network.resume(9);
    for _ in 0..300 {
        network.run(100);
        assert_eq!(network.table_of(9).len(), all.len());
    }
}

#[test]
fn the_death_of_half_the_members_is_detected() {
    let mut network = Network::start(40, 0, 59);
    network.run(30_000);
    for index in (1..40).step_by(2) {
        network.kill(index);
    }
    let others = network.running();
    let detected_after = network.run_until(90_000, |network| network.agree_on(&others));
    assert!(detected_after.is_some());
}

#[test]
fn a_broken_link_causes_no_suspicion() {
    let mut network = Network::start(12, 0, 71);
    network.run(20_000);
    network.break_link(3, 6);
    network.break_link(3, 9);
    for _ in 0..600 {
        network.run(100);
        for index in network.running() {
            let alive = network
                .swim(index)
                .members()
                .all(|update| update.state == MemberState::Alive);
            assert!(
                alive,
                "a member is suspected although ping requests reach it"
            );
        }
    }
}
