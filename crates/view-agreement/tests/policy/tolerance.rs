//! How many losses each number of voters tolerates, also during replacements: checked for all sets of lost disks, all
//! views during their replacement, and all sets of processes that can agree on such a view.
//!
//! A set of machines is a bit set: machine `i` belongs to it if bit `i` is set.

use crate::common::{address, disk, voter, voters};
use crate::watch::Watch;
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_view_agreement::{Agreement, Effect, VoteState};

/// How many simultaneous losses each number of voters tolerates.
const TOLERATED_LOSSES: [(u8, u8); 11] = [
    (3, 1),
    (4, 1),
    (5, 2),
    (6, 2),
    (7, 3),
    (8, 3),
    (9, 4),
    (10, 4),
    (11, 5),
    (12, 5),
    (13, 6),
];
/// Milliseconds after which the voters that new disks replace already count as gone.
const LATE_MS: u64 = 1200;
/// Longer than any replacement.
const LONG_MS: u64 = 20_000;

type Machines = u32;

fn all(count: u8) -> Vec<u8> {
    (0..count).collect()
}

fn members(set: Machines) -> Vec<u8> {
    (0..32).filter(|index| contains(set, *index)).collect()
}

fn contains(set: Machines, index: u8) -> bool {
    set >> index & 1 == 1
}

fn set_of(disks: impl Iterator<Item = DiskId>) -> Machines {
    disks.fold(0, |set, disk| set | 1 << disk.0)
}

fn voters_of(view: &View) -> Machines {
    set_of(view.voters.iter().map(|voter| voter.disk))
}

fn chain_of(view: &View) -> Machines {
    set_of(view.chain.iter().copied())
}

/// All subsets of a set.
fn subsets(set: Machines) -> impl Iterator<Item = Machines> {
    let mut next = Some(set);
    std::iter::from_fn(move || {
        let subset = next?;
        next = subset.checked_sub(1).map(|below| below & set);
        Some(subset)
    })
}

fn has_majority(alive: Machines, view: &View) -> bool {
    let voters = voters_of(view);
    2 * (alive & voters).count_ones() > voters.count_ones()
}

fn tolerated_by(count: u8) -> u32 {
    TOLERATED_LOSSES
        .iter()
        .find(|(voters, _)| *voters == count)
        .map_or(0, |(_, losses)| u32::from(*losses))
}

/// The view with this many voters that the policy proposes if all founders are present.
fn founded(count: u8) -> View {
    let mut watch = Watch::new(0, View::default(), &all(count)).with(&all(count));
    watch.until_wanted(1000).expect("all founders are there").0
}

/// The views by which the policy replaces lost disks by as many new ones, which start `after_ms` after the loss while
/// all other replicas are caught up. The first is the view at the time of the loss.
fn replacement_of(lost: Machines, from: &View, after_ms: u64) -> Vec<View> {
    let count = from.voters.len() as u8;
    let me = members(chain_of(from) & !lost)[0];
    let alive = members(voters_of(from) & !lost);
    let mut watch = Watch::new(me, from.clone(), &[]).with(&alive);
    watch.catch_all_up();
    let mut views = vec![from.clone()];
    while let Some((wanted, _)) = watch.until_wanted(after_ms) {
        watch.adopt(wanted.clone());
        watch.catch_all_up();
        views.push(wanted);
    }
    let new_disks: Vec<u8> = (count..count + lost.count_ones() as u8).collect();
    new_disks.iter().for_each(|new_disk| watch.add(*new_disk));
    let entered = |view: &View| {
        new_disks
            .iter()
            .all(|index| contains(voters_of(view), *index))
    };
    let is_over = |view: &View| entered(view) && view.chain.len() > view.voters.len() / 2;
    while !views.last().is_some_and(is_over) {
        let (wanted, _) = watch
            .until_wanted(LONG_MS)
            .expect("the replacement continues");
        watch.adopt(wanted.clone());
        watch.catch_all_up();
        views.push(wanted);
    }
    views
}

/// Whether the votes of these machines are sufficient to agree on a view, by the rules of the agreement.
fn agree(old: &View, new: &View, votes: Machines) -> bool {
    let agreed = VoteState {
        agreed: old.clone(),
        ..VoteState::default()
    };
    let me = members(voters_of(old))[0];
    let mut proposer = Agreement::new(voter(me), 1, agreed, Vec::new());
    let effects = proposer.propose(new.clone(), Millis(0));
    let proposal_number = effects.iter().find_map(|effect| match effect {
        Effect::Send(_, AgreementMessage::Prepare { proposal_number }) => Some(*proposal_number),
        _ => None,
    });
    let proposal_number = proposal_number.expect("a proposal starts");
    for index in members(voters_of(old)) {
        let send_prepared = AgreementMessage::Prepared {
            proposal_number,
            disk: disk(index),
            accepted_proposal: Default::default(),
            accepted: View::default(),
        };
        proposer.receive(address(index), send_prepared, Millis(0));
    }
    for index in members(votes) {
        let accepted = AgreementMessage::Accepted {
            proposal_number,
            disk: disk(index),
        };
        proposer.receive(address(index), accepted, Millis(0));
    }
    proposer.current() == new
}

/// Asserts that a view, while these disks are lost, tolerates the loss of any `further` other disks.
fn assert_tolerates(view: &View, holders: Machines, lost: Machines, further: u32) {
    let alive = voters_of(view) & !lost;
    for loss in subsets(alive).filter(|loss| loss.count_ones() <= further) {
        let left = alive & !loss;
        assert!(
            has_majority(left, view),
            "{lost:b} and {loss:b} lost: no majority in {view:?}"
        );
        assert!(
            left & holders != 0,
            "{lost:b} and {loss:b} lost: no remaining disk has everything in {view:?}"
        );
    }
}

