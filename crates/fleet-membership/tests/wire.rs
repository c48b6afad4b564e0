//! The datagram's reader: what was written is read back, what was altered is not taken, and nothing makes it panic.

use lupinrack_fleet_membership::agree::{Ballot, Number, Promises, Round, View, Word};
use lupinrack_fleet_membership::bits::Bits;
use lupinrack_fleet_membership::swim::{News, State};
use lupinrack_fleet_membership::wire::{
    Body, Datagram, Keys, Told, Void, Window, LONGEST, VOLUMES_MOST,
};
use std::collections::HashSet;

fn keys(sign: u8, also: Option<u8>) -> Keys {
    Keys {
        sign: Some([sign; 32]),
        also: also.map(|k| [k; 32]),
    }
}

fn number(dice: &mut fastrand::Rng, n: u16) -> Number {
    let ballot = Ballot {
        round: dice.u32(1..9),
        leader: dice.u16(0..n),
        life: dice.u64(1..),
    };
    Number {
        ballot,
        n: dice.u32(1..),
    }
}

fn bits(dice: &mut fastrand::Rng, n: u16) -> Bits {
    (0..n).filter(|_| dice.bool()).collect()
}

fn told(dice: &mut fastrand::Rng, n: u16) -> Told {
    let at = number(dice, n);
    let mut word = Word {
        promised: at.ballot,
        number: at,
        ..Word::default()
    };
    let prev = Number { n: at.n - 1, ..at };
    word.view = dice.bool().then(|| View {
        number: at,
        prev,
        members: bits(dice, n),
    });
    word.promises = dice.bool().then(|| Promises {
        by: bits(dice, n),
        best: number(dice, n),
    });
    word.round = dice.bool().then(|| Round {
        k: dice.u32(..),
        by: bits(dice, n),
    });
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    let leads = dice.bool();
    let news = (0..dice.usize(0..6)).map(|_| News {
        of: dice.u16(0..n),
        state: states[dice.usize(0..4)],
        life: dice.u64(1..),
        inc: dice.u16(..),
        by: dice.u16(0..n),
    });
    Told {
        word,
        leads,
        news: news.collect(),
    }
}

fn volumes(dice: &mut fastrand::Rng) -> Vec<u64> {
    (0..dice.usize(0..=VOLUMES_MOST))
        .map(|_| dice.u64(..))
        .collect()
}

fn datagram(dice: &mut fastrand::Rng, n: u16) -> Datagram {
    let body = match dice.u32(0..9) {
        0 => Body::Hello(dice.u64(..)),
        1 => Body::Ping(dice.u32(..), told(dice, n)),
        2 => Body::Ack(dice.u32(..), i64::from(dice.u32(..)), told(dice, n)),
        3 => Body::Push(told(dice, n)),
        4 => Body::Ask(dice.u16(0..n), dice.u32(..)),
        5 => Body::Reached(dice.u32(..), dice.bool()),
        6 => Body::Serves(dice.u8(..), volumes(dice)),
        7 => Body::Heard(dice.u8(..), volumes(dice), dice.u32(..)),
        _ => Body::Contested,
    };
    Datagram {
        roster: dice.u32(..),
        from: dice.u16(0..n),
        seq: dice.u32(1..),
        life: dice.u64(1..),
        to_life: dice.u64(..),
        inc: dice.u16(..),
        body,
    }
}

/// What does not fit is left out from the end; what is read is a part of what was written.
fn part(written: &Body, read: &Body) -> bool {
    let told = |a: &Told, b: &Told| {
        let (w, r) = (&a.word, &b.word);
        (w.promised, w.number) == (r.promised, r.number)
            && r.view.is_none_or(|v| Some(v) == w.view)
            && r.promises.is_none_or(|v| Some(v) == w.promises)
            && r.round.is_none_or(|v| Some(v) == w.round)
            && a.news.starts_with(&b.news)
    };
    match (written, read) {
        (Body::Ping(a, w), Body::Ping(b, r)) => a == b && told(w, r),
        (Body::Ack(a, x, w), Body::Ack(b, y, r)) => (a, x) == (b, y) && told(w, r),
        (Body::Push(w), Body::Push(r)) => told(w, r),
        _ => written == read,
    }
}

