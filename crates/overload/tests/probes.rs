//! Probes of a fleet on one clock, over a network with loss: their total against the budget, and how recoveries spread.

use lupinrack_fleet::FleetState;
use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::share::Share;
use lupinrack_overload::{Action, Prober, Section};
use lupinrack_policy::Micros;

const NODE: u64 = 77;
const STEP_INTERVAL: Micros = 50_000;

fn fleet_state(me: u16, front_count: u16, leased: f64, now: Micros) -> FleetState {
    FleetState {
        me,
        front_count,
        process_incarnation: 1,
        participation: Participation::Majority,
        view_number: ViewNumber::default(),
        members: FrontSet::first_n(usize::from(front_count)),
        present: FrontSet::first_n(usize::from(front_count)),
        share: Share {
            valid_until: if leased > 0.15 { now + 2_000_000 } else { 0 },
            leased,
            reserve: 0.15,
        },
        leads: me == 0,
    }
}

/// The probes that each front grants within `seconds` while a node is unresponsive at all fronts. `dead` fronts do not run, and the
/// others have their shares; `isolated` ones have only their reserve.
fn granted_probes(front_count: u16, isolated: u16, dead: u16, seconds: i64) -> Vec<u64> {
    let mut probers: Vec<Prober> = (0..front_count)
        .map(|_| Prober::new(&Section::default()))
        .collect();
    let mut counts = vec![0; usize::from(front_count)];
    let leased = 1.0 + f64::from(dead) * 0.85 / f64::from(front_count - dead);
    for step in 0..seconds * 1_000_000 / STEP_INTERVAL {
        let now = 1_000_000 + step * STEP_INTERVAL;
        for me in dead..front_count {
            let leased = if me < dead + isolated { 0.15 } else { leased };
            let mut out = Vec::new();
            probers[usize::from(me)].step(
                now,
                &[NODE],
                &[],
                &fleet_state(me, front_count, leased, now),
                &mut out,
            );
            counts[usize::from(me)] += out
                .iter()
                .filter(|a| matches!(a, Action::GrantProbe(NODE, _)))
                .count() as u64;
        }
    }
    counts
}

#[test]
fn total_probes_do_not_grow_with_the_fleet() {
    let budget = Section::default().trials_per_s * 60.0;
    for front_count in [2, 3, 16, 64, 300] {
        let sum = granted_probes(front_count, 0, 0, 60).iter().sum::<u64>() as f64;
        assert!(
            sum <= budget && sum >= budget - 1.5 * f64::from(front_count),
            "{front_count} fronts: {sum} of {budget}"
        );
    }
}

#[test]
fn shares_of_dead_fronts_are_taken_over_and_isolated_fronts_use_their_reserve() {
    let budget = Section::default().trials_per_s * 60.0;
    let with_dead = granted_probes(5, 0, 2, 60).iter().sum::<u64>() as f64;
    assert!(
        with_dead <= budget && with_dead > budget * 0.9,
        "{with_dead} of {budget}: only the reserves of two fronts are unused"
    );
    let with_isolated = granted_probes(5, 2, 0, 60);
    let reserve = budget / 5.0 * 0.15;
    assert!(
        with_isolated[..2]
            .iter()
            .all(|count| (1..=reserve as u64 + 1).contains(count)),
        "{with_isolated:?}: isolated fronts use their reserve"
    );
}

