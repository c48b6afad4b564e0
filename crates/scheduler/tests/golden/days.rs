//! Simulated days with fixed seeds: a digest of the decisions of each second.

use crate::day::{simulate_day, JOBS_PER_DAY};
use crate::files::{check, Golden};
use crate::text::{reason_word, summary_text};
use crate::world::{Faults, World};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::time::Millis;
use lupinrack_scheduler::Round;
use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

const SEEDS: [u64; 3] = [11, 12, 13];
const SECOND_MS: u64 = 1_000;
/// The number of hexadecimal digits of a digest in the trace.
const DIGEST_DIGITS: usize = 16;

/// The decisions of one second.
#[derive(Default)]
struct Second {
    number: u64,
    rounds: usize,
    operations: usize,
    messages: usize,
    inferred_ends: usize,
    /// The encodings of all rounds, in order.
    encoded_rounds: Vec<u8>,
}

impl Second {
    fn add(&mut self, at: Millis, owner: usize, round: &Round) {
        self.rounds += 1;
        self.operations += round.operations.len();
        self.messages += round.messages.len();
        self.inferred_ends += round.inferred_ends.len();
        let messages: Vec<_> = round
            .messages
            .iter()
            .map(|order| (order.agent, order.connection, &order.message))
            .collect();
        let inferred_ends = round.inferred_ends.iter();
        let inferred_ends: Vec<_> = inferred_ends
            .map(|run| (run.task, run.attempt, &run.server, reason_word(run.reason)))
            .collect();
        let round = (at, owner as u64, &round.operations, messages, inferred_ends);
        self.encoded_rounds
            .extend(borsh::to_vec(&round).expect("a round can be encoded"));
    }

    fn line(&self) -> String {
        let Second {
            number,
            rounds,
            operations,
            messages,
            inferred_ends,
            ..
        } = self;
        let digest = blake3::hash(&self.encoded_rounds).to_hex();
        let digest = &digest[..DIGEST_DIGITS];
        format!("second {number}: rounds {rounds} operations {operations} messages {messages} lapsed {inferred_ends} digest {digest}\n")
    }
}

/// The trace of one day.
#[derive(Default)]
struct DayTrace {
    text: String,
    second: Second,
}

impl DayTrace {
    fn add(&mut self, at: Millis, owner: usize, round: &Round) {
        let number = at.0 / SECOND_MS;
        if number != self.second.number {
            self.finish_second();
            self.second.number = number;
        }
        self.second.add(at, owner, round);
    }

    fn finish_second(&mut self) {
        let second = std::mem::take(&mut self.second);
        if second.rounds > 0 {
            self.text.push_str(&second.line());
        }
    }
}

/// The trace of a day, the outcome of its jobs, and the last owner's summary of the service.
fn day_text(seed: u64, faults: Faults) -> String {
    let trace = Rc::new(RefCell::new(DayTrace::default()));
    let observer = {
        let trace = trace.clone();
        Box::new(move |at: Millis, owner, round: &Round| trace.borrow_mut().add(at, owner, round))
    };
    let world = simulate_day(seed, faults, JOBS_PER_DAY, observer);
    assert!(
        world.oracle.violations().is_empty(),
        "seed {seed}: {:?}",
        world.oracle.violations()
    );
    trace.borrow_mut().finish_second();
    let mut text = format!("seed {seed}\n{}", trace.borrow().text);
    write!(text, "{}", outcome(&world)).expect("writing to a string cannot fail");
    text
}

fn outcome(world: &World) -> String {
    let count = |state: JobState| {
        world
            .state
            .jobs()
            .values()
            .filter(|job| job.state == state)
            .count()
    };
    let owner = &world.owners[world.owners.len() - 1].scheduler;
    format!(
        "jobs: succeeded {} failed {} cancelled {}\nowners: {}\n{}",
        count(JobState::Succeeded),
        count(JobState::Failed),
        count(JobState::Cancelled),
        world.owners.len(),
        summary_text(world.now, &owner.summary(Millis(world.now)))
    )
}

/// The faults of the days in each file.
fn faults_of_files() -> [(&'static str, Faults); 9] {
    let no_faults = Faults::default();
    [
        ("calm", no_faults),
        (
            "lossy",
            Faults {
                lossy: true,
                ..no_faults
            },
        ),
        (
            "takeovers",
            Faults {
                takeovers: true,
                ..no_faults
            },
        ),
        (
            "crashes",
            Faults {
                crashes: true,
                ..no_faults
            },
        ),
        (
            "cuts",
            Faults {
                partitions: true,
                ..no_faults
            },
        ),
        (
            "drains",
            Faults {
                drains: true,
                ..no_faults
            },
        ),
        (
            "failing-server",
            Faults {
                failing_server: true,
                ..no_faults
            },
        ),
        (
            "still-server",
            Faults {
                stalled_server: true,
                ..no_faults
            },
        ),
        (
            "everything",
            Faults {
                takeovers: true,
                crashes: true,
                partitions: true,
                drains: true,
                failing_server: false,
                stalled_server: true,
                lossy: true,
            },
        ),
    ]
}

#[test]
fn decisions_of_simulated_days_match_the_golden_files() {
    let file = |(name, faults): (&str, Faults)| Golden {
        name: format!("{name}.txt"),
        text: SEEDS.map(|seed| day_text(seed, faults)).concat(),
    };
    check("days", &faults_of_files().map(file));
}
