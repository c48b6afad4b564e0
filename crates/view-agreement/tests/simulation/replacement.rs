//! Runs in which machines are replaced by others at other addresses.

use crate::checker::Violation;
use crate::machine::POLICY;
use crate::with_policy::{assert_stable, machine_of};
use crate::world::{InjectedFault, World, FAULT_FREE, ROUGH};

const SIZES: [usize; 4] = [3, 5, 7, 9];
const SUCCESSOR_AFTER_MS: u64 = 300;
/// Milliseconds between the start of a replacement and the next loss: the loss before no longer counts.
const APART_MS: u64 = POLICY.catch_up_ms;

/// A world with `running` machines in a stable view, and `others` that were not started yet.
fn stable_world(seed: u64, running: usize, others: usize) -> World {
    let founders = running.min(3);
    let mut world = World::new(seed, founders, running + others, InjectedFault::None);
    world.policy_proposes = true;
    (running..running + others).for_each(|machine| world.kill(machine));
    world.run_for(6000);
    assert_eq!(
        assert_stable(&world, seed).voters.len(),
        running,
        "seed {seed}"
    );
    world
}

/// Asserts that there are `count` voters and that all of them run.
fn assert_all_voters_run(world: &World, seed: u64, count: usize) {
    let view = assert_stable(world, seed);
    assert_eq!(view.voters.len(), count, "seed {seed}: {view:?}");
    let runs = |disk| world.is_running(machine_of(world, disk));
    assert!(
        view.voters.iter().all(|voter| runs(voter.disk)),
        "seed {seed}: a voter is gone"
    );
}

#[test]
fn machines_are_replaced_one_after_another_and_then_disks_are_lost() {
    for (seed, count) in (0..10).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, count);
        for lost in 0..count {
            world.kill(lost);
            world.run_for(SUCCESSOR_AFTER_MS);
            world.start(count + lost);
            world.run_for(APART_MS);
            assert_all_voters_run(&world, seed, count);
        }
        let losses = (count - 1) / 2;
        (count..count + losses).for_each(|machine| world.wipe(machine, 300));
        world.run_for(APART_MS);
        assert_all_voters_run(&world, seed, count);
    }
}

#[test]
fn heads_are_replaced_one_after_another() {
    for (seed, count) in (0..10).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, 3);
        for new_disk in count..count + 3 {
            let head = world.checker.newest().chain[0];
            let lost = machine_of(&world, head);
            world.kill(lost);
            world.run_for(SUCCESSOR_AFTER_MS);
            world.start(new_disk);
            world.run_for(APART_MS);
            assert_all_voters_run(&world, seed, count);
        }
    }
}

#[test]
fn as_many_as_are_tolerated_are_replaced_at_once() {
    for (seed, count) in (0..10).flat_map(|seed| [5, 7, 9].map(|count| (seed, count))) {
        let losses = (count - 1) / 2;
        let mut world = stable_world(seed, count, losses);
        (0..losses).for_each(|machine| world.kill(machine));
        world.run_for(SUCCESSOR_AFTER_MS);
        (count..count + losses).for_each(|machine| world.start(machine));
        world.run_for(APART_MS);
        assert_all_voters_run(&world, seed, count);
    }
}

#[test]
fn a_draining_machine_hands_over_to_a_replacement_that_started_before() {
    for (seed, count) in (0..10).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, 1);
        let head = world.checker.newest().chain[0];
        let old = machine_of(&world, head);
        world.start(count);
        world.run_for(APART_MS);
        world.terminate(old);
        world.run_for(2000);
        assert!(
            !world.is_running(old),
            "seed {seed}: {count} voters: it still runs"
        );
        assert_all_voters_run(&world, seed, count);
        let next = world.checker.newest().chain[0];
        let lost = machine_of(&world, next);
        world.wipe(lost, 300);
        world.run_for(APART_MS);
        assert_all_voters_run(&world, seed, count);
    }
}

#[test]
fn a_machine_lost_while_another_drains_leaves_a_majority() {
    for (seed, count) in (0..10).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, 1);
        let chain = world.checker.newest().chain;
        let (draining, lost) = (machine_of(&world, chain[0]), machine_of(&world, chain[1]));
        world.terminate(draining);
        world.run_for(50);
        world.kill(lost);
        world.run_for(SUCCESSOR_AFTER_MS);
        world.start(count);
        world.run_for(APART_MS);
        world.start(draining);
        world.run_for(APART_MS);
        assert_all_voters_run(&world, seed, count);
    }
}

#[test]
fn a_rolling_restart_changes_no_vote() {
    for (seed, count) in (0..10).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, 0);
        let before = world.checker.newest().voters;
        for machine in 0..count {
            world.terminate(machine);
            world.run_for(2000);
            assert!(
                !world.is_running(machine),
                "seed {seed}: {count} voters: it still runs"
            );
            world.start(machine);
            world.run_for(2000);
            assert_eq!(
                assert_stable(&world, seed).voters,
                before,
                "seed {seed}: {count} voters"
            );
        }
    }
}

#[test]
fn a_replacement_wiped_while_it_catches_up_still_becomes_a_voter() {
    for (seed, count) in (0..10).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, 1);
        world.kill(0);
        world.run_for(SUCCESSOR_AFTER_MS);
        world.start(count);
        world.run_for(100 + 150 * seed);
        world.wipe(count, 300);
        world.run_for(APART_MS);
        assert_all_voters_run(&world, seed, count);
    }
}

#[test]
fn a_founder_replaced_before_the_first_view_does_not_prevent_the_founding() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 4, InjectedFault::None);
        world.policy_proposes = true;
        world.kill(3);
        world.run_for(seed * 20);
        world.kill(0);
        world.run_for(SUCCESSOR_AFTER_MS);
        world.start(3);
        world.run_for(APART_MS);
        assert_eq!(
            world.checker.violations,
            Vec::<Violation>::new(),
            "seed {seed}"
        );
        assert_all_voters_run(&world, seed, 3);
    }
}

#[test]
fn a_replacement_completes_while_views_are_agreed_in_a_rough_network() {
    for (seed, count) in (0..20).flat_map(|seed| SIZES.map(|count| (seed, count))) {
        let mut world = stable_world(seed, count, 2);
        world.network = ROUGH;
        world.targeted_faults = 0.5;
        for new_disk in [count, count + 1] {
            let lost = new_disk - count;
            world.kill(lost);
            world.run_for(SUCCESSOR_AFTER_MS);
            world.start(new_disk);
            for _ in 0..8 {
                world.run_for(APART_MS / 8);
                world.links.heal();
            }
        }
        world.network = FAULT_FREE;
        world.targeted_faults = 0.0;
        world.run_for(2 * APART_MS);
        assert_all_voters_run(&world, seed, count);
    }
}
