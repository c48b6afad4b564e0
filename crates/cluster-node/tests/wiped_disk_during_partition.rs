//! One disk is lost while another process is partitioned from the rest for a while. Nothing acknowledged is lost
//! with it, so once the other is back everything goes on, and nothing is forgotten.

mod network;

use network::operator::Operators;
use network::Network;

const RACE_EVERY_MS: u64 = 100;
const PARTITION_MS: u64 = 5_000;

struct Play {
    network: Network,
    operators: Operators,
    next_race_at: u64,
}

impl Play {
    fn begin(count: usize) -> Play {
        let (network, operators) = (Network::new(count), Operators::default());
        let mut play = Play {
            network,
            operators,
            next_race_at: u64::MAX,
        };
        play.operators.begin_race(1, play.network.now);
        play.pass(3_000);
        assert!(play.operators.known > 0, "the first configuration is taken");
        play.next_race_at = 0;
        play.pass(1_500);
        play
    }

    fn pass(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            if self.network.now >= self.next_race_at && !self.operators.is_busy() {
                self.next_race_at = self.network.now + RACE_EVERY_MS;
                self.operators.begin_race(2, self.network.now);
            }
            self.operators.go_on(&mut self.network);
            self.network.step();
        }
    }

    fn isolate(&mut self, process: usize) {
        for other in (0..self.network.count()).filter(|other| *other != process) {
            self.network.partition(other, process);
            self.network.partition(process, other);
        }
    }
}

fn play(count: usize, isolated: usize, wiped: usize, wiped_after_ms: u64) {
    let name =
        format!("{isolated} of {count} is cut off, {wiped} is wiped after {wiped_after_ms} ms");
    let mut play = Play::begin(count);
    play.isolate(isolated);
    play.pass(wiped_after_ms);
    play.network.wipe(wiped);
    play.pass(PARTITION_MS - wiped_after_ms);
    play.network.heal();
    play.pass(10_000);
    let known = play.operators.known;
    play.pass(2_000);
    assert!(play.operators.known > known, "{name}: nothing goes on");
    assert!(
        play.operators.history.check().is_ok(),
        "{name}: the history has no order"
    );
}

#[test]
fn of_three_one_is_wiped_while_another_is_partitioned() {
    for isolated in 0..3 {
        for wiped in (0..3).filter(|wiped| *wiped != isolated) {
            for wiped_after_ms in (0..2_000).step_by(100) {
                play(3, isolated, wiped, wiped_after_ms);
            }
        }
    }
}
