//! Updates that core processes send to subscribers. No subscriber may take a configuration as confirmed later than it was
//! the newest one.

mod network;

use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::front::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use network::operator::Operators;
use network::Network;

const SUBSCRIBE_INTERVAL_MS: u64 = 10;

/// Operators, and a front that subscribes to every core process.
struct Scenario {
    network: Network,
    operators: Operators,
    known: Vec<KnownConfiguration>,
    /// How many updates of each process gave its subscriber a later confirmation time.
    confirmed: Vec<u64>,
}

impl Scenario {
    fn begin(count: usize) -> Scenario {
        let mut scenario = Scenario {
            network: Network::new(count),
            operators: Operators::default(),
            known: vec![KnownConfiguration::default(); count],
            confirmed: vec![0; count],
        };
        scenario.operators.begin_race(1, scenario.network.now);
        scenario.advance_ms(3_000);
        assert!(
            scenario.operators.known_version > 0,
            "the first configuration is accepted"
        );
        scenario
    }

    fn advance_ms(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            if self.operators.known_version > 0 && !self.operators.is_busy() {
                self.operators.begin_race(1, self.network.now);
            }
            if self.network.now.is_multiple_of(SUBSCRIBE_INTERVAL_MS) {
                self.subscribe();
            }
            self.operators.drive(&mut self.network);
            self.network.step();
            self.take_updates();
        }
    }

    fn subscribe(&mut self) {
        let requested_at = Millis(self.network.now);
        for process in 0..self.network.count() {
            let interest = Interest::Configuration {
                have: self.known[process].configuration.version,
            };
            self.network.send_from_outside(
                process,
                Frame::Subscribe {
                    interest,
                    requested_at,
                },
            );
        }
    }

    fn take_updates(&mut self) {
        for sent in std::mem::take(&mut self.network.sent_outside) {
            let Frame::ConfigurationUpdate {
                requested_at,
                age_ms,
                version,
                configuration,
            } = sent.frame
            else {
                continue;
            };
            let update = ConfigurationUpdate {
                requested_at,
                age_ms,
                version,
                configuration,
            };
            let known = &mut self.known[sent.from];
            if known.learn(update).fresher {
                self.confirmed[sent.from] += 1;
            }
            self.assert_confirmation_holds(sent.from);
        }
    }

    /// The version that a subscriber has confirmed for a time is at least the newest version that any operator had seen by
    /// then.
    fn assert_confirmation_holds(&self, process: usize) {
        let known = &self.known[process];
        let seen_by_then = self
            .operators
            .first_seen
            .iter()
            .filter(|(at, _)| *at <= known.confirmed_at.0);
        let newest_by_then = seen_by_then.map(|(_, version)| *version).max().unwrap_or(0);
        let version = known.configuration.version;
        let (now, at) = (self.network.now, known.confirmed_at.0);
        assert!(
            version >= newest_by_then,
            "at {now}: process {process} confirmed version {version} as the newest at {at}, but {newest_by_then} had been seen by then"
        );
    }

    fn head(&mut self) -> usize {
        self.confirmed.fill(0);
        self.advance_ms(300);
        let max_confirmed = self.confirmed.iter().max().copied().unwrap_or(0);
        assert!(max_confirmed > 5, "the head confirms");
        self.confirmed
            .iter()
            .position(|confirmed| *confirmed == max_confirmed)
            .expect("the head confirms most updates")
    }

    fn partition(&mut self, process: usize, inward: bool, outward: bool) {
        for other in (0..self.network.count()).filter(|other| *other != process) {
            if inward {
                self.network.partition(other, process);
            }
            if outward {
                self.network.partition(process, other);
            }
        }
    }
}

#[test]
fn subscribers_of_a_head_are_kept_fresh() {
    let mut scenario = Scenario::begin(3);
    scenario.head();
    assert_eq!(
        scenario
            .confirmed
            .iter()
            .filter(|confirmed| **confirmed > 0)
            .count(),
        1,
        "only the head confirms"
    );
}

#[test]
fn a_partitioned_head_confirms_no_outdated_configuration() {
    for (inward, outward) in [(true, true), (true, false), (false, true)] {
        // Partitions start at different phases of the processes' timers.
        for phase in 0..6 {
            let mut scenario = Scenario::begin(3);
            let head = scenario.head();
            scenario.advance_ms(phase * 50);
            scenario.partition(head, inward, outward);
            scenario.confirmed.fill(0);
            scenario.advance_ms(4_000);
            let is_replaced = outward;
            assert!(
                !is_replaced || scenario.confirmed.iter().sum::<u64>() > 5,
                "another head confirms"
            );
            scenario.network.heal();
            scenario.advance_ms(1_500);
        }
    }
}

#[test]
fn a_head_that_thaws_confirms_no_outdated_configuration() {
    for frozen_ms in [300, 700, 950, 1_100, 6_000] {
        for phase in 0..4 {
            let mut scenario = Scenario::begin(3);
            let head = scenario.head();
            scenario.advance_ms(phase * 70);
            scenario.network.freeze(head);
            scenario.advance_ms(frozen_ms);
            scenario.network.thaw(head);
            scenario.advance_ms(1_500);
        }
    }
}