#[test]
fn every_majority_includes_a_member_of_the_chain() {
    for (count, _) in TOLERATED_LOSSES {
        let view = founded(count);
        assert_eq!(view.voters, voters(&all(count)));
        for alive in subsets(voters_of(&view)).filter(|alive| has_majority(*alive, &view)) {
            assert_ne!(alive & chain_of(&view), 0, "{alive:b} of {count} voters");
        }
    }
}

#[test]
fn exactly_the_stated_number_of_losses_is_tolerated() {
    for (count, losses) in TOLERATED_LOSSES {
        let view = founded(count);
        assert_tolerates(&view, chain_of(&view), 0, u32::from(losses));
        let more = u32::from(losses) + 1;
        let too_many = subsets(voters_of(&view)).filter(|loss| loss.count_ones() == more);
        assert!(too_many
            .into_iter()
            .all(|loss| !has_majority(voters_of(&view) & !loss, &view)));
    }
}

/// How many losses a view tolerates in addition to those that have already hit its voters.
fn left(view: &View, lost: Machines) -> u32 {
    tolerated_by(view.voters.len() as u8) - (voters_of(view) & lost).count_ones()
}

/// Asserts for a tolerated set of lost disks that every view during the replacement tolerates as many further losses as
/// at first, minus those not replaced yet, also while only a part of the processes knows the view. The number never
/// decreases from view to view, and finally equals the first.
fn assert_replacement_tolerates_losses(first: &View, lost: Machines, after_ms: u64) {
    let views = replacement_of(lost, first, after_ms);
    for pair in views.windows(2) {
        let [before, after] = pair else { continue };
        let further = left(before, lost);
        assert!(
            left(after, lost) >= further,
            "{after:?} tolerates fewer losses than {before:?}"
        );
        let holders = chain_of(before) & chain_of(after) & !lost;
        assert_tolerates(before, chain_of(before) & !lost, lost, further);
        assert_tolerates(after, holders, lost, further);
    }
    let last = views.last().expect("the first view is among them");
    assert_tolerates(
        last,
        chain_of(last),
        lost,
        tolerated_by(first.voters.len() as u8),
    );
}

fn assert_replacements_tolerate_losses(count: u8) {
    let first = founded(count);
    let borne = 1..=tolerated_by(count);
    for lost in subsets(voters_of(&first)).filter(|lost| borne.contains(&lost.count_ones())) {
        for after_ms in [0, LATE_MS] {
            assert_replacement_tolerates_losses(&first, lost, after_ms);
        }
    }
}

#[test]
fn replacements_of_three_to_seven_voters_tolerate_further_losses() {
    (3..=7).for_each(assert_replacements_tolerate_losses);
}

#[test]
fn replacements_of_eight_and_nine_voters_tolerate_further_losses() {
    (8..=9).for_each(assert_replacements_tolerate_losses);
}

#[test]
fn replacements_of_ten_and_eleven_voters_tolerate_further_losses() {
    (10..=11).for_each(assert_replacements_tolerate_losses);
}

#[test]
fn replacements_of_twelve_voters_tolerate_further_losses() {
    assert_replacements_tolerate_losses(12);
}

#[test]
fn replacements_of_thirteen_voters_tolerate_further_losses() {
    assert_replacements_tolerate_losses(13);
}

/// The views that may follow one view by the policy: one voter replaced, added or removed.
fn successors(view: &View) -> Vec<View> {
    let count = view.voters.len() as u8;
    let spare = |view: &View| voters_of(view) & !chain_of(view);
    let gone = members(spare(view))[0];
    let swap = replacement_of(1 << gone, view, LATE_MS).pop();
    let mut more = Watch::new(0, view.clone(), &[]).with(&all(count + 1));
    let more = more.until_wanted(LONG_MS).map(|(view, _)| view);
    let mut fewer = Watch::new(0, view.clone(), &[]).with(&all(count));
    fewer.heartbeat(gone).draining = true;
    let fewer = fewer.until_wanted(LONG_MS / 4).map(|(view, _)| view);
    [swap, more, fewer].into_iter().flatten().collect()
}

#[test]
fn every_set_that_can_agree_on_a_view_overlaps_every_majority_before_and_after() {
    for (count, _) in TOLERATED_LOSSES {
        let old = founded(count);
        for new in successors(&old) {
            let everybody = voters_of(&old) | voters_of(&new);
            let mut sets = 0;
            for votes in subsets(everybody).filter(|votes| agree(&old, &new, *votes)) {
                let others = everybody & !votes;
                assert!(
                    !has_majority(others, &old),
                    "{votes:b} of {count} miss a majority before"
                );
                assert!(
                    !has_majority(others, &new),
                    "{votes:b} of {count} miss a majority after"
                );
                sets += 1;
            }
            assert!(sets > 0, "no set can agree on {new:?}");
        }
    }
}

#[test]
fn a_majority_of_the_new_voters_alone_may_not_overlap_one_of_the_old() {
    for count in [3, 5, 7, 9, 11, 13] {
        let old = founded(count);
        let swap = replacement_of(1 << (count - 1), &old, LATE_MS)
            .pop()
            .expect("the lost voter is replaced");
        let everybody = voters_of(&old) | voters_of(&swap);
        let misses = |votes: &Machines| {
            has_majority(*votes, &swap) && has_majority(everybody & !votes, &old)
        };
        assert!(
            subsets(everybody).any(|votes| misses(&votes)),
            "{count} voters"
        );
    }
}
