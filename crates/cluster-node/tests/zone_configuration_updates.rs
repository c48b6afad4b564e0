//! Configuration updates in a zone of fronts and a head, where tables of live members may be wrong. The tests guard
//! against a front that falls behind, or one that assumes it is fresher than it is.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::frame::{Frame, Interest, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::front::configuration_feed::ConfigurationFeed;
use lupinrack_cluster_node::front::home_front::HOME_TIMEOUT_MS;
use lupinrack_cluster_node::front::known_configuration::ConfigurationUpdate;
use quickcheck::{QuickCheck, TestResult};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

const ZONE: &str = "east";
const TICK_MS: u64 = 50;
const DELAY_MS: u64 = 2;
const HEAD: usize = 0;
/// A front whose configuration is older than this asks the head about names it does not know.
const MAX_CONFIGURATION_AGE_MS: u64 = 900;

fn address(index: usize) -> PeerAddress {
    PeerAddress(SocketAddrV4::new([10, 0, 0, index as u8 + 1].into(), 7_000))
}

fn index_of(address: PeerAddress) -> usize {
    usize::from(address.0.ip().octets()[3]) - 1
}

fn view() -> View {
    let voter = Voter {
        disk: DiskId(1),
        address: address(HEAD),
        zone: ZONE.to_string(),
    };
    View {
        number: 1,
        voters: vec![voter],
        chain: vec![DiskId(1)],
    }
}

fn table_of(fronts: impl IntoIterator<Item = usize>) -> LiveTable {
    let member = |index| LiveMember {
        address: address(index),
        role: Role::Frontend,
        zone: ZONE.to_string(),
        process_incarnation: 1,
    };
    LiveTable::new(fronts.into_iter().map(member).collect())
}

struct InFlight {
    at: u64,
    from: usize,
    to: usize,
    frame: Frame,
}

/// Index 0 is the head; the others are fronts. Every pair has one connection, numbered by the peer's index.
struct Zone {
    now: u64,
    /// The commit time of each version, starting at version 1.
    committed: Vec<u64>,
    fronts: Vec<ConfigurationFeed>,
    tables: Vec<LiveTable>,
    unresponsive: Vec<bool>,
    /// Fronts that are partitioned from the head.
    cut_off: Vec<bool>,
    in_flight: VecDeque<InFlight>,
    asked_head: u64,
}

impl Zone {
    fn new(fronts: usize) -> Zone {
        let seeds = || vec![address(HEAD)];
        let update = |index| {
            ConfigurationFeed::new(address(index), ZONE.to_string(), seeds(), Millis(1_000))
        };
        let table = table_of(1..=fronts);
        Zone {
            now: 1_000,
            committed: vec![1_000],
            fronts: (1..=fronts).map(update).collect(),
            tables: vec![table; fronts],
            unresponsive: vec![false; fronts + 1],
            cut_off: vec![false; fronts + 1],
            in_flight: VecDeque::new(),
            asked_head: 0,
        }
    }

    fn home(&self) -> usize {
        let home = self.tables[0]
            .home_front(ZONE, None)
            .expect("a zone of several fronts has a home");
        index_of(home)
    }

    fn age_ms(&self, front: usize) -> u64 {
        Millis(self.now).since(self.fronts[front - 1].known().confirmed_at)
    }

