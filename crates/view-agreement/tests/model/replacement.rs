//! A new disk replaces one of three or four voters, while two machines are lost and a third is draining.

use crate::common::view;
use crate::system::{explore, Answers, InjectedFault, Setup, NOT_ON_DISKS, NO_PROGRESS, TWO_VIEWS};
use lupinrack_cluster_api::view::View;
use stateright::Checker;

/// Some machines propose that machine 3 replaces machine 2, others that it replaces machine 0.
fn wanted_of_three(machine: u8) -> View {
    match machine {
        0 => view(2, &[0, 1, 3], &[0, 1]),
        1 => view(2, &[3, 1, 2], &[1, 2]),
        _ => view(2, &[0, 1, 2], &[2]),
    }
}

/// Some machines propose that machine 4 replaces machine 3, others that machine 3 is removed.
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
        fault: InjectedFault::None,
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
            fault: InjectedFault::CountsNewVotersOnly,
            ..setup
        };
        explore(setup, None, &[NOT_ON_DISKS]).assert_any_discovery(NOT_ON_DISKS);
    }
}

#[test]
fn a_removal_without_an_overlap_leads_to_two_views() {
    let setup = Setup {
        fault: InjectedFault::CountsNewVotersOnly,
        ..three(&[1, 1])
    };
    explore(setup, None, &[TWO_VIEWS]).assert_any_discovery(TWO_VIEWS);
}

#[test]
fn one_loss_more_than_tolerated_is_found() {
    let setup = Setup {
        fault: InjectedFault::LosesTooMany,
        ..three(&[1, 1])
    };
    explore(setup, None, &[NO_PROGRESS]).assert_any_discovery(NO_PROGRESS);
}

#[test]
fn of_three_voters_one_is_replaced_by_a_second_proposal() {
    explore(three(&[2, 1]), None, &[]).assert_properties();
}
