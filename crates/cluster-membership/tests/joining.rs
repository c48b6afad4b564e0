//! Members find one another: at the start, later, after a restart, and when they leave.

mod common;

use common::{address, Network};
use quickcheck::{QuickCheck, TestResult};

/// How long members that begin together may take to know one another, in milliseconds.
fn join_bound_ms(count: usize) -> u64 {
    10_000 + 250 * count as u64
}

fn assert_joins(count: usize, loss_percent: u64) {
    let mut network = Network::start(count, loss_percent, 11);
    let all = network.running();
    let took = network.run_until(join_bound_ms(count), |network| network.agree_on(&all));
    assert!(
        took.is_some(),
        "{count} members did not all know one another at a loss of {loss_percent} %"
    );
}

#[test]
fn five_members_find_one_another_at_any_loss() {
    for loss_percent in [0, 10, 20, 30] {
        assert_joins(5, loss_percent);
    }
}

#[test]
fn many_members_find_one_another() {
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
fn members_know_one_another_at_random_sizes_and_losses() {
    fn property(count: u8, loss: u8, seed: u64) -> TestResult {
        let (count, loss_percent) = (2 + usize::from(count) % 30, u64::from(loss) % 31);
        let mut network = Network::start(count, loss_percent, seed);
        let all = network.running();
        let took = network.run_until(60_000, |network| network.agree_on(&all));
        TestResult::from_bool(took.is_some())
    }
    QuickCheck::new()
        .tests(25)
        .quickcheck(property as fn(u8, u8, u64) -> TestResult);
}

#[test]
fn a_late_member_learns_of_all_and_all_of_it() {
    let mut network = Network::start(60, 10, 5);
    network.run(30_000);
    network.add();
    let all = network.running();
    let took = network.run_until(15_000, |network| network.agree_on(&all));
    assert!(took.is_some());
}

#[test]
fn a_new_process_replaces_its_predecessor() {
    for seed in 0..10 {
        let mut network = Network::start(12, 0, seed);
        network.run(15_000);
        let process_before = network
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
        assert_ne!(process_incarnation, process_before);
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
        let took = network.run_until(15_000, knows_new_process);
        assert!(took.is_some(), "seed {seed}");
        network.run(30_000);
        assert!(
            network.agree_on(&all),
            "the death of the predecessor is not attributed to the new process"
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
    let rest = network.running();
    let took = network.run_until(6_000, |network| network.observer_count(&rest, 11) == 0);
    assert!(took.is_some());
    assert!(network.agree_on(&rest));
}

#[test]
fn dead_members_are_forgotten_everywhere() {
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
fn lost_seeds_do_not_partition_the_others() {
    let mut network = Network::start(15, 0, 19);
    network.run(15_000);
    for seed in 0..3 {
        network.kill(seed);
    }
    let rest = network.running();
    let took = network.run_until(30_000, |network| network.agree_on(&rest));
    assert!(took.is_some());
    network.restart(0);
    let all = network.running();
    let came_back = network.run_until(30_000, |network| network.agree_on(&all));
    assert!(
        came_back.is_some(),
        "members ping seeds that are not present"
    );
}
