//! Days of the simulation, each with a fixed seed: a digest of what was decided in each second.

use crate::day::{play, JOBS};
use crate::files::{check, Golden};
use crate::text::{rule_word, summary_text};
use crate::world::{Faults, World};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::time::Millis;
use lupinrack_scheduler::Round;
use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

const SEEDS: [u64; 3] = [11, 12, 13];
const SECOND_MS: u64 = 1_000;
/// Hexadecimal digits of a digest that are kept.
const DIGITS: usize = 16;

/// What one second came to.
#[derive(Default)]
struct Second {
    number: u64,
    rounds: usize,
    operations: usize,
    messages: usize,
    inferred_ends: usize,
    /// The encodings of all rounds, in their order.
    bytes: Vec<u8>,
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
            .map(|run| (run.task, run.attempt, &run.server, rule_word(run.reason)))
            .collect();
        let round = (at, owner as u64, &round.operations, messages, inferred_ends);
        self.bytes
            .extend(borsh::to_vec(&round).expect("all of it has an encoding"));
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
        let digest = blake3::hash(&self.bytes).to_hex();
        let digest = &digest[..DIGITS];
        format!("second {number}: rounds {rounds} operations {operations} messages {messages} lapsed {inferred_ends} digest {digest}\n")
    }
}

/// The lines of one day.
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

/// The trace of a day, what its jobs came to, and how the last owner sees its service in the end.
fn day_text(seed: u64, faults: Faults) -> String {
    let trace = Rc::new(RefCell::new(DayTrace::default()));
    let observer = {
        let trace = trace.clone();
        Box::new(move |at: Millis, owner, round: &Round| trace.borrow_mut().add(at, owner, round))
    };
    let world = play(seed, faults, JOBS, observer);
    assert!(
        world.oracle.violations().is_empty(),
        "seed {seed}: {:?}",
        world.oracle.violations()
    );
    trace.borrow_mut().finish_second();
    let mut text = format!("seed {seed}\n{}", trace.borrow().text);
    write!(text, "{}", outcome(&world)).expect("strings take all");
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

/// What goes wrong in the days of each file.
fn kinds_of_days() -> [(&'static str, Faults); 9] {
    let calm = Faults::default();
    [
        ("calm", calm),
        (
            "lossy",
            Faults {
                lossy: true,
                ..calm
            },
        ),
        (
            "takeovers",
            Faults {
                takeovers: true,
                ..calm
            },
        ),
        (
            "crashes",
            Faults {
                crashes: true,
                ..calm
            },
        ),
        (
            "cuts",
            Faults {
                partitions: true,
                ..calm
            },
        ),
        (
            "drains",
            Faults {
                drains: true,
                ..calm
            },
        ),
        (
            "failing-server",
            Faults {
                failing_server: true,
                ..calm
            },
        ),
        (
            "still-server",
            Faults {
                stalled_server: true,
                ..calm
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
fn days_are_decided_as_kept() {
    let file = |(name, faults): (&str, Faults)| Golden {
        name: format!("{name}.txt"),
        text: SEEDS.map(|seed| day_text(seed, faults)).concat(),
    };
    check("days", &kinds_of_days().map(file));
}
