//! Core processes that are partitioned from each other but not from their callers. Each answer has to be linearizable with
//! all others, or the process gives none.

mod network;

use lupinrack_configuration_history::Response;
use network::operator::{Operators, CALLER_TIMEOUT_MS};
use network::Network;

const PARTITION_MS: u64 = 20_000;
/// How long a connection carries frames without an acknowledgement.
const UNACKNOWLEDGED_MS: u64 = 300;
const RACE_INTERVAL_MS: u64 = 700;

/// The direction in which frames to or from the process are blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Both,
    /// Blocks frames to the process; its own frames arrive.
    Inward,
    /// Blocks frames to the process; its own frames arrive for `UNACKNOWLEDGED_MS`.
    InwardOfConnections,
    Outward,
}

const DIRECTIONS: [Direction; 4] = [
    Direction::Both,
    Direction::Inward,
    Direction::InwardOfConnections,
    Direction::Outward,
];

struct Scenario {
    network: Network,
    operators: Operators,
    next_race_at: u64,
}

impl Scenario {
    /// Starts the processes and has the first configuration accepted.
    fn begin(count: usize) -> Scenario {
        let mut scenario = Scenario {
            network: Network::new(count),
            operators: Operators::default(),
            next_race_at: u64::MAX,
        };
        scenario.operators.begin_race(1, scenario.network.now);
        scenario.advance_ms(2_000);
        assert_eq!(
            scenario.operators.known_version, 1,
            "the first configuration is accepted"
        );
        scenario.next_race_at = 0;
        scenario.advance_ms(1_500);
        scenario
    }

    fn advance_ms(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            if self.network.now >= self.next_race_at && !self.operators.is_busy() {
                self.next_race_at = self.network.now + RACE_INTERVAL_MS;
                let count = if self.operators.known_version.is_multiple_of(5) {
                    8
                } else {
                    2
                };
                self.operators.begin_race(count, self.network.now);
            }
            self.operators.drive(&mut self.network);
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

    fn assert_linearizable(&self, name: &str) {
        if let Err(violation) = self.operators.history.check() {
            let blocked: Vec<_> = violation
                .blocked
                .iter()
                .map(|number| self.operators.history.calls()[number.0])
                .collect();
            panic!("{name}: {violation}\n{blocked:#?}");
        }
        let longest = self
            .operators
            .completed_calls
            .iter()
            .map(|call| call.waited_ms)
            .max();
        assert!(
            longest.is_some_and(|waited| waited < CALLER_TIMEOUT_MS),
            "{name}: waited for {longest:?} ms"
        );
    }

    /// Counts the definite answers of a process to calls that began in `from..to` (milliseconds).
    fn definite_answers(&self, process: usize, from: u64, to: u64) -> usize {
        let of_process = self
            .operators
            .completed_calls
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

fn run_partition(count: usize, process: usize, direction: Direction) {
    let name = format!("process {process} of {count}, {direction:?}");
    let mut scenario = Scenario::begin(count);
    let known_before = scenario.operators.known_version;
    let began = scenario.network.now;
    scenario.isolate(process, direction);
    scenario.advance_ms(UNACKNOWLEDGED_MS);
    if direction == Direction::InwardOfConnections {
        scenario.isolate(process, Direction::Outward);
    }
    scenario.advance_ms(PARTITION_MS);
    let healed = scenario.network.now;
    scenario.network.heal();
    scenario.advance_ms(3_000);
    scenario.assert_linearizable(&name);
    assert_eq!(
        scenario.definite_answers(process, began, healed - CALLER_TIMEOUT_MS),
        0,
        "{name}"
    );
    let other = (process + 1) % count;
    assert!(
        scenario.definite_answers(other, began + 3_000, healed) > 50,
        "{name}: the other processes keep serving"
    );
    assert!(
        scenario.operators.known_version > known_before + 10,
        "{name}: the other processes accept changes"
    );
    assert!(
        scenario.definite_answers(process, healed + 1_000, healed + 3_000) > 0,
        "{name}: the process answers after the partition heals"
    );
}

#[test]
fn a_partitioned_process_of_three_gives_no_definite_answer() {
    for process in 0..3 {
        DIRECTIONS
            .iter()
            .for_each(|direction| run_partition(3, process, *direction));
    }
}

#[test]
fn a_partitioned_process_of_five_gives_no_definite_answer() {
    for process in 0..5 {
        DIRECTIONS
            .iter()
            .for_each(|direction| run_partition(5, process, *direction));
    }
}

#[test]
fn one_way_partitions_between_two_processes_cause_no_wrong_answer() {
    for (from, to) in [(0, 1), (1, 0), (1, 2), (2, 1), (0, 2), (2, 0)] {
        let mut scenario = Scenario::begin(3);
        scenario.network.partition(from, to);
        scenario.advance_ms(PARTITION_MS);
        scenario.network.heal();
        scenario.advance_ms(3_000);
        scenario.assert_linearizable(&format!("from {from} to {to}"));
    }
}

#[test]
fn without_a_majority_no_process_serves() {
    let mut scenario = Scenario::begin(3);
    let began = scenario.network.now;
    (0..3).for_each(|process| scenario.isolate(process, Direction::Both));
    scenario.advance_ms(PARTITION_MS);
    let healed = scenario.network.now;
    (0..3).for_each(|process| {
        assert_eq!(
            scenario.definite_answers(process, began, healed - CALLER_TIMEOUT_MS),
            0
        )
    });
    scenario.network.heal();
    scenario.advance_ms(4_000);
    scenario.assert_linearizable("all processes isolated");
    assert!((0..3).all(|process| scenario.definite_answers(
        process,
        healed + 2_000,
        healed + 4_000
    ) > 0));
}

#[test]
fn a_process_gives_no_stale_answer_after_a_freeze() {
    for process in 0..3 {
        for frozen_ms in [400, 900, 1_500, 6_000] {
            let mut scenario = Scenario::begin(3);
            for _ in 0..3 {
                scenario.network.freeze(process);
                scenario.advance_ms(frozen_ms);
                scenario.network.thaw(process);
                scenario.advance_ms(1_500);
            }
            if let Err(violation) = scenario.operators.history.check() {
                panic!("process {process} frozen for {frozen_ms} ms: {violation}");
            }
        }
    }
}

#[test]
fn a_graceful_shutdown_refuses_no_accepted_change() {
    for process in 0..3 {
        let mut scenario = Scenario::begin(3);
        let began = scenario.network.now;
        scenario.network.terminate(process);
        scenario.advance_ms(6_000);
        scenario.assert_linearizable(&format!("process {process} shuts down"));
        let others = (0..3).filter(|other| *other != process);
        let answers: usize = others
            .map(|other| scenario.definite_answers(other, began + 2_000, began + 6_000))
            .sum();
        assert!(answers > 20, "the other processes keep serving");
    }
}

#[test]
fn disks_wiped_one_after_another_lose_no_change() {
    for first in 0..3 {
        let mut scenario = Scenario::begin(3);
        for turn in 0..5 {
            scenario.network.wipe((first + turn) % 3);
            // Long enough for the process to become a voter again.
            scenario.advance_ms(8_000);
        }
        scenario.assert_linearizable(&format!("wiped in turn from process {first}"));
        assert!(
            scenario.operators.known_version > 40,
            "changes are accepted throughout"
        );
    }
}
