//! Fleets of three and five fronts with a protocol beside the membership: its messages arrive, and its floods do not disturb the
//! membership.

use lupinrack_fleet::{Endpoint, Message, Output};
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::Source;
use lupinrack_peer_transport::stream::MAX_MESSAGE_BYTES;
use lupinrack_peer_transport::Tag;
use lupinrack_policy::Micros;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn section(front_count: u16) -> Section {
    let address = |i: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i));
    let member = (0..front_count)
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

/// Fronts on one clock. A datagram takes 1 ms, and one in `loss_one_in` is lost; 0 for no loss.
struct Fleet {
    endpoints: Vec<Option<Endpoint>>,
    now: Micros,
    in_flight: BTreeMap<(Micros, u64), (u16, u16, Vec<u8>)>,
    datagram_count: u64,
    loss_one_in: u32,
    rng: fastrand::Rng,
    received: Vec<Vec<Message>>,
    ended: Vec<(u16, u32, bool)>,
}

impl Fleet {
    fn new(front_count: u16, loss_one_in: u32) -> Fleet {
        let endpoint = |i: u16| {
            Some(Endpoint::new(
                &section(front_count),
                i,
                100 + u64::from(i),
                u64::from(i),
                START,
            ))
        };
        Fleet {
            endpoints: (0..front_count).map(endpoint).collect(),
            now: START,
            in_flight: BTreeMap::new(),
            datagram_count: 0,
            loss_one_in,
            rng: fastrand::Rng::with_seed(7),
            received: vec![Vec::new(); usize::from(front_count)],
            ended: Vec::new(),
        }
    }

    fn handle(&mut self, front: u16, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(to, bytes) => {
                    assert!(bytes.len() <= 256);
                    if self.loss_one_in == 0 || self.rng.u32(0..self.loss_one_in) > 0 {
                        self.datagram_count += 1;
                        self.in_flight
                            .insert((self.now + MS, self.datagram_count), (front, to, bytes));
                    }
                }
                Output::Message(message) => self.received[usize::from(front)].push(message),
                Output::StreamEnded(to, _, number, delivered) => {
                    self.ended.push((to, number, delivered))
                }
                Output::Answer(_) | Output::Event(_) | Output::Restarted(_) => {}
            }
        }
    }

    fn with<T>(
        &mut self,
        front: u16,
        call: impl FnOnce(&mut Endpoint, Micros, &mut Vec<Output>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = call(
            self.endpoints[usize::from(front)]
                .as_mut()
                .expect("the front runs"),
            self.now,
            &mut out,
        );
        self.handle(front, out);
        result
    }

    fn advance(&mut self, duration: Micros, mut each_ms: impl FnMut(&mut Fleet)) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(next) = self
                .in_flight
                .first_entry()
                .filter(|e| e.key().0 <= self.now)
            {
                let (from, to, bytes) = next.remove();
                if self.endpoints[usize::from(to)].is_some() {
                    self.with(to, |endpoint, now, out| {
                        endpoint.receive(now, Source::Peer(from), &bytes, out)
                    });
                }
            }
            if self.now.rem_euclid(25 * MS) == 0 {
                for i in 0..self.endpoints.len() as u16 {
                    if self.endpoints[usize::from(i)].is_some() {
                        self.with(i, |endpoint, now, out| endpoint.tick(now, out));
                    }
                }
            }
            each_ms(self);
        }
    }

    fn participations(&self) -> Vec<Participation> {
        self.endpoints
            .iter()
            .flatten()
            .map(|endpoint| endpoint.fleet_state(self.now).participation)
            .collect()
    }
}

#[test]
fn long_messages_arrive_complete_over_a_network_that_loses_one_in_five() {
    let mut fleet = Fleet::new(3, 5);
    fleet.advance(4_000 * MS, |_| {});
    let message = |k: u8| {
        vec![
            k;
            if k.is_multiple_of(2) {
                MAX_MESSAGE_BYTES
            } else {
                700
            }
        ]
    };
    for k in 0..4 {
        let sent = fleet.with(0, |endpoint, now, out| {
            endpoint.send_stream(now, 1, Tag::REGISTRY, message(k), out)
        });
        assert_eq!(sent, Ok(u32::from(k) + 1));
    }
    fleet.advance(30_000 * MS, |_| {});
    let received: Vec<&Message> = fleet.received[1].iter().filter(|m| m.streamed).collect();
    assert_eq!(received.len(), 4);
    assert!(received
        .iter()
        .enumerate()
        .all(|(k, m)| m.bytes == message(k as u8) && m.from == 0));
    assert_eq!(
        fleet.ended,
        (1..5).map(|k| (1, k, true)).collect::<Vec<_>>()
    );
}

#[test]
fn flooding_protocol_costs_no_front_its_view_or_lease() {
    let mut fleet = Fleet::new(5, 0);
    fleet.advance(12_000 * MS, |_| {});
    assert!(
        fleet
            .participations()
            .iter()
            .all(|p| *p == Participation::Majority),
        "{:?}",
        fleet.participations()
    );
    let view_number = fleet.endpoints[0]
        .as_ref()
        .unwrap()
        .fleet_state(fleet.now)
        .view_number;
    let mut sent_count = 0;
    fleet.advance(10_000 * MS, |fleet| {
        for from in 0..5 {
            for to in (0..5).filter(|to| *to != from) {
                let sent = fleet.with(from, |endpoint, now, out| {
                    endpoint.send(now, to, Tag::MISSING, &[1; 200], out)
                });
                sent_count += u32::from(sent);
            }
        }
        assert!(fleet
            .participations()
            .iter()
            .all(|p| *p == Participation::Majority));
    });
    assert!(
        sent_count > 1_000 && sent_count < 5 * 10 * 250,
        "limited, but not starved: {sent_count}"
    );
    assert_eq!(
        fleet.endpoints[0]
            .as_ref()
            .unwrap()
            .fleet_state(fleet.now)
            .view_number,
        view_number
    );
}

#[test]
fn messages_to_a_killed_front_are_lost_and_later_ones_reach_its_next_incarnation() {
    let mut fleet = Fleet::new(3, 0);
    fleet.advance(4_000 * MS, |_| {});
    fleet.endpoints[2] = None;
    let first = fleet.with(0, |endpoint, now, out| {
        endpoint.send_stream(now, 2, Tag::OVERLOAD, vec![1; 5_000], out)
    });
    fleet.advance(1_000 * MS, |_| {});
    fleet.endpoints[2] = Some(Endpoint::new(&section(3), 2, 999, 5, fleet.now));
    fleet.advance(3_000 * MS, |_| {});
    let second = fleet.with(0, |endpoint, now, out| {
        endpoint.send_stream(now, 2, Tag::OVERLOAD, vec![2; 5_000], out)
    });
    fleet.advance(3_000 * MS, |_| {});
    let delivered: Vec<bool> = fleet.ended.iter().map(|e| e.2).collect();
    assert_eq!(
        (first, second, delivered),
        (Ok(1), Ok(2), vec![false, true])
    );
    assert_eq!(
        fleet.received[2].last().map(|m| m.bytes.clone()),
        Some(vec![2; 5_000])
    );
    // Nothing is sent to a front whose process incarnation is not known.
    let mut alone = Endpoint::new(&section(3), 0, 5, 5, START);
    assert!(!alone.send(START, 1, Tag::OVERLOAD, b"x", &mut Vec::new()));
}