    fn version(&self, front: usize) -> u64 {
        self.fronts[front - 1].known().configuration.version
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.deliver();
            if self.now.is_multiple_of(TICK_MS) {
                (1..=self.fronts.len()).for_each(|front| self.tick(front));
            }
            (1..=self.fronts.len()).for_each(|front| self.assert_freshness_not_overstated(front));
        }
    }

    /// Asserts that a front does not overstate its freshness: its version is at least the newest one at `confirmed_at`.
    fn assert_freshness_not_overstated(&self, front: usize) {
        let known = self.fronts[front - 1].known();
        let newest_then = self
            .committed
            .iter()
            .filter(|at| **at <= known.confirmed_at.0)
            .count() as u64;
        let version = known.configuration.version;
        assert!(
            version == 0 || version >= newest_then,
            "front {front} holds version {version}"
        );
    }

    fn tick(&mut self, front: usize) {
        if self.unresponsive[front] {
            return;
        }
        let subscribe =
            self.fronts[front - 1].tick(&self.tables[front - 1], &view(), Millis(self.now));
        if let Some(subscribe) = subscribe {
            self.send(front, index_of(subscribe.to), subscribe.frame);
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if (from == HEAD && self.cut_off[to]) || (to == HEAD && self.cut_off[from]) {
            return;
        }
        self.in_flight.push_back(InFlight {
            at: self.now + DELAY_MS,
            from,
            to,
            frame,
        });
    }

    /// Messages to an unresponsive process are queued; messages to a process that never existed are lost.
    fn deliver(&mut self) {
        for _ in 0..self.in_flight.len() {
            let Some(next) = self.in_flight.pop_front() else {
                break;
            };
            let Some(unresponsive) = self.unresponsive.get(next.to) else {
                continue;
            };
            match next.at <= self.now && !unresponsive {
                true if next.to == HEAD => self.at_head(next),
                true => self.at_front(next),
                false => self.in_flight.push_back(next),
            }
        }
    }

    fn at_head(&mut self, InFlight { from, frame, .. }: InFlight) {
        let Frame::Subscribe {
            interest: Interest::Configuration { have },
            requested_at,
        } = frame
        else {
            return;
        };
        self.asked_head += 1;
        let version = self.committed.len() as u64;
        let configuration = (have != version).then(|| Configuration {
            version,
            ..Configuration::default()
        });
        self.send(
            HEAD,
            from,
            Frame::ConfigurationUpdate {
                requested_at,
                age_ms: 0,
                version,
                configuration,
            },
        );
    }

    fn at_front(
        &mut self,
        InFlight {
            from, to, frame, ..
        }: InFlight,
    ) {
        let now = Millis(self.now);
        let front = &mut self.fronts[to - 1];
        let frames = match frame {
            Frame::Subscribe {
                interest,
                requested_at,
            } => front.subscribed(from as u64, interest, requested_at, &view(), now),
            Frame::ConfigurationUpdate {
                requested_at,
                age_ms,
                version,
                configuration,
            } => {
                let update = ConfigurationUpdate {
                    requested_at,
                    age_ms,
                    version,
                    configuration,
                };
                front.receive(address(from), update, &view(), now)
            }
            _ => Vec::new(),
        };
        for relayed in frames {
            self.send(to, relayed.connection as usize, relayed.frame);
        }
    }
}

#[test]
fn only_the_home_asks_the_head() {
    let mut zone = Zone::new(5);
    zone.run(5_000);
    zone.asked_head = 0;
    zone.run(10_000);
    assert!(
        (20..=30).contains(&zone.asked_head),
        "{} questions",
        zone.asked_head
    );
    for front in 1..=5 {
        assert_eq!(zone.version(front), 1);
        assert_eq!(
            zone.fronts[front - 1].source().is_none(),
            front == zone.home()
        );
    }
}

#[test]
fn a_single_front_asks_the_head() {
    let mut zone = Zone::new(1);
    zone.run(5_000);
    assert_eq!(zone.fronts[0].source(), None);
    assert_eq!(zone.version(1), 1);
}

#[test]
fn freshness_adds_up_and_stays_within_what_fronts_need() {
    let mut zone = Zone::new(4);
    zone.run(5_000);
    for _ in 0..10_000 {
        zone.run(1);
        for front in 1..=4 {
            assert!(
                zone.age_ms(front) < MAX_CONFIGURATION_AGE_MS,
                "front {front} is {} ms old",
                zone.age_ms(front)
            );
        }
    }
}

#[test]
fn a_new_configuration_reaches_all() {
    let mut zone = Zone::new(4);
    zone.run(5_000);
    zone.committed.push(zone.now);
    zone.run(900);
    assert!((1..=4).all(|front| zone.version(front) == 2));
}

