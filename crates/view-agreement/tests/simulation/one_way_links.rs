//! Links that lose all messages in one direction while the other works: a chain soon acknowledges again, and then the
//! view is stable.
//!
//! A shape is a set of lost links; bit `i` of its number represents link `i` of [`links`].

use crate::checker::Violation;
use crate::machine::{address, POLICY};
use crate::with_policy::machine_of;
use crate::world::{InjectedFault, World};
use std::ops::RangeInclusive;

/// Milliseconds within which the chain has to acknowledge again.
const ACKNOWLEDGED_WITHIN_MS: u64 = 2000;
/// Milliseconds for which a shape is watched after that; the next constant is the step.
const WATCHED_MS: u64 = 8000;
const WATCH_STEP_MS: u64 = 500;
/// The maximum number of views agreed because of one shape.
const MAX_VIEWS: u64 = 4;
/// Five machines have too many shapes for one test. It runs all shapes with at most this many lost links, and
/// `DRAWN_SHAPES` random ones.
const MAX_LOST_LINKS: u32 = 2;
const DRAWN_SHAPES: usize = 1500;

type Shape = u32;

/// All links between this many machines, each in one direction.
fn links(machines: usize) -> Vec<(usize, usize)> {
    let pairs = (0..machines).flat_map(|from| (0..machines).map(move |to| (from, to)));
    pairs.filter(|(from, to)| from != to).collect()
}

fn lost_links(shape: Shape, machines: usize) -> impl Iterator<Item = (usize, usize)> {
    let links = links(machines).into_iter().enumerate();
    links
        .filter(move |(bit, _)| shape >> bit & 1 == 1)
        .map(|(_, link)| link)
}

/// Whether there is a majority of the machines whose members all reach each other in both directions.
fn has_linked_majority(world: &World) -> bool {
    let machines = world.machines.len();
    let is_linked = |one, other| world.links.connect(one, other) && world.links.connect(other, one);
    (0_u32..1 << machines).any(|set| {
        let members = || (0..machines).filter(|index| set >> index & 1 == 1);
        members().count() * 2 > machines
            && members().all(|one| members().all(|other| one == other || is_linked(one, other)))
    })
}

/// Whether the newest chain can acknowledge: each member knows the view and exchanges messages with the next member.
fn acknowledges(world: &World) -> bool {
    let view = world.checker.newest();
    let members: Vec<usize> = view
        .chain
        .iter()
        .map(|disk| machine_of(world, *disk))
        .collect();
    let know = members
        .iter()
        .all(|member| world.current(*member).number == view.number);
    let are_linked = members
        .windows(2)
        .all(|pair| world.links.connect(pair[0], pair[1]) && world.links.connect(pair[1], pair[0]));
    members.len() > POLICY.tolerated_losses && know && are_linked
}

/// A world with this many machines in one stable view.
fn stable_world(machines: usize) -> World {
    let mut world = World::new(1, 3, machines, InjectedFault::None);
    world.policy_proposes = true;
    world.run_for(12_000);
    assert_eq!(world.checker.newest().voters.len(), machines);
    assert!(acknowledges(&world), "{machines} machines before any loss");
    world
}

/// The outcome of a shape.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// No linked majority is left that could acknowledge.
    NoMajority,
    /// The chain acknowledges.
    Acknowledges,
    /// The chain does not acknowledge at this time, although a linked majority is left.
    NobodyAcknowledges { after_ms: u64 },
    /// Too many views were agreed.
    Churns { views: u64 },
    /// An invariant of the views is violated.
    Wrong,
}

fn play(stable: &World, shape: Shape) -> Outcome {
    let mut world = stable.clone();
    let before = world.checker.newest().number;
    for (from, to) in lost_links(shape, world.machines.len()) {
        world.links.lose(from, to);
    }
    let may_go_on = has_linked_majority(&world);
    world.run_for(ACKNOWLEDGED_WITHIN_MS);
    for step in 0..=WATCHED_MS / WATCH_STEP_MS {
        if may_go_on && !acknowledges(&world) {
            let after_ms = ACKNOWLEDGED_WITHIN_MS + step * WATCH_STEP_MS;
            return Outcome::NobodyAcknowledges { after_ms };
        }
        world.run_for(WATCH_STEP_MS);
    }
    let views = world.checker.newest().number - before;
    match () {
        () if world.checker.violations != Vec::<Violation>::new() => Outcome::Wrong,
        () if views > MAX_VIEWS => Outcome::Churns { views },
        () if may_go_on => Outcome::Acknowledges,
        () => Outcome::NoMajority,
    }
}

