//! Core processes that are partitioned from the others but not from their callers: what they say is what a single register
//! would say, or nothing.

mod network;

use lupinrack_configuration_history::Response;
use network::operator::{Operators, CALLER_TIMEOUT_MS};
use network::Network;

const PARTITION_MS: u64 = 20_000;
/// How long a connection carries frames that nobody acknowledges.
const UNACKNOWLEDGED_MS: u64 = 300;
const RACE_EVERY_MS: u64 = 700;

/// Which way nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Both,
    /// To the process, while all that it sends arrives.
    Inward,
    /// To the process; what it sends arrives until too much of it was not acknowledged.
    InwardOfConnections,
    Outward,
}

const DIRECTIONS: [Direction; 4] = [
    Direction::Both,
    Direction::Inward,
    Direction::InwardOfConnections,
    Direction::Outward,
];

struct Play {
    network: Network,
    operators: Operators,
    next_race_at: u64,
}

impl Play {
    /// After the first configuration.
    fn begin(count: usize) -> Play {
        let mut play = Play {
            network: Network::new(count),
            operators: Operators::default(),
            next_race_at: u64::MAX,
        };
        play.operators.begin_race(1, play.network.now);
        play.pass(2_000);
        assert_eq!(play.operators.known, 1, "the first configuration is taken");
        play.next_race_at = 0;
        play.pass(1_500);
        play
    }

    fn pass(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            if self.network.now >= self.next_race_at && !self.operators.is_busy() {
                self.next_race_at = self.network.now + RACE_EVERY_MS;
                let orders = if self.operators.known.is_multiple_of(5) {
                    8
                } else {
                    2
                };
                self.operators.begin_race(orders, self.network.now);
            }
            self.operators.go_on(&mut self.network);
            self.network.step();
        }
    }

    fn isolate(&mut self, process: usize, direction: Direction) {
        for other in (0..self.network.count()).filter(|other| *other != process) {
            if direction != Direction::Outward {
                self.network.partition(other, process);
            }
            if direction != Direction::Inward {
                self.network.partition(process, other);
            }
        }
    }

    fn assert_sound(&self, name: &str) {
        if let Err(violation) = self.operators.history.check() {
            let blocked: Vec<_> = violation
                .blocked
                .iter()
                .map(|number| self.operators.history.calls()[number.0])
                .collect();
            panic!("{name}: {violation}\n{blocked:#?}");
        }
        let longest = self.operators.ended.iter().map(|call| call.waited_ms).max();
        assert!(
            longest.is_some_and(|waited| waited < CALLER_TIMEOUT_MS),
            "{name}: waited for {longest:?} ms"
        );
    }

    /// Clear answers of a process to calls that began at these moments.
    fn clear_answers(&self, process: usize, from: u64, to: u64) -> usize {
        let of_process = self
            .operators
            .ended
            .iter()
            .filter(|call| call.process == process);
        let in_time = of_process.filter(|call| (from..to).contains(&call.began));
        in_time
            .filter(|call| {
                call.answer
                    .is_some_and(|answer| answer != Response::Indeterminate)
            })
            .count()
    }
}

fn play_partition(count: usize, process: usize, direction: Direction) {
    let name = format!("process {process} of {count}, {direction:?}");
    let mut play = Play::begin(count);
    let known_before = play.operators.known;
    let began = play.network.now;
    play.isolate(process, direction);
    play.pass(UNACKNOWLEDGED_MS);
    if direction == Direction::InwardOfConnections {
        play.isolate(process, Direction::Outward);
    }
    play.pass(PARTITION_MS);
    let healed = play.network.now;
    play.network.heal();
    play.pass(3_000);
    play.assert_sound(&name);
    assert_eq!(
        play.clear_answers(process, began, healed - CALLER_TIMEOUT_MS),
        0,
        "{name}"
    );
    let other = (process + 1) % count;
    assert!(
        play.clear_answers(other, began + 3_000, healed) > 50,
        "{name}: the others go on"
    );
    assert!(
        play.operators.known > known_before + 10,
        "{name}: orders are taken by the others"
    );
    assert!(
        play.clear_answers(process, healed + 1_000, healed + 3_000) > 0,
        "{name}: it is back"
    );
}

#[test]
fn each_partitioned_process_of_three_answers_nothing_uncertain() {
    for process in 0..3 {
        DIRECTIONS
            .iter()
            .for_each(|direction| play_partition(3, process, *direction));
    }
}

#[test]
fn each_partitioned_process_of_five_answers_nothing_uncertain() {
    for process in 0..5 {
        DIRECTIONS
            .iter()
            .for_each(|direction| play_partition(5, process, *direction));
    }
}

#[test]
fn one_way_partitions_between_two_processes_make_no_answer_wrong() {
    for (from, to) in [(0, 1), (1, 0), (1, 2), (2, 1), (0, 2), (2, 0)] {
        let mut play = Play::begin(3);
        play.network.partition(from, to);
        play.pass(PARTITION_MS);
        play.network.heal();
        play.pass(3_000);
        play.assert_sound(&format!("from {from} to {to}"));
    }
}

#[test]
fn a_majority_that_falls_apart_serves_nothing() {
    let mut play = Play::begin(3);
    let began = play.network.now;
    (0..3).for_each(|process| play.isolate(process, Direction::Both));
    play.pass(PARTITION_MS);
    let healed = play.network.now;
    (0..3).for_each(|process| {
        assert_eq!(
            play.clear_answers(process, began, healed - CALLER_TIMEOUT_MS),
            0
        )
    });
    play.network.heal();
    play.pass(4_000);
    play.assert_sound("all apart");
    assert!((0..3).all(|process| play.clear_answers(process, healed + 2_000, healed + 4_000) > 0));
}

#[test]
fn a_process_that_is_frozen_and_thaws_answers_nothing_stale() {
    for process in 0..3 {
        for frozen_ms in [400, 900, 1_500, 6_000] {
            let mut play = Play::begin(3);
            for _ in 0..3 {
                play.network.freeze(process);
                play.pass(frozen_ms);
                play.network.thaw(process);
                play.pass(1_500);
            }
            if let Err(violation) = play.operators.history.check() {
                panic!("process {process} frozen for {frozen_ms} ms: {violation}");
            }
        }
    }
}

#[test]
fn a_graceful_shutdown_leaves_nothing_refused_that_was_taken() {
    for process in 0..3 {
        let mut play = Play::begin(3);
        let began = play.network.now;
        play.network.terminate(process);
        play.pass(6_000);
        play.assert_sound(&format!("process {process} ends"));
        let others = (0..3).filter(|other| *other != process);
        let answers: usize = others
            .map(|other| play.clear_answers(other, began + 2_000, began + 6_000))
            .sum();
        assert!(answers > 20, "the others go on");
    }
}

#[test]
fn disks_that_are_wiped_one_after_the_other_lose_no_change() {
    for first in 0..3 {
        let mut play = Play::begin(3);
        for turn in 0..5 {
            play.network.wipe((first + turn) % 3);
            // Long enough for it to be a voter again.
            play.pass(8_000);
        }
        play.assert_sound(&format!("wiped from {first} on"));
        assert!(play.operators.known > 40, "orders are taken all the while");
    }
}
