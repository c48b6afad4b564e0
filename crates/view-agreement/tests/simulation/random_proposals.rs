//! Processes that propose random views concurrently, whatever messages they receive.

use crate::checker::Violation;
use crate::world::{InjectedFault, Network, World, FAULT_FREE, ROUGH};
use lupinrack_cluster_api::view::{View, Voter};

const MIN_VOTERS: usize = 3;
const ROUNDS: usize = 150;
const MAX_ROUND_MS: u64 = 150;
const TARGETED_FAULTS: f64 = 0.4;
const FAULT_SEEDS: std::ops::Range<u64> = 1000..1500;

/// The number of machines, and how many disks may be lost.
#[derive(Clone, Copy)]
struct Setup {
    founders: usize,
    machines: usize,
    max_wipes: usize,
    network: Network,
    injected_fault: InjectedFault,
}

/// A view with random voters among the running machines.
fn random_view(world: &mut World, number: u64, founders: usize) -> View {
    let reach = if number == 1 {
        founders
    } else {
        world.machines.len()
    };
    let mut voters: Vec<Voter> = (0..reach)
        .filter(|index| world.is_running(*index))
        .map(|index| world.machines[index].voter.clone())
        .collect();
    world.rng.shuffle(&mut voters);
    let count = world.rng.usize(MIN_VOTERS..=voters.len().max(MIN_VOTERS));
    voters.truncate(count);
    let mut chain: Vec<_> = voters.iter().map(|voter| voter.disk).collect();
    world.rng.shuffle(&mut chain);
    chain.truncate(count / 2 + 1);
    View {
        number,
        voters,
        chain,
    }
}

fn propose_at_random(world: &mut World, setup: Setup) {
    let machine = world.rng.usize(0..setup.machines);
    let number = world.current(machine).number + 1;
    let view = random_view(world, number, setup.founders);
    if view.voters.len() >= MIN_VOTERS {
        world.propose(machine, view);
    }
}

fn disturb(world: &mut World, setup: Setup) {
    let machine = world.rng.usize(0..setup.machines);
    let down_ms = world.rng.u64(1..400);
    match world.rng.u32(0..60) {
        0..=2 if world.is_running(machine) => world.restart(machine, down_ms),
        3 | 4 => world.links.cut(&mut world.rng),
        5..=14 => world.links.heal(),
        15 if world.wipes_left > 0 && world.is_running(machine) => world.wipe(machine, down_ms),
        _ => {}
    }
}

fn run_rough(seed: u64, setup: Setup) -> World {
    let mut world = World::new(seed, setup.founders, setup.machines, setup.injected_fault);
    world.run_for(400);
    world.network = setup.network;
    world.targeted_faults = TARGETED_FAULTS;
    world.wipes_left = setup.max_wipes;
    for _ in 0..ROUNDS {
        propose_at_random(&mut world, setup);
        disturb(&mut world, setup);
        let pause = world.rng.u64(1..=MAX_ROUND_MS);
        world.run_for(pause);
    }
    world
}

/// Ends all faults and lets one voter propose. Returns how many views were agreed since.
fn run_without_faults(world: &mut World, founders: usize) -> u64 {
    world.network = FAULT_FREE;
    world.targeted_faults = 0.0;
    world.links.heal();
    world.run_for(3000);
    let before = world.checker.newest().number;
    for _ in 0..40 {
        let running: Vec<usize> = (0..world.machines.len())
            .filter(|m| world.is_running(*m))
            .collect();
        for machine in running {
            let number = world.current(machine).number + 1;
            let view = random_view(world, number, founders);
            world.propose(machine, view);
        }
        world.run_for(150);
    }
    world.checker.newest().number - before
}

fn check(seeds: std::ops::Range<u64>, setup: Setup, must_progress: bool) {
    let mut agreed = 0;
    for seed in seeds.clone() {
        let mut world = run_rough(seed, setup);
        agreed += world.checker.newest().number;
        let progress = run_without_faults(&mut world, setup.founders);
        assert_eq!(
            world.checker.violations,
            Vec::<Violation>::new(),
            "seed {seed}"
        );
        assert!(
            progress > 0 || !must_progress,
            "seed {seed}: no view was agreed after the faults ended"
        );
    }
    let runs = seeds.end - seeds.start;
    println!("{agreed} views in {runs} rough runs");
    assert!(
        agreed >= runs,
        "{agreed} views in {runs} rough runs: the runs test too little"
    );
}

fn setup(founders: usize, machines: usize, max_wipes: usize) -> Setup {
    Setup {
        founders,
        machines,
        max_wipes,
        network: ROUGH,
        injected_fault: InjectedFault::None,
    }
}

#[test]
fn three_voters_agree_on_one_view_per_number_and_go_on() {
    check(0..60, setup(3, 5, 1), true);
}

#[test]
fn five_voters_agree_on_one_view_per_number_and_go_on() {
    check(100..150, setup(5, 7, 1), true);
}

#[test]
fn nine_voters_agree_on_one_view_per_number_and_go_on() {
    check(200..225, setup(9, 11, 1), true);
}

#[test]
fn no_disk_lost_means_that_the_disks_hold_what_is_agreed() {
    check(300..350, setup(3, 6, 0), true);
}

#[test]
fn disks_lost_without_bound_never_lead_to_two_views() {
    check(400..460, setup(3, 6, 100), false);
}

/// Asserts that the checker finds an injected fault, and finds nothing in the same runs without it.
fn assert_found(setup: Setup) {
    let sound = Setup {
        injected_fault: InjectedFault::None,
        ..setup
    };
    for seed in FAULT_SEEDS {
        assert_eq!(
            run_rough(seed, sound).checker.violations,
            Vec::<Violation>::new(),
            "seed {seed}"
        );
        if run_rough(seed, setup).checker.found_two_views() {
            println!("{:?}: two views with seed {seed}", setup.injected_fault);
            return;
        }
    }
    panic!("{:?} was not found", setup.injected_fault);
}

#[test]
fn an_empty_disk_under_the_old_identity_is_found() {
    assert_found(Setup {
        injected_fault: InjectedFault::WipedDiskKeepsIdentity,
        ..setup(3, 5, 100)
    });
}

#[test]
fn an_answer_before_the_sync_is_found() {
    assert_found(Setup {
        injected_fault: InjectedFault::AnswersBeforeSync,
        ..setup(3, 5, 0)
    });
}

#[test]
fn a_quorum_of_the_new_voters_alone_is_found() {
    assert_found(Setup {
        injected_fault: InjectedFault::CountsNewVotersOnly,
        ..setup(3, 7, 0)
    });
}
