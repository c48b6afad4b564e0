//! Three voters and two proposals.

use crate::common::view;
use crate::system::{explore, Answers, InjectedFault, Setup, TWO_VIEWS};
use lupinrack_cluster_api::view::View;
use stateright::Checker;

/// The view that a machine proposes: each a different one, one of them with fewer voters.
fn wanted_by(machine: u8) -> View {
    match machine {
        0 => view(2, &[0, 1, 2], &[0]),
        1 => view(2, &[1, 2], &[1]),
        _ => view(2, &[0, 1, 2], &[2, 0]),
    }
}

fn three(attempts: &'static [u8], crashes: u8) -> Setup {
    Setup {
        founded: view(1, &[0, 1, 2], &[0, 1]),
        machines: 3,
        wanted: wanted_by,
        attempts,
        crashes,
        losses: 0,
        draining: None,
        answers: Answers::Delayed,
        fault: InjectedFault::None,
        known_outcomes: Default::default(),
    }
}

#[test]
fn two_proposers_agree_on_one_view() {
    explore(three(&[1, 1], 0), Some(14), &[]).assert_properties();
}

#[test]
fn two_proposers_agree_on_one_view_through_a_crash() {
    explore(three(&[1, 1], 1), Some(11), &[]).assert_properties();
}

#[test]
fn a_second_proposal_agrees_on_what_the_first_may_have_chosen() {
    explore(three(&[1, 2], 0), Some(11), &[]).assert_properties();
}

#[test]
fn an_answer_before_the_sync_is_found() {
    let setup = Setup {
        fault: InjectedFault::AnswersBeforeSync,
        ..three(&[1, 1], 1)
    };
    explore(setup, Some(14), &[TWO_VIEWS]).assert_any_discovery(TWO_VIEWS);
}
