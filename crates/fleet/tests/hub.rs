//! Two and five fronts with a machine beside the membership: what it says goes where it is to go, and floods take nothing from the
//! membership.

use lupinrack_fleet::{Hub, Out, Said};
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::Source;
use lupinrack_peer_transport::stream::MESSAGE_MOST;
use lupinrack_peer_transport::Tag;
use lupinrack_policy::Micros;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn section(n: u16) -> Section {
    let address = |i: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i));
    let member = (0..n)
        .map(|i| Peer {
            name: format!("n{i}"),
            address: address(i),
        })
        .collect();
    Section {
        enabled: true,
        name: "n0".into(),
        member,
        keys: vec!["07".repeat(32)],
        ..Section::default()
    }
}

/// Fronts on one clock; a datagram takes 1 ms, and one in `loses` is lost.
struct Fleet {
    hubs: Vec<Option<Hub>>,
    now: Micros,
    way: BTreeMap<(Micros, u64), (u16, u16, Vec<u8>)>,
    number: u64,
    loses: u32,
    dice: fastrand::Rng,
    said: Vec<Vec<Said>>,
    ended: Vec<(u16, u32, bool)>,
}

impl Fleet {
    fn new(n: u16, loses: u32) -> Fleet {
        let hub = |i: u16| {
            Some(Hub::new(
                &section(n),
                i,
                100 + u64::from(i),
                u64::from(i),
                START,
            ))
        };
        Fleet {
            hubs: (0..n).map(hub).collect(),
            now: START,
            way: BTreeMap::new(),
            number: 0,
            loses,
            dice: fastrand::Rng::with_seed(7),
            said: vec![Vec::new(); usize::from(n)],
            ended: Vec::new(),
        }
    }

    fn carry(&mut self, of: u16, out: Vec<Out>) {
        for o in out {
            match o {
                Out::Send(to, bytes) => {
                    assert!(bytes.len() <= 256);
                    if self.loses == 0 || self.dice.u32(0..self.loses) > 0 {
                        self.number += 1;
                        self.way
                            .insert((self.now + MS, self.number), (of, to, bytes));
                    }
                }
                Out::Said(said) => self.said[usize::from(of)].push(said),
                Out::Ended(to, _, number, whole) => self.ended.push((to, number, whole)),
                Out::Answer(_) | Out::Event(_) | Out::Reborn(_) => {}
            }
        }
    }

    fn with<T>(&mut self, of: u16, act: impl FnOnce(&mut Hub, Micros, &mut Vec<Out>) -> T) -> T {
        let mut out = Vec::new();
        let done = act(
            self.hubs[usize::from(of)].as_mut().expect("it lives"),
            self.now,
            &mut out,
        );
        self.carry(of, out);
        done
    }

    fn pass(&mut self, span: Micros, mut each: impl FnMut(&mut Fleet)) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            while let Some(next) = self.way.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, bytes) = next.remove();
                if self.hubs[usize::from(to)].is_some() {
                    self.with(to, |h, now, out| {
                        h.datagram(now, Source::Peer(from), &bytes, out)
                    });
                }
            }
            if self.now.rem_euclid(25 * MS) == 0 {
                for i in 0..self.hubs.len() as u16 {
                    if self.hubs[usize::from(i)].is_some() {
                        self.with(i, |h, now, out| h.tick(now, out));
                    }
                }
            }
            each(self);
        }
    }

    fn stances(&self) -> Vec<Participation> {
        self.hubs
            .iter()
            .flatten()
            .map(|h| h.standing(self.now).stance)
            .collect()
    }
}

#[test]
fn long_messages_come_whole_over_a_network_that_loses_one_in_five() {
    let mut fleet = Fleet::new(3, 5);
    fleet.pass(4_000 * MS, |_| {});
    let message = |k: u8| {
        vec![
            k;
            if k.is_multiple_of(2) {
                MESSAGE_MOST
            } else {
                700
            }
        ]
    };
    for k in 0..4 {
        let taken = fleet.with(0, |h, now, out| {
            h.stream(now, 1, Tag::REGISTRY, message(k), out)
        });
        assert_eq!(taken, Ok(u32::from(k) + 1));
    }
    fleet.pass(30_000 * MS, |_| {});
    let came: Vec<&Said> = fleet.said[1].iter().filter(|s| s.streamed).collect();
    assert_eq!(came.len(), 4);
    assert!(came
        .iter()
        .enumerate()
        .all(|(k, s)| s.bytes == message(k as u8) && s.from == 0));
    assert_eq!(
        fleet.ended,
        (1..5).map(|k| (1, k, true)).collect::<Vec<_>>()
    );
}

#[test]
fn a_machine_that_floods_moves_no_front_of_the_fleet_and_no_lease() {
    let mut fleet = Fleet::new(5, 0);
    fleet.pass(12_000 * MS, |_| {});
    assert!(
        fleet
            .stances()
            .iter()
            .all(|s| *s == Participation::Majority),
        "{:?}",
        fleet.stances()
    );
    let views = fleet.hubs[0].as_ref().unwrap().standing(fleet.now).view;
    let mut went = 0;
    fleet.pass(10_000 * MS, |fleet| {
        for of in 0..5 {
            for to in (0..5).filter(|to| *to != of) {
                let said = fleet.with(of, |h, now, out| {
                    h.say(now, to, Tag::MISSING, &[1; 200], out)
                });
                went += u32::from(said);
            }
        }
        assert!(fleet
            .stances()
            .iter()
            .all(|s| *s == Participation::Majority));
    });
    assert!(
        went > 1_000 && went < 5 * 10 * 250,
        "bounded, and not starved: {went}"
    );
    assert_eq!(
        fleet.hubs[0].as_ref().unwrap().standing(fleet.now).view,
        views
    );
}

#[test]
fn what_was_underway_to_a_front_that_died_is_told_as_lost_and_its_next_life_hears_what_follows() {
    let mut fleet = Fleet::new(3, 0);
    fleet.pass(4_000 * MS, |_| {});
    fleet.hubs[2] = None;
    let first = fleet.with(0, |h, now, out| {
        h.stream(now, 2, Tag::OVERLOAD, vec![1; 5_000], out)
    });
    fleet.pass(1_000 * MS, |_| {});
    fleet.hubs[2] = Some(Hub::new(&section(3), 2, 999, 5, fleet.now));
    fleet.pass(3_000 * MS, |_| {});
    let second = fleet.with(0, |h, now, out| {
        h.stream(now, 2, Tag::OVERLOAD, vec![2; 5_000], out)
    });
    fleet.pass(3_000 * MS, |_| {});
    let ends: Vec<bool> = fleet.ended.iter().map(|e| e.2).collect();
    assert_eq!((first, second, ends), (Ok(1), Ok(2), vec![false, true]));
    assert_eq!(
        fleet.said[2].last().map(|s| s.bytes.clone()),
        Some(vec![2; 5_000])
    );
    // To one whose life is not known nothing is said at all.
    let mut alone = Hub::new(&section(3), 0, 5, 5, START);
    assert!(!alone.say(START, 1, Tag::OVERLOAD, b"x", &mut Vec::new()));
}
