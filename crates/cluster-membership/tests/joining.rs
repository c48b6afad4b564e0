//! Members join, restart and leave.

mod common;

use common::{address, Network};
use quickcheck::{QuickCheck, TestResult};

/// The longest time in which members that start together have to learn of each other, in milliseconds.
fn max_join_ms(count: usize) -> u64 {
    10_000 + 250 * count as u64
}

fn assert_joins(count: usize, loss_percent: u64) {
    let mut network = Network::start(count, loss_percent, 11);
    let all = network.running();
    let agreed_after = network.run_until(max_join_ms(count), |network| network.agree_on(&all));
    assert!(
        agreed_after.is_some(),
        "{count} members did not all find each other at a loss of {loss_percent} %"
    );
}

#[test]
fn five_members_find_each_other_at_any_loss() {
    for loss_percent in [0, 10, 20, 30] {
        assert_joins(5, loss_percent);
    }
}

#[test]
fn many_members_find_each_other() {
    assert_joins(40, 0);
    assert_joins(100, 10);
    assert_joins(300, 0);
}

#[test]
fn a_single_member_knows_itself() {
    let mut network = Network::start(1, 0, 3);
    network.run(5_000);
    assert!(network.agree_on(&[0]));
}

#[test]
fn members_find_each_other_at_random_sizes_and_losses() {
    fn property(count: u8, loss: u8, seed: u64) -> TestResult {
        let (count, loss_percent) = (2 + usize::from(count) % 30, u64::from(loss) % 31);
        let mut network = Network::start(count, loss_percent, seed);
        let all = network.running();
        let agreed_after = network.run_until(60_000, |network| network.agree_on(&all));
        TestResult::from_bool(agreed_after.is_some())
    }
    QuickCheck::new()
        .tests(25)
        .quickcheck(property as fn(u8, u8, u64) -> TestResult);
}

#[test]
fn a_late_member_and_all_others_find_each_other() {
    let mut network = Network::start(60, 10, 5);
    network.run(30_000);
    network.add();
    let all = network.running();
    let agreed_after = network.run_until(15_000, |network| network.agree_on(&all));
    assert!(agreed_after.is_some());
}

#[test]
fn a_new_process_replaces_its_predecessor() {
    for seed in 0..10 {
        let mut network = Network::start(12, 0, seed);
        network.run(15_000);
        let process_before_restart = network
            .swim(0)
            .live_table()
            .get(address(7))
            .map(|member| member.process_incarnation);
        network.kill(7);
        network.run(500);
        network.restart(7);
        let process_incarnation = network
            .swim(7)
            .live_table()
            .get(address(7))
            .map(|member| member.process_incarnation);
        assert_ne!(process_incarnation, process_before_restart);
        let all = network.running();
        let knows_new_process = |network: &Network| {
            let known = all.iter().map(|index| network.swim(*index).live_table());
            let processes: Vec<_> = known
                .map(|table| {
                    table
                        .get(address(7))
                        .map(|member| member.process_incarnation)
                })
                .collect();
            processes.iter().all(|known| *known == process_incarnation)
        };
        let agreed_after = network.run_until(15_000, knows_new_process);
        assert!(agreed_after.is_some(), "seed {seed}");
        network.run(30_000);
        assert!(
            network.agree_on(&all),
            "the death of the predecessor is attributed to the new process"
        );
    }
}

#[test]
fn a_new_process_is_accepted_after_the_death_of_its_predecessor() {
    let mut network = Network::start(12, 10, 9);
    network.run(15_000);
    network.kill(4);
    network.run(25_000);
    network.restart(4);
    let all = network.running();
    assert!(network
        .run_until(15_000, |network| network.agree_on(&all))
        .is_some());
}

#[test]
fn a_member_that_leaves_is_absent_sooner_than_one_that_dies() {
    let mut network = Network::start(30, 0, 13);
    network.run(30_000);
    network.leave(11);
    let others = network.running();
    let agreed_after = network.run_until(6_000, |network| network.observer_count(&others, 11) == 0);
    assert!(agreed_after.is_some());
    assert!(network.agree_on(&others));
}

#[test]
fn all_members_remove_a_dead_member_from_the_list() {
    let mut network = Network::start(20, 10, 17);
    network.run(20_000);
    network.kill(15);
    network.run(30_000 + network.settings.forget_after_ms);
    for index in network.running() {
        assert!(network
            .swim(index)
            .members()
            .all(|update| update.address != address(15)));
    }
}

#[test]
fn dead_seeds_do_not_partition_the_other_members() {
    let mut network = Network::start(15, 0, 19);
    network.run(15_000);
    for seed in 0..3 {
        network.kill(seed);
    }
    let others = network.running();
    let agreed_after = network.run_until(30_000, |network| network.agree_on(&others));
    assert!(agreed_after.is_some());
    network.restart(0);
    let all = network.running();
    let agreed_after_return = network.run_until(30_000, |network| network.agree_on(&all));
    assert!(
        agreed_after_return.is_some(),
        "no member pings the seed that returned"
    );
}
