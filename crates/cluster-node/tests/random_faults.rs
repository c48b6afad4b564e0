//! Random faults by seed: partitions in any direction, frozen processes, and wiped disks, with operators at all
//! processes. What they see is what a single register would say.

mod network;

use network::operator::{Operators, CALLER_TIMEOUT_MS};
use network::Network;

/// Plays for each size of the core.
const SEEDS: u64 = 12;
const DAY_MS: u64 = 30_000;
/// Between two wipes: long enough for the first one's process to be a voter again in calm.
const BETWEEN_WIPES_MS: u64 = 12_000;

/// Numbers by a seed (SplitMix64, after Steele, Lea and Flood, 2014).
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

struct Play {
    network: Network,
    operators: Operators,
    draw: Draw,
    next_race_at: u64,
    frozen: Option<(usize, u64)>,
    partitioned_until: Option<u64>,
    last_wipe: u64,
}

impl Play {
    fn begin(count: usize, seed: u64) -> Play {
        let mut play = Play {
            network: Network::new(count),
            operators: Operators::default(),
            draw: Draw(seed),
            next_race_at: u64::MAX,
            frozen: None,
            partitioned_until: None,
            last_wipe: 0,
        };
        play.operators.begin_race(1, play.network.now);
        play.pass(2_500, false);
        assert!(
            play.operators.known > 0,
            "seed {seed}: the first configuration is taken"
        );
        play.next_race_at = 0;
        play
    }

    fn pass(&mut self, milliseconds: u64, with_faults: bool) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            let now = self.network.now;
            if now >= self.next_race_at && !self.operators.is_busy() {
                self.next_race_at = now + 100 + self.draw.below(500);
                let orders = [1, 2, 2, 8][self.draw.below(4) as usize];
                self.operators.begin_race(orders, now);
            }
            self.end_faults(now);
            if with_faults && now.is_multiple_of(50) && self.draw.below(12) == 0 {
                self.inject_fault(now);
            }
            self.operators.go_on(&mut self.network);
            self.network.step();
        }
    }

    fn inject_fault(&mut self, now: u64) {
        let count = self.network.count();
        let process = self.draw.below(count as u64) as usize;
        let length = 100 + self.draw.below(4_000);
        match self.draw.below(8) {
            0..=1 if self.frozen.is_none() => {
                self.network.freeze(process);
                self.frozen = Some((process, now + length));
            }
            2..=6 if self.partitioned_until.is_none() => {
                let ways = 1 + self.draw.below(3);
                let others = if self.draw.below(3) == 0 {
                    1
                } else {
                    count - 1
                };
                for other in (1..=others).map(|step| (process + step) % count) {
                    if ways & 1 != 0 {
                        self.network.partition(process, other);
                    }
                    if ways & 2 != 0 {
                        self.network.partition(other, process);
                    }
                }
                self.partitioned_until = Some(now + length);
            }
            7 if self.frozen.is_none() && now >= self.last_wipe + BETWEEN_WIPES_MS => {
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

fn play(count: usize, seed: u64) {
    let mut play = Play::begin(count, seed);
    play.pass(DAY_MS, true);
    let known = play.operators.known;
    play.pass(12_000, false);
    if let Err(violation) = play.operators.history.check() {
        let blocked: Vec<_> = violation
            .blocked
            .iter()
            .map(|number| play.operators.history.calls()[number.0])
            .collect();
        panic!("{count} processes, seed {seed}: {violation}\n{blocked:#?}");
    }
    assert!(
        play.operators.known > known,
        "{count} processes, seed {seed}: it goes on in the end"
    );
    // Callers of a process that stands still wait for as long as they want.
    let timed_out = play
        .operators
        .ended
        .iter()
        .filter(|call| call.waited_ms >= CALLER_TIMEOUT_MS)
        .count();
    assert!(
        timed_out * 4 < play.operators.ended.len(),
        "{count} processes, seed {seed}: {timed_out} calls timed out"
    );
}

#[test]
fn three_processes() {
    (0..SEEDS).for_each(|seed| play(3, seed));
}

#[test]
fn four_processes() {
    (0..SEEDS).for_each(|seed| play(4, seed));
}

#[test]
fn five_processes() {
    (0..SEEDS).for_each(|seed| play(5, seed));
}