/// Runs these shapes and describes those with a wrong outcome.
fn failures(machines: usize, shapes: impl Iterator<Item = Shape>) -> Vec<String> {
    let stable = stable_world(machines);
    let chain = stable.checker.newest().chain;
    let chain: Vec<usize> = chain
        .iter()
        .map(|disk| machine_of(&stable, *disk))
        .collect();
    let outcomes = shapes.map(|shape| (shape, play(&stable, shape)));
    outcomes
        .filter(|(_, outcome)| !matches!(outcome, Outcome::NoMajority | Outcome::Acknowledges))
        .map(|(shape, outcome)| {
            let lost: Vec<_> = lost_links(shape, machines).collect();
            format!("chain {chain:?}, shape {shape}, lost {lost:?}: {outcome:?}")
        })
        .collect()
}

fn assert_all_acknowledge(machines: usize, shapes: impl Iterator<Item = Shape>) {
    let failures = failures(machines, shapes);
    assert!(
        failures.is_empty(),
        "{} of {machines} machines:\n{}",
        failures.len(),
        failures[..failures.len().min(20)].join("\n")
    );
}

fn all_shapes(machines: usize) -> RangeInclusive<Shape> {
    0..=(1 << links(machines).len()) - 1
}

/// The shapes in which only links of one machine are lost, for each machine.
fn shapes_around_one(machines: usize) -> Vec<Shape> {
    let bits_of = |machine| {
        let links = links(machines).into_iter().enumerate();
        links
            .filter(move |(_, (from, to))| machine == *from || machine == *to)
            .map(|(bit, _)| bit)
            .collect::<Vec<usize>>()
    };
    let spread = |bits: &[usize], subset: u32| {
        let chosen = bits.iter().enumerate();
        let chosen = chosen.filter(|(index, _)| subset >> index & 1 == 1);
        chosen.fold(0, |shape, (_, bit)| shape | 1 << bit)
    };
    let of_machine = |machine| {
        let bits = bits_of(machine);
        let subsets = 0..1_u32 << bits.len();
        subsets.map(move |subset| spread(&bits, subset))
    };
    (0..machines).flat_map(of_machine).collect()
}

#[test]
fn every_shape_of_three_machines() {
    assert_all_acknowledge(3, all_shapes(3));
}

#[test]
fn every_shape_of_four_machines() {
    assert_all_acknowledge(4, all_shapes(4));
}

#[test]
fn every_shape_around_one_of_five_machines() {
    assert_all_acknowledge(5, shapes_around_one(5).into_iter());
}

#[test]
fn every_shape_of_few_lost_links_of_five_machines() {
    let few = all_shapes(5).filter(|shape| shape.count_ones() <= MAX_LOST_LINKS);
    assert_all_acknowledge(5, few);
}

#[test]
fn drawn_shapes_of_five_machines() {
    let mut rng = fastrand::Rng::with_seed(5);
    let all = all_shapes(5);
    let drawn: Vec<Shape> = (0..DRAWN_SHAPES).map(|_| rng.u32(all.clone())).collect();
    assert_all_acknowledge(5, drawn.into_iter());
}

#[test]
fn a_head_that_receives_nothing_is_replaced_although_its_messages_arrive() {
    for machines in 3..=5 {
        let mut world = stable_world(machines);
        let head = machine_of(&world, world.checker.newest().chain[0]);
        for other in (0..machines).filter(|other| *other != head) {
            world.links.lose(other, head);
        }
        world.run_for(ACKNOWLEDGED_WITHIN_MS);
        let view = world.checker.newest();
        assert_eq!(view.position(world.machines[head].voter.disk), None);
        assert!(acknowledges(&world), "{machines} machines");
        assert_eq!(world.machines[head].voter.address, address(head));
    }
}
