//! News of one front, against a naive model: whatever the order in which it comes, the same is held in the end, the highest of it by
//! life, incarnation and gravity; and nobody is held for dead who answers.

use lupinrack_fleet_membership::swim::{News, Out, Pace, State, Swim};

const N: usize = 5;
const PACE: Pace = Pace {
    period: 200_000,
    patience: 100_000,
    suspicion: 800_000,
};

/// Left and dead weigh the same: gone.
fn gravity(state: State) -> u8 {
    match state {
        State::Unknown => 0,
        State::Alive => 1,
        State::Suspect => 2,
        State::Dead | State::Left => 3,
    }
}

fn held(swim: &Swim, of: usize) -> (u64, u16, u8) {
    let m = &swim.members()[of];
    (m.life, m.inc, gravity(m.state))
}

#[test]
fn the_order_of_news_does_not_matter() {
    for seed in 0..20_000 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let states = [State::Alive, State::Suspect, State::Dead, State::Left];
        let mut news: Vec<News> = (0..dice.usize(1..9))
            .map(|_| News {
                of: 1,
                state: states[dice.usize(0..4)],
                life: dice.u64(1..4),
                inc: dice.u16(0..4),
                by: dice.u16(0..N as u16),
            })
            .collect();
        let naive = news
            .iter()
            .map(|n| (n.life, n.inc, gravity(n.state)))
            .max()
            .unwrap();
        for _ in 0..3 {
            dice.shuffle(&mut news);
            let mut swim = Swim::new(0, 9, N, PACE, seed, 0);
            for (i, piece) in news.iter().enumerate() {
                swim.hear(i as i64, *piece, &mut Vec::new());
            }
            assert_eq!(held(&swim, 1), naive, "seed {seed}: {news:?}");
        }
    }
}

/// Plays one front against four that answer or not, by chance; tells who of those that answer was ever held for dead.
fn played(seed: u64, answers: [bool; N], loss: f64) -> (Vec<usize>, Vec<usize>) {
    let mut dice = fastrand::Rng::with_seed(seed);
    let mut swim = Swim::new(0, 1, N, PACE, dice.u64(..), 0);
    (1..N as u16).for_each(|of| swim.heard(0, of, 1, 0, &mut Vec::new()));
    let (mut dead, mut incs) = (Vec::new(), [0_u16; N]);
    // Local health at its worst makes all of it nine times slower.
    for now in (0..150_000_000).step_by(25_000) {
        let (mut out, mut changes) = (Vec::new(), Vec::new());
        swim.tick(now, &mut out, &mut changes);
        dead.extend(
            changes
                .iter()
                .filter(|c| c.to == State::Dead)
                .map(|c| usize::from(c.of)),
        );
        for o in out {
            let Out::Ping(to, nonce) = o else { continue };
            let to = usize::from(to);
            if !answers[to] || dice.f64() < loss {
                continue;
            }
            // It hears whether it is suspected, and refutes that in its answer.
            let told = swim.news(to as u16, 8);
            if told
                .iter()
                .any(|n| usize::from(n.of) == to && n.state == State::Suspect && n.inc >= incs[to])
            {
                incs[to] += 1;
            }
            if dice.f64() >= loss {
                swim.heard(now, to as u16, 1, incs[to], &mut changes);
                swim.answered(to as u16, nonce, &mut Vec::new());
            }
        }
    }
    let present = swim.present();
    (dead, (1..N).filter(|of| present.has(*of as u16)).collect())
}

#[test]
fn who_answers_is_never_held_for_dead_and_who_does_not_is() {
    for seed in 0..200 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let answers = std::array::from_fn(|_| dice.bool());
        let (dead, present) = played(seed, answers, 0.1);
        let silent: Vec<usize> = (1..N).filter(|of| !answers[*of]).collect();
        let mut found = dead.clone();
        found.sort_unstable();
        assert_eq!(
            found, silent,
            "seed {seed}: each silent one once, and nobody else"
        );
        assert!(present.iter().all(|of| answers[*of]), "seed {seed}");
    }
}
