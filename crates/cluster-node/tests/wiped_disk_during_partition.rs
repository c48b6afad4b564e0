//! One process loses its disk while another one is partitioned from the rest. No acknowledged change may be lost, and the
//! processes must accept changes again once the partition heals.

mod network;

use network::operator::Operators;
use network::Network;

const RACE_INTERVAL_MS: u64 = 100;
const PARTITION_MS: u64 = 5_000;

struct Scenario {
    network: Network,
    operators: Operators,
    next_race_at: u64,
}

impl Scenario {
    fn begin(count: usize) -> Scenario {
        let (network, operators) = (Network::new(count), Operators::default());
        let mut scenario = Scenario {
            network,
            operators,
            next_race_at: u64::MAX,
        };
        scenario.operators.begin_race(1, scenario.network.now);
        scenario.advance_ms(3_000);
        assert!(
            scenario.operators.known_version > 0,
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
                self.operators.begin_race(2, self.network.now);
            }
            self.operators.drive(&mut self.network);
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

fn run_scenario(count: usize, isolated: usize, wiped: usize, wiped_after_ms: u64) {
    let name = format!(
        "process {isolated} of {count} is isolated, {wiped} is wiped after {wiped_after_ms} ms"
    );
    let mut scenario = Scenario::begin(count);
    scenario.isolate(isolated);
    scenario.advance_ms(wiped_after_ms);
    scenario.network.wipe(wiped);
    scenario.advance_ms(PARTITION_MS - wiped_after_ms);
    scenario.network.heal();
    scenario.advance_ms(10_000);
    let known = scenario.operators.known_version;
    scenario.advance_ms(2_000);
    assert!(
        scenario.operators.known_version > known,
        "{name}: no change is accepted"
    );
    assert!(
        scenario.operators.history.check().is_ok(),
        "{name}: the history is not linearizable"
    );
}

#[test]
fn one_of_three_is_wiped_while_another_is_partitioned() {
    for isolated in 0..3 {
        for wiped in (0..3).filter(|wiped| *wiped != isolated) {
            for wiped_after_ms in (0..2_000).step_by(100) {
                run_scenario(3, isolated, wiped, wiped_after_ms);
            }
        }
    }
}
