//! Trials of a fleet on one clock, over a network that loses: their sum against the budget, and what is learnt of an answer.

use lupinrack_fleet::Standing;
use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::share::Share;
use lupinrack_overload::{Act, Section, Trials};
use lupinrack_policy::Micros;

const NODE: u64 = 77;
const STEP: Micros = 50_000;

fn standing(me: u16, fronts: u16, held: f64, now: Micros) -> Standing {
    Standing {
        me,
        fronts,
        life: 1,
        stance: Participation::Majority,
        view: ViewNumber::default(),
        members: FrontSet::first_n(usize::from(fronts)),
        there: FrontSet::first_n(usize::from(fronts)),
        share: Share {
            valid_until: if held > 0.15 { now + 2_000_000 } else { 0 },
            leased: held,
            reserve: 0.15,
        },
        leads: me == 0,
    }
}

/// A fleet whose fronts all hold a node for silent, those cut off with their reserve; grants within `seconds`, by front, and
/// `gone` of them dead with what they had at the others.
fn granted(fronts: u16, cut: u16, gone: u16, seconds: i64) -> Vec<u64> {
    let mut all: Vec<Trials> = (0..fronts)
        .map(|_| Trials::new(&Section::default()))
        .collect();
    let mut counts = vec![0; usize::from(fronts)];
    let held = 1.0 + f64::from(gone) * 0.85 / f64::from(fronts - gone);
    for step in 0..seconds * 1_000_000 / STEP {
        let now = 1_000_000 + step * STEP;
        for me in gone..fronts {
            let held = if me < gone + cut { 0.15 } else { held };
            let mut out = Vec::new();
            all[usize::from(me)].step(
                now,
                &[NODE],
                &[],
                &standing(me, fronts, held, now),
                &mut out,
            );
            counts[usize::from(me)] += out
                .iter()
                .filter(|a| matches!(a, Act::Grant(NODE, _)))
                .count() as u64;
        }
    }
    counts
}

#[test]
fn the_sum_of_trials_stays_what_it_is_however_large_the_fleet() {
    let budget = Section::default().trials_per_s * 60.0;
    for fronts in [2, 3, 16, 64, 300] {
        let sum = granted(fronts, 0, 0, 60).iter().sum::<u64>() as f64;
        assert!(
            sum <= budget && sum >= budget - 1.5 * f64::from(fronts),
            "{fronts} fronts: {sum} of {budget}"
        );
    }
}

#[test]
fn the_living_take_over_what_dead_fronts_had_and_who_is_cut_off_has_its_reserve() {
    let budget = Section::default().trials_per_s * 60.0;
    let dead = granted(5, 0, 2, 60).iter().sum::<u64>() as f64;
    assert!(
        dead <= budget && dead > budget * 0.9,
        "{dead} of {budget}: only the reserves of two stay idle"
    );
    let cut = granted(5, 2, 0, 60);
    let own = budget / 5.0 * 0.15;
    assert!(
        cut[..2].iter().all(|c| (1..=own as u64 + 1).contains(c)),
        "{cut:?}: their own small pace"
    );
}

/// One front of `n` sees an answer; how many others use the node again, over a network that loses `loss`.
fn learn(n: u16, loss: f64, seed: u64) -> (usize, usize) {
    let mut dice = fastrand::Rng::with_seed(seed);
    let mut all: Vec<Trials> = (0..n).map(|_| Trials::new(&Section::default())).collect();
    let mut back = vec![false; usize::from(n)];
    let mut datagrams = 0;
    for step in 0..60 {
        let now = 1_000_000 + step * STEP;
        let mut way = Vec::new();
        for me in 0..n {
            let answers = back[usize::from(me)] || me == 0 && step > 20;
            let silent: &[u64] = if answers { &[] } else { &[NODE] };
            let mut out = Vec::new();
            all[usize::from(me)].step(now, silent, &[NODE], &standing(me, n, 1.0, now), &mut out);
            way.extend(out.into_iter().filter_map(|a| match a {
                Act::Say(to, bytes) => Some((me, to, bytes)),
                _ => None,
            }));
        }
        for (from, to, bytes) in way {
            assert!(bytes.len() <= 200);
            datagrams += 1;
            let mut out = Vec::new();
            if dice.f64() >= loss {
                all[usize::from(to)].hear(now + 1_000, from, &bytes, &mut out);
            }
            back[usize::from(to)] |= out.contains(&Act::Back(NODE));
        }
    }
    (back.iter().filter(|b| **b).count(), datagrams)
}

#[test]
fn what_one_sees_answer_all_use_again_and_nobody_tells_it_on() {
    assert_eq!(learn(16, 0.0, 1), (15, 45));
    let (back, datagrams) = learn(64, 0.1, 2);
    assert!(
        back >= 62 && datagrams <= 63 * 3,
        "{back} of 63, {datagrams} datagrams"
    );
}

#[test]
fn a_front_that_lies_costs_a_bounded_number_of_attempts() {
    let mut trials = Trials::new(&Section::default());
    let mut believed = 0;
    for step in 0..60 * 20 {
        let now = 1_000_000 + step * STEP;
        let mut out = Vec::new();
        // The node is silent all the time; after each lie it was used for a moment, and fell silent anew.
        let lied: &[u64] = if step % 20 == 1 { &[] } else { &[NODE] };
        trials.step(now, lied, &[], &standing(0, 5, 1.0, now), &mut out);
        let mut lie = vec![1, 1];
        lie.extend(NODE.to_le_bytes());
        lie.extend(0u32.to_le_bytes());
        out.clear();
        trials.hear(now, 3, &lie, &mut out);
        believed += out.len();
    }
    assert!(
        (1..=6).contains(&believed),
        "{believed} of 1,200 lies within a minute"
    );
}

#[test]
fn old_answers_and_nonsense_change_nothing() {
    let mut trials = Trials::new(&Section::default());
    let mut out = Vec::new();
    trials.step(
        10_000_000,
        &[NODE],
        &[],
        &standing(0, 5, 1.0, 10_000_000),
        &mut out,
    );
    let mut late = vec![1, 1];
    late.extend(NODE.to_le_bytes());
    late.extend(2_000u32.to_le_bytes());
    out.clear();
    // Seen before it fell silent here.
    trials.hear(11_000_000, 1, &late, &mut out);
    let mut dice = fastrand::Rng::with_seed(3);
    for _ in 0..50_000 {
        let bytes: Vec<u8> = (0..dice.usize(0..210)).map(|_| dice.u8(0..4)).collect();
        trials.hear(11_000_000, dice.u16(0..5), &bytes, &mut out);
    }
    assert_eq!(out, []);
}

#[test]
fn a_node_that_leaves_the_list_or_starts_anew_is_not_told_as_one_that_answers() {
    for (answered, told) in [(&[][..], false), (&[NODE][..], true)] {
        let mut trials = Trials::new(&Section::default());
        let mut out = Vec::new();
        trials.step(
            10_000_000,
            &[NODE],
            &[],
            &standing(0, 5, 1.0, 10_000_000),
            &mut out,
        );
        trials.step(
            11_000_000,
            &[],
            answered,
            &standing(0, 5, 1.0, 11_000_000),
            &mut out,
        );
        assert_eq!(out.iter().any(|a| matches!(a, Act::Say(..))), told);
    }
}