/// One front sees a node respond, over a network that loses the fraction `loss` of datagrams. Returns how many others learn of the
/// recovery, and the number of datagrams.
fn spread_recovery(front_count: u16, loss: f64, seed: u64) -> (usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut probers: Vec<Prober> = (0..front_count)
        .map(|_| Prober::new(&Section::default()))
        .collect();
    let mut recovered = vec![false; usize::from(front_count)];
    let mut datagrams = 0;
    for step in 0..60 {
        let now = 1_000_000 + step * STEP_INTERVAL;
        let mut in_flight = Vec::new();
        for me in 0..front_count {
            let responds = recovered[usize::from(me)] || me == 0 && step > 20;
            let unresponsive: &[u64] = if responds { &[] } else { &[NODE] };
            let mut out = Vec::new();
            probers[usize::from(me)].step(
                now,
                unresponsive,
                &[NODE],
                &fleet_state(me, front_count, 1.0, now),
                &mut out,
            );
            in_flight.extend(out.into_iter().filter_map(|a| match a {
                Action::Send(to, bytes) => Some((me, to, bytes)),
                _ => None,
            }));
        }
        for (from, to, bytes) in in_flight {
            assert!(bytes.len() <= 200);
            datagrams += 1;
            let mut out = Vec::new();
            if rng.f64() >= loss {
                probers[usize::from(to)].receive(now + 1_000, from, &bytes, &mut out);
            }
            recovered[usize::from(to)] |= out.contains(&Action::Recovered(NODE));
        }
    }
    (recovered.iter().filter(|r| **r).count(), datagrams)
}

#[test]
fn recovery_reaches_all_fronts_and_is_announced_by_one_only() {
    assert_eq!(spread_recovery(16, 0.0, 1), (15, 45));
    let (recovered, datagrams) = spread_recovery(64, 0.1, 2);
    assert!(
        recovered >= 62 && datagrams <= 63 * 3,
        "{recovered} of 63, {datagrams} datagrams"
    );
}

#[test]
fn wrong_announcements_cost_a_bounded_number_of_attempts() {
    let mut prober = Prober::new(&Section::default());
    let mut accepted = 0;
    for step in 0..60 * 20 {
        let now = 1_000_000 + step * STEP_INTERVAL;
        let mut out = Vec::new();
        // The node never responds. Once in a while it counts as responsive for one step, as after an accepted announcement.
        let unresponsive: &[u64] = if step % 20 == 1 { &[] } else { &[NODE] };
        prober.step(
            now,
            unresponsive,
            &[],
            &fleet_state(0, 5, 1.0, now),
            &mut out,
        );
        let mut announcement = vec![1, 1];
        announcement.extend(NODE.to_le_bytes());
        announcement.extend(0u32.to_le_bytes());
        out.clear();
        prober.receive(now, 3, &announcement, &mut out);
        accepted += out.len();
    }
    assert!(
        (1..=6).contains(&accepted),
        "{accepted} of 1,200 wrong announcements within a minute"
    );
}

#[test]
fn outdated_announcements_and_random_payloads_are_ignored() {
    let mut prober = Prober::new(&Section::default());
    let mut out = Vec::new();
    prober.step(
        10_000_000,
        &[NODE],
        &[],
        &fleet_state(0, 5, 1.0, 10_000_000),
        &mut out,
    );
    let mut outdated = vec![1, 1];
    outdated.extend(NODE.to_le_bytes());
    outdated.extend(2_000u32.to_le_bytes());
    out.clear();
    // A recovery from before the node became unresponsive here.
    prober.receive(11_000_000, 1, &outdated, &mut out);
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..50_000 {
        let bytes: Vec<u8> = (0..rng.usize(0..210)).map(|_| rng.u8(0..4)).collect();
        prober.receive(11_000_000, rng.u16(0..5), &bytes, &mut out);
    }
    assert_eq!(out, []);
}

#[test]
fn only_nodes_that_responded_are_announced_as_recovered() {
    for (responded, announced) in [(&[][..], false), (&[NODE][..], true)] {
        let mut prober = Prober::new(&Section::default());
        let mut out = Vec::new();
        prober.step(
            10_000_000,
            &[NODE],
            &[],
            &fleet_state(0, 5, 1.0, 10_000_000),
            &mut out,
        );
        prober.step(
            11_000_000,
            &[],
            responded,
            &fleet_state(0, 5, 1.0, 11_000_000),
            &mut out,
        );
        assert_eq!(out.iter().any(|a| matches!(a, Action::Send(..))), announced);
    }
}