#[test]
fn what_is_written_is_read_at_every_size_and_fits() {
    let mut dice = fastrand::Rng::with_seed(1);
    for n in [2u16, 3, 5, 9, 64, 300, 1000, 1024] {
        for _ in 0..2_000 {
            let d = datagram(&mut dice, n);
            let keys = if dice.bool() {
                keys(1, None)
            } else {
                Keys::default()
            };
            let bytes = d.write(usize::from(n), &keys);
            assert!(bytes.len() <= LONGEST, "{n}: {}", bytes.len());
            let read = Datagram::read(&bytes, usize::from(n), &keys)
                .unwrap_or_else(|e| panic!("{e}: {d:?}"));
            assert!(part(&d.body, &read.body), "{d:?}\n{read:?}");
            assert_eq!(
                Datagram {
                    body: d.body.clone(),
                    ..read
                },
                d
            );
        }
    }
}

#[test]
fn no_altered_datagram_is_taken_and_nothing_panics() {
    let mut dice = fastrand::Rng::with_seed(2);
    let right = keys(1, Some(2));
    for _ in 0..20_000 {
        let n = dice.u16(2..300);
        let mut bytes = datagram(&mut dice, n).write(usize::from(n), &right);
        match dice.u32(0..4) {
            0 => {
                let at = dice.usize(0..bytes.len());
                bytes[at] ^= 1 << dice.u32(0..8);
            }
            1 => bytes.truncate(dice.usize(0..bytes.len())),
            2 => bytes.extend((0..dice.usize(1..40)).map(|_| dice.u8(..))),
            _ => bytes = (0..dice.usize(0..300)).map(|_| dice.u8(..)).collect(),
        }
        assert!(Datagram::read(&bytes, usize::from(n), &right).is_err());
    }
    // With a right sum over nonsense the reader is alone with it.
    for _ in 0..200_000 {
        let n = dice.usize(1..1025);
        let mut bytes: Vec<u8> = (0..dice.usize(0..252)).map(|_| dice.u8(..)).collect();
        if bytes.len() > 4 && dice.bool() {
            bytes[..4].copy_from_slice(&[0x6c, 3, 0, 0]);
            bytes
                .get_mut(30..32)
                .into_iter()
                .for_each(|b| b.copy_from_slice(&[dice.u8(0..10), 0]));
        }
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        if let Ok(read) = Datagram::read(&bytes, n, &Keys::default()) {
            assert!(read.write(n, &Keys::default()).len() <= LONGEST);
        }
    }
}

#[test]
fn keys_are_changed_in_steps_that_each_side_understands() {
    let mut dice = fastrand::Rng::with_seed(3);
    let d = datagram(&mut dice, 5);
    let takes = |signed: &Keys, by: &Keys| Datagram::read(&d.write(5, signed), 5, by).map(|_| ());
    let (old, both, new, only) = (
        keys(1, None),
        keys(1, Some(2)),
        keys(2, Some(1)),
        keys(2, None),
    );
    for (a, b) in [(&old, &both), (&both, &new), (&new, &only)] {
        assert_eq!((takes(a, b), takes(b, a)), (Ok(()), Ok(())));
    }
    assert_eq!(takes(&old, &only), Err(Void::Sum));
    assert_eq!(takes(&Keys::default(), &old), Err(Void::Sum));
}

#[test]
fn a_window_takes_each_number_once_as_a_naive_one_does() {
    let mut dice = fastrand::Rng::with_seed(4);
    for _ in 0..200 {
        let (mut window, mut taken, mut last) = (Window::default(), HashSet::new(), 0u32);
        let mut at = 1u32;
        for _ in 0..500 {
            at = at.saturating_add(dice.u32(0..4));
            let seq = at.saturating_sub(dice.u32(0..90)).max(1);
            let naive = !taken.contains(&seq) && (seq > last || last - seq < 64);
            assert_eq!(window.take(seq), naive, "{seq} after {last}");
            if naive {
                taken.insert(seq);
                last = last.max(seq);
            }
        }
    }
}