#[test]
fn a_home_that_times_out_is_left_for_the_head() {
    let mut zone = Zone::new(4);
    zone.run(5_000);
    let home = zone.home();
    zone.unresponsive[home] = true;
    zone.run(HOME_TIMEOUT_MS + 200);
    zone.committed.push(zone.now);
    zone.run(500);
    for front in (1..=4).filter(|front| *front != home) {
        assert_eq!(zone.version(front), 2);
        assert!(zone.age_ms(front) < MAX_CONFIGURATION_AGE_MS);
    }
}

#[test]
fn a_home_that_responds_again_does_not_overstate_freshness() {
    let mut zone = Zone::new(4);
    zone.run(5_000);
    let home = zone.home();
    zone.unresponsive[home] = true;
    zone.run(150);
    zone.committed.push(zone.now);
    zone.run(4_000);
    zone.unresponsive[home] = false;
    zone.run(10_000);
    assert!((1..=4).all(|front| zone.version(front) == 2));
}

#[test]
fn a_home_that_is_partitioned_from_the_head_relays_nothing_as_fresh() {
    let mut zone = Zone::new(4);
    zone.run(5_000);
    let home = zone.home();
    zone.cut_off[home] = true;
    zone.run(100);
    for _ in 0..40 {
        zone.committed.push(zone.now);
        zone.run(500);
    }
    let newest = zone.committed.len() as u64;
    for front in (1..=4).filter(|front| *front != home) {
        assert!(
            zone.version(front) + 1 >= newest,
            "front {front} goes on with the head"
        );
        assert!(zone.age_ms(front) < MAX_CONFIGURATION_AGE_MS);
    }
    assert!(zone.age_ms(home) > 20_000, "nobody made the home fresher");
    zone.cut_off[home] = false;
    zone.run(1_000);
    assert!((1..=4).all(
        |front| zone.version(front) == newest && zone.age_ms(front) < MAX_CONFIGURATION_AGE_MS
    ));
}

#[test]
fn a_change_that_is_notified_unasked_is_asked_for_at_once() {
    let mut zone = Zone::new(1);
    zone.run(5_000);
    let changed_at = zone.now;
    zone.committed.push(changed_at);
    let configuration = Some(Configuration {
        version: 2,
        ..Configuration::default()
    });
    let unasked = Frame::ConfigurationUpdate {
        requested_at: Millis(0),
        age_ms: 0,
        version: 2,
        configuration,
    };
    zone.send(HEAD, 1, unasked);
    zone.run(DELAY_MS);
    assert_eq!(zone.version(1), 2);
    assert!(zone.fronts[0].known().confirmed_at.0 < changed_at);
    zone.run(TICK_MS + 2 * DELAY_MS);
    assert!(zone.fronts[0].known().confirmed_at.0 >= changed_at);
}

#[test]
fn a_closed_connection_to_the_home_is_as_good_as_a_timeout() {
    let mut zone = Zone::new(3);
    zone.run(5_000);
    let home = zone.home();
    let other = (1..=3)
        .find(|front| *front != home)
        .expect("there are others");
    zone.fronts[other - 1].closed(address(home), home as u64, Millis(zone.now));
    assert_eq!(zone.fronts[other - 1].source(), None);
}

#[test]
fn wrong_live_tables_leave_every_front_fresh() {
    fn property(masks: Vec<u8>, unresponsive: u8) -> TestResult {
        let count = 5;
        let mut zone = Zone::new(count);
        zone.unresponsive[1 + usize::from(unresponsive) % count] = true;
        zone.run(3_000);
        for (turn, mask) in masks.iter().take(8).enumerate() {
            let front = turn % count;
            // The members that this front assumes are live, including ones that never existed; it may omit itself.
            zone.tables[front] = table_of((1..=8).filter(|index| mask & (1 << (index - 1)) != 0));
            zone.run(1_500);
        }
        zone.committed.push(zone.now);
        zone.run(2_500);
        let fresh = |front: usize| {
            zone.unresponsive[front] || (zone.version(front) == 2 && zone.age_ms(front) < 2_500)
        };
        TestResult::from_bool((1..=count).all(fresh))
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(property as fn(Vec<u8>, u8) -> TestResult);
}
