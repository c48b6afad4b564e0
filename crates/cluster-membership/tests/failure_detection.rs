//! Deaths, cuts and freezes: what is noticed when, and what is taken back.

mod common;

use common::{address, zone_of, Network, ZONES};
use lupinrack_cluster_membership::MemberState;

/// A death has been noticed by all after so long, in milliseconds.
const DETECT_MS: u64 = 40_000;

#[test]
fn a_death_is_noticed_by_all_at_any_size_and_loss() {
    for (count, loss_percent) in [(5, 0), (5, 30), (40, 10), (40, 30), (300, 0), (300, 10)] {
        let mut network = Network::start(count, loss_percent, 23);
        network.run(60_000);
        let victim = count - 1;
        network.kill(victim);
        let rest = network.running();
        let took = network.run_until(DETECT_MS, |network| network.holders(&rest, victim) == 0);
        assert!(took.is_some(), "{count} members, loss of {loss_percent} %");
    }
}

#[test]
fn without_loss_a_death_is_noticed_within_seconds() {
    for seed in 0..10 {
        let mut network = Network::start(20, 0, seed);
        network.run(20_000);
        network.kill(13);
        let rest = network.running();
        let took = network.run_until(20_000, |network| network.holders(&rest, 13) == 0);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn nobody_is_held_for_dead_without_loss() {
    let mut network = Network::start(40, 0, 29);
    network.run(20_000);
    let all = network.running();
    for _ in 0..120 {
        network.run(1_000);
        assert!(network.agree_on(&all));
    }
}

#[test]
fn at_a_loss_of_a_tenth_nobody_is_held_for_dead() {
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
fn at_a_loss_of_three_tenths_wrong_deaths_are_rare() {
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
    let looks = seconds * count * count;
    assert!(
        missing * 1_000 < looks,
        "{missing} of {looks} looks did not find a living member"
    );
}

#[test]
fn a_cut_is_noticed_on_both_sides_and_heals() {
    let mut network = Network::start(24, 5, 37);
    network.run(30_000);
    let all = network.running();
    let (left, right): (Vec<usize>, Vec<usize>) = all.iter().partition(|index| **index % 2 == 0);
    for index in &right {
        network.move_to_island(*index, 1);
    }
    let parted = network.run_until(90_000, |network| {
        network.agree_on(&left) && network.agree_on(&right)
    });
    assert!(parted.is_some());
    for index in &right {
        network.move_to_island(*index, 0);
    }
    let healed = network.run_until(60_000, |network| network.agree_on(&all));
    assert!(healed.is_some());
}

#[test]
fn halves_that_forgot_each_other_find_each_other_by_the_seeds() {
    let mut network = Network::start(12, 0, 41);
    network.run(20_000);
    let all = network.running();
    for index in 6..12 {
        network.move_to_island(index, 1);
    }
    network.run(60_000 + network.settings.forget_after_ms);
    assert!(
        network
            .swim(11)
            .members()
            .all(|update| update.address != address(0)),
        "forgotten"
    );
    for index in 6..12 {
        network.move_to_island(index, 0);
    }
    assert!(network
        .run_until(60_000, |network| network.agree_on(&all))
        .is_some());
}

#[test]
fn the_cut_of_a_whole_zone_is_noticed() {
    let mut network = Network::start(18, 0, 43);
    network.run(20_000);
    let (cut, rest): (Vec<usize>, Vec<usize>) = network
        .running()
        .iter()
        .partition(|index| zone_of(**index) == ZONES[1]);
    for index in &cut {
        network.move_to_island(*index, 1);
    }
    let noticed = network.run_until(90_000, |network| {
        network.agree_on(&rest) && network.agree_on(&cut)
    });
    assert!(noticed.is_some());
}

#[test]
fn a_freeze_is_refuted_after_waking() {
    for suspended_after_ms in [2_000, 6_000, 30_000] {
        let mut network = Network::start(20, 0, 47);
        network.run(20_000);
        let all = network.running();
        network.freeze(9);
        network.run(suspended_after_ms);
        network.thaw(9);
        let back = network.run_until(15_000, |network| network.agree_on(&all));
        assert!(back.is_some(), "frozen for {suspended_after_ms} ms");
        network.run(15_000);
        assert!(network.agree_on(&all), "nothing of it is left");
    }
}

#[test]
fn who_was_frozen_does_not_take_others_for_dead() {
    let mut network = Network::start(20, 0, 53);
    network.run(20_000);
    let all = network.running();
    network.freeze(9);
    network.run(20_000);
    network.thaw(9);
    for _ in 0..300 {
        network.run(100);
        assert_eq!(network.table_of(9).len(), all.len());
    }
}

#[test]
fn the_death_of_half_is_noticed() {
    let mut network = Network::start(40, 0, 59);
    network.run(30_000);
    for index in (1..40).step_by(2) {
        network.kill(index);
    }
    let rest = network.running();
    let took = network.run_until(90_000, |network| network.agree_on(&rest));
    assert!(took.is_some());
}

#[test]
fn a_broken_link_makes_nobody_a_suspect() {
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
            assert!(alive, "helpers reach whom a member does not reach itself");
        }
    }
}
