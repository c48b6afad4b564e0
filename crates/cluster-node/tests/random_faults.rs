//! Random faults by seed: partitions in any direction, frozen processes and wiped disks, while operators call all
//! processes. The operators' history has to be linearizable as that of a single register.

mod network;

use network::operator::{Operators, CALLER_TIMEOUT_MS};
use network::Network;

/// Runs for each number of core processes.
const SEEDS: u64 = 12;
const FAULTS_MS: u64 = 30_000;
/// Time between two wipes: long enough for the first process to become a voter again without other faults.
const WIPE_INTERVAL_MS: u64 = 12_000;

/// Seeded random numbers (SplitMix64, after Steele, Lea and Flood, 2014).
struct SplitMix64(u64);

impl SplitMix64 {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

struct Scenario {
    network: Network,
    operators: Operators,
    rng: SplitMix64,
    next_race_at: u64,
    frozen: Option<(usize, u64)>,
    partitioned_until: Option<u64>,
    last_wipe: u64,
}

impl Scenario {
    fn begin(count: usize, seed: u64) -> Scenario {
        let mut scenario = Scenario {
            network: Network::new(count),
            operators: Operators::default(),
            rng: SplitMix64(seed),
            next_race_at: u64::MAX,
            frozen: None,
            partitioned_until: None,
            last_wipe: 0,
        };
        scenario.operators.begin_race(1, scenario.network.now);
        scenario.advance_ms(2_500, false);
        assert!(
            scenario.operators.known_version > 0,
            "seed {seed}: the first configuration is accepted"
        );
        scenario.next_race_at = 0;
        scenario
    }

    fn advance_ms(&mut self, milliseconds: u64, with_faults: bool) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            let now = self.network.now;
            if now >= self.next_race_at && !self.operators.is_busy() {
                self.next_race_at = now + 100 + self.rng.below(500);
                let count = [1, 2, 2, 8][self.rng.below(4) as usize];
                self.operators.begin_race(count, now);
            }
            self.end_faults(now);
            if with_faults && now.is_multiple_of(50) && self.rng.below(12) == 0 {
                self.inject_fault(now);
            }
            self.operators.drive(&mut self.network);
            self.network.step();
        }
    }

    fn inject_fault(&mut self, now: u64) {
        let count = self.network.count();
        let process = self.rng.below(count as u64) as usize;
        let duration_ms = 100 + self.rng.below(4_000);
        match self.rng.below(8) {
            0..=1 if self.frozen.is_none() => {
                self.network.freeze(process);
                self.frozen = Some((process, now + duration_ms));
            }
            2..=6 if self.partitioned_until.is_none() => {
                let directions = 1 + self.rng.below(3);
                let others = if self.rng.below(3) == 0 { 1 } else { count - 1 };
                for other in (1..=others).map(|step| (process + step) % count) {
                    if directions & 1 != 0 {
                        self.network.partition(process, other);
                    }
                    if directions & 2 != 0 {
                        self.network.partition(other, process);
                    }
                }
                self.partitioned_until = Some(now + duration_ms);
            }
            7 if self.frozen.is_none() && now >= self.last_wipe + WIPE_INTERVAL_MS => {
                self.last_wipe = now;
                self.network.wipe(process);
            }
            _ => {}
        }
    }

    fn end_faults(&mut self, now: u64) {
        if let Some((process, _)) = self.frozen.filter(|(_, until)| now >= *until) {
            self.network.thaw(process);
            self.frozen = None;
        }
        if self.partitioned_until.is_some_and(|until| now >= until) {
            self.network.heal();
            self.partitioned_until = None;
        }
    }
}

fn run_scenario(count: usize, seed: u64) {
    let mut scenario = Scenario::begin(count, seed);
    scenario.advance_ms(FAULTS_MS, true);
    let known_version = scenario.operators.known_version;
    scenario.advance_ms(12_000, false);
    if let Err(violation) = scenario.operators.history.check() {
        let blocked: Vec<_> = violation
            .blocked
            .iter()
            .map(|number| scenario.operators.history.calls()[number.0])
            .collect();
        panic!("{count} processes, seed {seed}: {violation}\n{blocked:#?}");
    }
    assert!(
        scenario.operators.known_version > known_version,
        "{count} processes, seed {seed}: changes are accepted after the faults end"
    );
    // Calls to a frozen process wait until their timeout.
    let timed_out = scenario
        .operators
        .completed_calls
        .iter()
        .filter(|call| call.waited_ms >= CALLER_TIMEOUT_MS)
        .count();
    assert!(
        timed_out * 4 < scenario.operators.completed_calls.len(),
        "{count} processes, seed {seed}: {timed_out} calls timed out"
    );
}

#[test]
fn three_processes_stay_linearizable() {
    (0..SEEDS).for_each(|seed| run_scenario(3, seed));
}

#[test]
fn four_processes_stay_linearizable() {
    (0..SEEDS).for_each(|seed| run_scenario(4, seed));
}

#[test]
fn five_processes_stay_linearizable() {
    (0..SEEDS).for_each(|seed| run_scenario(5, seed));
}
