//! Streams over a network that loses, doubles, delays and reorders, between lives that end: what was sent comes once, whole and in
//! order, or is told as lost; and what came is never more than what was sent.

use lupinrack_peer_transport::stream::{Out, Refused, Streams, MESSAGE_MOST};
use lupinrack_peer_transport::Tag;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const ROOM: usize = 210;

/// What one message says: which it is, and bytes that follow from that.
fn message(number: u32, length: usize) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.extend((4..length.max(5)).map(|i| (i as u32).wrapping_mul(number + 1) as u8));
    bytes
}

/// When it comes and in which order, whether to the receiver, for which of its lives, and what it says.
type OnItsWay = (i64, u64, bool, u32, Vec<u8>);

#[derive(Default)]
struct Seen {
    sent: Vec<u32>,
    came: Vec<u32>,
    done: u32,
    lost: u32,
    refused: u32,
}

/// Two fronts, one of which sends; `loss` and the deaths of the receiver are by the seed.
fn play(seed: u64, loss: f64, deaths: bool) -> Seen {
    let mut dice = fastrand::Rng::with_seed(seed);
    let (mut a, mut b) = (Streams::new(ROOM, 1), Streams::new(ROOM, 2));
    let mut seen = Seen::default();
    let mut way: BinaryHeap<Reverse<OnItsWay>> = BinaryHeap::new();
    let (mut now, mut number, mut life, mut order) = (1_000_000, 0, 0, 0u64);
    let end = 60_000_000;
    while now < end {
        now += 5_000;
        let mut out = Vec::new();
        if now < 20_000_000 && dice.u32(0..20) == 0 {
            number += 1;
            let length = [5, 150, 196, 197, 4_000, MESSAGE_MOST][dice.usize(0..6)];
            match a.send(now, 1, Tag::REGISTRY, message(number, length)) {
                Ok(_) => seen.sent.push(number),
                Err(Refused::Full) => seen.refused += 1,
                Err(why) => panic!("{why}"),
            }
        }
        if deaths && now < 20_000_000 && dice.u32(0..800) == 0 {
            // The receiver's new life knows of nothing; the sender hears of it, and what is on the way was for the old one.
            life += 1;
            b = Streams::new(ROOM, dice.u64(..));
            a.reborn(now, 1, &mut out);
        }
        let mut most = 40;
        a.tick(
            now,
            |_, _| {
                most -= 1;
                most > 0
            },
            &mut out,
        );
        let mut back = Vec::new();
        while way.peek().is_some_and(|Reverse(w)| w.0 <= now) {
            let Some(Reverse((_, _, to_b, of, bytes))) = way.pop() else {
                break;
            };
            match to_b {
                _ if of != life => {}
                true => b.hear(now, 0, &bytes, &mut back),
                false => a.hear(now, 1, &bytes, &mut out),
            }
        }
        for (from_a, o) in out
            .into_iter()
            .map(|o| (true, o))
            .chain(back.into_iter().map(|o| (false, o)))
        {
            match o {
                Out::Piece(_, bytes) => {
                    assert!(bytes.len() <= ROOM);
                    for _ in 0..1 + usize::from(dice.u32(0..10) == 0) {
                        if dice.f64() >= loss {
                            order += 1;
                            way.push(Reverse((
                                now + dice.i64(0..60_000),
                                order,
                                from_a,
                                life,
                                bytes.clone(),
                            )));
                        }
                    }
                }
                Out::Came(_, tag, bytes) => {
                    let number = u32::from_le_bytes(bytes[..4].try_into().unwrap());
                    assert_eq!(
                        (tag, bytes == message(number, bytes.len())),
                        (Tag::REGISTRY, true)
                    );
                    seen.came.push(number);
                }
                Out::Done(..) => seen.done += 1,
                Out::Lost(..) => seen.lost += 1,
            }
        }
    }
    seen
}

#[test]
fn what_was_sent_comes_once_whole_and_in_order() {
    for seed in 0..60 {
        let loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let seen = play(seed, loss, false);
        assert_eq!((&seen.came, seen.lost), (&seen.sent, 0), "seed {seed}");
        assert_eq!(seen.done as usize, seen.sent.len());
    }
}

#[test]
fn with_lives_that_end_nothing_comes_twice_and_whatever_did_not_come_is_told() {
    let mut lost = 0;
    for seed in 0..60 {
        let seen = play(seed, 0.1, true);
        assert!(
            seen.came.windows(2).all(|w| w[0] < w[1]),
            "seed {seed}: {:?}",
            seen.came
        );
        assert_eq!(
            (seen.done + seen.lost) as usize,
            seen.sent.len(),
            "seed {seed}"
        );
        assert!(
            seen.done as usize <= seen.came.len(),
            "seed {seed}: done, but never given"
        );
        lost += seen.lost;
    }
    assert!(lost > 0, "the deaths do cost something");
}

#[test]
fn where_nothing_comes_through_messages_are_lost_and_said_to_be() {
    let seen = play(5, 1.0, false);
    assert!(seen.came.is_empty() && seen.refused > 0);
    assert!(
        seen.lost >= 3,
        "one after another, each after its patience: {}",
        seen.lost
    );
}

#[test]
fn nonsense_changes_nothing_and_holds_no_more_than_its_bound() {
    let mut dice = fastrand::Rng::with_seed(9);
    let mut streams = Streams::new(ROOM, 1);
    streams.send(0, 3, Tag::MISSING, vec![1; 1_000]).unwrap();
    for round in 0..200_000u32 {
        let mut body: Vec<u8> = (0..dice.usize(0..ROOM)).map(|_| dice.u8(..)).collect();
        if body.len() > 14 {
            body[0] = dice.u8(0..3);
            body[2..6].copy_from_slice(&dice.u32(0..4).to_le_bytes());
            body[6..10].copy_from_slice(&dice.u32(0..70_000).to_le_bytes());
            body[10..14].copy_from_slice(&dice.u32(0..300).to_le_bytes());
        }
        let mut out = Vec::new();
        streams.hear(i64::from(round), dice.u16(0..1024), &body, &mut out);
        assert!(out.len() <= 2);
    }
    assert_eq!(
        streams.waiting(),
        1,
        "the end of a message is told by who has it, by its number"
    );
}
