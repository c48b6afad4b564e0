//! The updates that core processes send to subscribers: nobody holds a configuration for newer than it is.

mod network;

use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::front::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use network::operator::Operators;
use network::Network;

const SUBSCRIBE_EVERY_MS: u64 = 10;

/// Operators, and a front that subscribed to every core process.
struct Play {
    network: Network,
    operators: Operators,
    known: Vec<KnownConfiguration>,
    /// How often updates made the knowledge of a process's subscriber fresher.
    confirmed: Vec<u64>,
}

impl Play {
    fn begin(count: usize) -> Play {
        let mut play = Play {
            network: Network::new(count),
            operators: Operators::default(),
            known: vec![KnownConfiguration::default(); count],
            confirmed: vec![0; count],
        };
        play.operators.begin_race(1, play.network.now);
        play.pass(3_000);
        assert!(play.operators.known > 0, "the first configuration is taken");
        play
    }

    fn pass(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            if self.operators.known > 0 && !self.operators.is_busy() {
                self.operators.begin_race(1, self.network.now);
            }
            if self.network.now.is_multiple_of(SUBSCRIBE_EVERY_MS) {
                self.subscribe();
            }
            self.operators.go_on(&mut self.network);
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
        for outward in std::mem::take(&mut self.network.outward) {
            let Frame::ConfigurationUpdate {
                requested_at,
                age_ms,
                version,
                configuration,
            } = outward.frame
            else {
                continue;
            };
            let update = ConfigurationUpdate {
                requested_at,
                age_ms,
                version,
                configuration,
            };
            let known = &mut self.known[outward.from];
            if known.learn(update).fresher {
                self.confirmed[outward.from] += 1;
            }
            self.assert_honest(outward.from);
        }
    }

    /// What a subscriber of one process holds for certain at a moment was not older than what somebody had seen then.
    fn assert_honest(&self, process: usize) {
        let known = &self.known[process];
        let seen_then = self
            .operators
            .seen
            .iter()
            .filter(|(at, _)| *at <= known.confirmed_at.0);
        let newest_then = seen_then.map(|(_, version)| *version).max().unwrap_or(0);
        let version = known.configuration.version;
        let (now, at) = (self.network.now, known.confirmed_at.0);
        assert!(
            version >= newest_then,
            "at {now}: process {process} gave {version} for the newest at {at}, when {newest_then} was known"
        );
    }

    fn head(&mut self) -> usize {
        self.confirmed.fill(0);
        self.pass(300);
        let most = self.confirmed.iter().max().copied().unwrap_or(0);
        assert!(most > 5, "the head confirms");
        self.confirmed
            .iter()
            .position(|confirmed| *confirmed == most)
            .expect("there is one")
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
    let mut play = Play::begin(3);
    play.head();
    assert_eq!(
        play.confirmed
            .iter()
            .filter(|confirmed| **confirmed > 0)
            .count(),
        1,
        "by the head alone"
    );
}

#[test]
fn a_partitioned_head_vouches_for_nothing() {
    for (inward, outward) in [(true, true), (true, false), (false, true)] {
        // At different moments within the rhythm of the processes.
        for moment in 0..6 {
            let mut play = Play::begin(3);
            let head = play.head();
            play.pass(moment * 50);
            play.partition(head, inward, outward);
            play.confirmed.fill(0);
            play.pass(4_000);
            let is_missed = outward;
            assert!(
                !is_missed || play.confirmed.iter().sum::<u64>() > 5,
                "another head confirms"
            );
            play.network.heal();
            play.pass(1_500);
        }
    }
}

#[test]
fn a_head_that_wakes_up_vouches_for_nothing_that_it_does_not_know() {
    for frozen_ms in [300, 700, 950, 1_100, 6_000] {
        for moment in 0..4 {
            let mut play = Play::begin(3);
            let head = play.head();
            play.pass(moment * 70);
            play.network.freeze(head);
            play.pass(frozen_ms);
            play.network.thaw(head);
            play.pass(1_500);
        }
    }
}
