//! The failure detector against simple oracles: updates win by process incarnation, incarnation and severity, in whatever order
//! they arrive; and a front that answers is never declared dead.

use lupinrack_fleet_membership::swim::{MemberState, Outgoing, ProbeTiming, Swim, Update};

const FRONTS: usize = 5;
const TIMING: ProbeTiming = ProbeTiming {
    period: 200_000,
    ping_timeout: 100_000,
    min_suspicion: 800_000,
};

/// Left and dead are equally severe: either way the front is gone.
fn severity(state: MemberState) -> u8 {
    match state {
        MemberState::Unknown => 0,
        MemberState::Alive => 1,
        MemberState::Suspect => 2,
        MemberState::Dead | MemberState::Left => 3,
    }
}

fn known(swim: &Swim, front: usize) -> (u64, u16, u8) {
    let member = &swim.members()[front];
    (
        member.process_incarnation,
        member.incarnation,
        severity(member.state),
    )
}

#[test]
fn the_order_of_updates_does_not_matter() {
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ];
        let mut updates: Vec<Update> = (0..rng.usize(1..9))
            .map(|_| Update {
                front: 1,
                state: states[rng.usize(0..4)],
                process_incarnation: rng.u64(1..4),
                incarnation: rng.u16(0..4),
                reported_by: rng.u16(0..FRONTS as u16),
            })
            .collect();
        let expected = updates
            .iter()
            .map(|u| (u.process_incarnation, u.incarnation, severity(u.state)))
            .max()
            .unwrap();
        for _ in 0..3 {
            rng.shuffle(&mut updates);
            let mut swim = Swim::new(0, 9, FRONTS, TIMING, seed, 0);
            for (i, update) in updates.iter().enumerate() {
                swim.on_update(i as i64, *update, &mut Vec::new());
            }
            assert_eq!(known(&swim, 1), expected, "seed {seed}: {updates:?}");
        }
    }
}

/// Runs the detector of one front against four others, some of which answer, over a network that loses datagrams. Returns the
/// fronts that it declared dead and those that it counts as present at the end.
fn run(seed: u64, answers: [bool; FRONTS], loss: f64) -> (Vec<usize>, Vec<usize>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut swim = Swim::new(0, 1, FRONTS, TIMING, rng.u64(..), 0);
    (1..FRONTS as u16).for_each(|front| swim.on_first_hand(0, front, 1, 0, &mut Vec::new()));
    let (mut dead, mut incarnations) = (Vec::new(), [0_u16; FRONTS]);
    // 150 s: the worst local health makes the detector nine times slower.
    for now in (0..150_000_000).step_by(25_000) {
        let (mut out, mut changes) = (Vec::new(), Vec::new());
        swim.tick(now, &mut out, &mut changes);
        dead.extend(
            changes
                .iter()
                .filter(|c| c.to == MemberState::Dead)
                .map(|c| usize::from(c.front)),
        );
        for message in out {
            let Outgoing::Ping(to, nonce) = message else {
                continue;
            };
            let to = usize::from(to);
            if !answers[to] || rng.f64() < loss {
                continue;
            }
            // The ping tells the target whether it is suspected; its acknowledgement refutes that.
            let updates = swim.updates_for(to as u16, 8);
            if updates.iter().any(|u| {
                usize::from(u.front) == to
                    && u.state == MemberState::Suspect
                    && u.incarnation >= incarnations[to]
            }) {
                incarnations[to] += 1;
            }
            if rng.f64() >= loss {
                swim.on_first_hand(now, to as u16, 1, incarnations[to], &mut changes);
                swim.on_ack(to as u16, nonce, &mut Vec::new());
            }
        }
    }
    let present = swim.present();
    (
        dead,
        (1..FRONTS)
            .filter(|front| present.contains(*front as u16))
            .collect(),
    )
}

#[test]
fn exactly_the_fronts_that_do_not_answer_are_declared_dead() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let answers = std::array::from_fn(|_| rng.bool());
        let (dead, present) = run(seed, answers, 0.1);
        let silent: Vec<usize> = (1..FRONTS).filter(|front| !answers[*front]).collect();
        let mut declared = dead.clone();
        declared.sort_unstable();
        assert_eq!(
            declared, silent,
            "seed {seed}: each silent front once, and no other"
        );
        assert!(present.iter().all(|front| answers[*front]), "seed {seed}");
    }
}
