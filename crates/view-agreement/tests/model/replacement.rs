//! A new disk takes the place of one of three or four voters, while two machines are lost and a third is draining.

use crate::common::view;
use crate::system::{explore, Answers, PlantedFault, Setup, NOT_ON_DISKS, STANDS_STILL, TWO_VIEWS};
use lupinrack_cluster_api::view::View;
use stateright::Checker;

/// Machine 3 takes the place of machine 2, for some; for others, that of machine 0.
fn wanted_of_three(machine: u8) -> View {
    match machine {
        0 => view(2, &[0, 1, 3], &[0, 1]),
        1 => view(2, &[3, 1, 2], &[1, 2]),
        _ => view(2, &[0, 1, 2], &[2]),
    }
}

/// Machine 4 takes the place of machine 3, for some; for others, machine 3 is removed.
fn wanted_of_four(machine: u8) -> View {
    match machine {
        0 => view(2, &[0, 1, 2, 4], &[0, 1, 2]),
        1 => view(2, &[0, 1, 2], &[1, 2]),
        _ => view(2, &[0, 1, 2, 3], &[2]),
    }
}

fn three(attempts: &'static [u8]) -> Setup {
    Setup {
        founded: view(1, &[0, 1, 2], &[0, 1]),
        machines: 4,
        wanted: wanted_of_three,
        attempts,
        crashes: 0,
        losses: 2,
        draining: Some(2),
        answers: Answers::Immediate,
        fault: PlantedFault::None,
        known_outcomes: Default::default(),
    }
}

fn four(attempts: &'static [u8]) -> Setup {
    Setup {
        founded: view(1, &[0, 1, 2, 3], &[0, 1, 2]),
        machines: 5,
        wanted: wanted_of_four,
        draining: Some(3),
        ..three(attempts)
    }
}

#[test]
fn of_three_voters_one_is_replaced_through_two_losses_and_a_draining_member() {
    explore(three(&[1, 1]), None, &[]).assert_properties();
}

#[test]
fn of_four_voters_one_is_replaced_through_two_losses_and_a_draining_member() {
    explore(four(&[1, 1]), None, &[]).assert_properties();
}

#[test]
fn a_voter_that_is_removed_without_an_overlap_of_majorities_is_found() {
    for setup in [three(&[1, 1]), four(&[1, 1])] {
        let setup = Setup {
            fault: PlantedFault::CountsNewVotersOnly,
            ..setup
        };
        explore(setup, None, &[NOT_ON_DISKS]).assert_any_discovery(NOT_ON_DISKS);
    }
}

#[test]
fn two_views_come_of_a_removal_without_an_overlap() {
    let setup = Setup {
        fault: PlantedFault::CountsNewVotersOnly,
        ..three(&[1, 1])
    };
    explore(setup, None, &[TWO_VIEWS]).assert_any_discovery(TWO_VIEWS);
}

#[test]
fn a_loss_too_many_is_found() {
    let setup = Setup {
        fault: PlantedFault::LosesTooMuch,
        ..three(&[1, 1])
    };
    explore(setup, None, &[STANDS_STILL]).assert_any_discovery(STANDS_STILL);
}

#[test]
fn of_three_voters_one_is_replaced_by_a_second_proposal() {
    explore(three(&[2, 1]), None, &[]).assert_properties();
}
