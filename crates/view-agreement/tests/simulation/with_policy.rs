//! Processes that propose by the policy during founding, losses and returns.

use crate::checker::Violation;
use crate::machine::POLICY;
use crate::world::{InjectedFault, World, ROUGH};
use lupinrack_cluster_api::view::View;

fn founded(seed: u64, founders: usize, machines: usize) -> World {
    let mut world = World::new(seed, founders, machines, InjectedFault::None);
    world.policy_proposes = true;
    world.run_for(6000);
    world
}

fn wanted_chain(voters: usize) -> usize {
    (voters / 2 + 1)
        .max(POLICY.tolerated_losses + 1)
        .min(voters)
}

/// Asserts that all running machines know the same view, and that its chain is complete.
pub fn assert_stable(world: &World, seed: u64) -> View {
    assert_eq!(
        world.checker.violations,
        Vec::<Violation>::new(),
        "seed {seed}"
    );
    let view = world.checker.newest();
    let runs = |disk| {
        (0..world.machines.len())
            .any(|m| world.machines[m].voter.disk == disk && world.is_running(m))
    };
    assert!(
        view.chain.iter().all(|disk| runs(*disk)),
        "seed {seed}: a member of the chain is gone"
    );
    assert!(
        view.chain.len() >= wanted_chain(view.voters.len()),
        "seed {seed}: the chain is short: {view:?}"
    );
    for machine in (0..world.machines.len()).filter(|machine| world.is_running(*machine)) {
        assert_eq!(
            world.current(machine),
            view,
            "seed {seed}: machine {machine} lags"
        );
    }
    view
}

pub fn machine_of(world: &World, disk: lupinrack_cluster_api::identity::DiskId) -> usize {
    (0..world.machines.len())
        .find(|m| world.machines[*m].voter.disk == disk)
        .expect("a machine has this disk")
}

#[test]
fn founders_and_later_processes_become_voters() {
    for (founders, machines) in [(1, 1), (1, 3), (3, 3), (3, 5), (3, 9), (5, 5), (3, 14)] {
        for seed in 0..10 {
            let world = founded(seed, founders, machines);
            let view = assert_stable(&world, seed);
            assert_eq!(
                view.voters.len(),
                machines.min(13),
                "seed {seed}, {founders} of {machines}"
            );
        }
    }
}

#[test]
fn a_lost_member_is_removed_and_another_replaces_it() {
    for seed in 0..20 {
        for position in 0..2 {
            let mut world = founded(seed, 3, 3);
            let disk = world.checker.newest().chain[position];
            let machine = machine_of(&world, disk);
            world.kill(machine);
            world.run_for(2500);
            let view = assert_stable(&world, seed);
            assert_eq!(view.position(disk), None, "seed {seed}");
            world.start(machine);
            world.run_for(2500);
            assert_stable(&world, seed);
        }
    }
}

#[test]
fn a_machine_on_a_new_disk_replaces_the_old_disk() {
    for seed in 0..20 {
        for lost in 0..3 {
            let mut world = founded(seed, 3, 3);
            world.wipe(lost, 1000);
            world.run_for(6000);
            let view = assert_stable(&world, seed);
            assert_eq!(view.voters.len(), 3, "seed {seed}");
            assert!(
                view.voter(world.machines[lost].voter.disk).is_some(),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn an_unhealthy_disk_leaves_the_chain_while_another_can_join() {
    for seed in 0..20 {
        let mut world = founded(seed, 3, 3);
        let disk = world.checker.newest().chain[0];
        let machine = machine_of(&world, disk);
        world.machines[machine].disk_healthy = false;
        world.run_for(2500);
        let view = assert_stable(&world, seed);
        assert_eq!(view.position(disk), None, "seed {seed}");
        assert!(view.voter(disk).is_some(), "seed {seed}");
    }
}

#[test]
fn all_killed_at_once_go_on_with_their_disks() {
    for seed in 0..20 {
        let mut world = founded(seed, 3, 5);
        for machine in 0..5 {
            world.restart(machine, 300);
        }
        world.run_for(5000);
        let number = assert_stable(&world, seed).number;
        world.run_for(5000);
        assert_eq!(
            world.checker.newest().number,
            number,
            "seed {seed}: views keep changing without faults"
        );
    }
}

#[test]
fn a_kill_in_the_middle_of_founding_does_not_end_it() {
    for seed in 0..40 {
        let mut world = World::new(seed, 3, 3, InjectedFault::None);
        world.policy_proposes = true;
        world.run_for(340 + seed * 10);
        for machine in 0..3 {
            world.restart(machine, 200);
        }
        world.run_for(5000);
        assert_stable(&world, seed);
    }
}

#[test]
fn a_partitioned_machine_returns_to_the_newest_view() {
    for seed in 0..20 {
        let mut world = founded(seed, 3, 4);
        for machine in 0..4 {
            world.links.isolate(machine);
            world.run_for(4000);
            world.links.heal();
            world.run_for(4000);
            let view = assert_stable(&world, seed);
            assert_eq!(view.voters.len(), 4, "seed {seed}");
        }
    }
}

#[test]
fn a_voter_that_stays_away_is_removed_from_an_even_number() {
    let mut world = founded(1, 3, 4);
    world.kill(3);
    world.run_for(25_000);
    assert_eq!(assert_stable(&world, 1).voters.len(), 3);
    world.kill(2);
    world.run_for(25_000);
    assert_eq!(assert_stable(&world, 1).voters.len(), 3);
}

#[test]
fn rough_networks_and_restarts_end_in_a_stable_view() {
    for seed in 0..40 {
        let machines = [3, 5, 9][seed as usize % 3];
        let mut world = founded(seed, 3, machines);
        world.network = ROUGH;
        for _ in 0..40 {
            let machine = world.rng.usize(0..machines);
            match world.rng.u32(0..6) {
                0 if world.is_running(machine) => world.restart(machine, 800),
                1 => world.links.isolate(machine),
                2 => world.links.heal(),
                _ => {}
            }
            world.run_for(200);
        }
        world.network = crate::world::FAULT_FREE;
        world.links.heal();
        world.run_for(8000);
        assert_stable(&world, seed);
    }
}

#[test]
fn two_machines_that_do_not_reach_each_other_change_the_view_seldom() {
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        let mut world = founded(1, 3, 3);
        let before = world.checker.newest().number;
        world.links.break_one(one, other);
        world.run_for(20_000);
        let views = world.checker.newest().number - before;
        println!("{views} views in 20 s without the link between {one} and {other}");
        assert!(views <= 8, "{views} views in 20 s");
        world.links.heal();
        world.run_for(4000);
        assert_stable(&world, 1);
    }
}
