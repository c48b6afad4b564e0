//! Days of a service under the scheduler, with all its rules checked: servers that follow the protocol, agents behind a
//! network with delays, a record that applies operations, and faults drawn from a seed.

mod day;
mod model_agent;
mod world;

use day::{play, JOBS};
use lupinrack_cluster_api::job::JobState;
use quickcheck::{QuickCheck, TestResult};
use world::{Faults, RoundObserver, World};

/// Days that each test plays, unless [`DAYS_VARIABLE`] says otherwise.
const DAYS: u64 = 12;
/// Days that each test plays in a longer search for broken rules.
const DAYS_VARIABLE: &str = "SCHEDULER_TEST_DAYS";

/// Nobody looks at single rounds.
fn ignored() -> RoundObserver {
    Box::new(|_, _, _| {})
}

fn verdict(seed: u64, faults: Faults) -> TestResult {
    let world = play(seed, faults, JOBS, ignored());
    if world.oracle.violations().is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!(
        "seed {seed}, {faults:?}:\n{}",
        violations_text(&world)
    ))
}

fn violations_text(world: &World) -> String {
    let violations = world.oracle.violations().iter();
    let lines: Vec<String> = violations.map(ToString::to_string).collect();
    lines.join("\n")
}

/// Plays days, each with a seed that is drawn.
fn check(day: fn(u64) -> TestResult) {
    let days = std::env::var(DAYS_VARIABLE)
        .ok()
        .and_then(|days| days.parse().ok())
        .unwrap_or(DAYS);
    QuickCheck::new().tests(days).quickcheck(day);
}

#[test]
fn days_without_faults() {
    check(|seed| verdict(seed, Faults::default()));
}

#[test]
fn days_with_lost_and_late_answers() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                lossy: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_takeovers() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                takeovers: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_crashes() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                crashes: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_partitions() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                partitions: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_drains() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                drains: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_a_failing_server() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                failing_server: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_a_stalled_server() {
    check(|seed| {
        verdict(
            seed,
            Faults {
                stalled_server: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn days_with_everything() {
    let everything = |seed| {
        let faults = Faults {
            takeovers: true,
            crashes: true,
            partitions: true,
            drains: true,
            failing_server: false,
            stalled_server: seed % 2 == 0,
            lossy: true,
        };
        verdict(seed, faults)
    };
    check(everything);
}

/// Of the urgent jobs of days without faults that are not crowded, this many in a hundred are done within their objective.
const URGENT_ON_TIME_PERCENT: usize = 90;

#[test]
fn urgent_jobs_of_calm_days_meet_their_objective() {
    let mut urgent = Urgent::default();
    for seed in 0..8 {
        let world = play(seed, Faults::default(), JOBS / 2, ignored());
        urgent.count(&world);
    }
    assert!(urgent.jobs > 100, "{urgent:?}");
    assert!(
        urgent.on_time * 100 >= urgent.jobs * URGENT_ON_TIME_PERCENT,
        "{urgent:?}"
    );
}

/// Urgent jobs that succeeded, and how many of them within their objective.
#[derive(Debug, Default)]
struct Urgent {
    jobs: usize,
    on_time: usize,
}

impl Urgent {
    fn count(&mut self, world: &World) {
        let succeeded = world
            .state
            .jobs()
            .values()
            .filter(|job| job.state == JobState::Succeeded);
        for job in succeeded.filter(|job| job.priority == 0) {
            let chain_ms: u64 = job.spec.steps.iter().map(|step| step.estimate_ms).sum();
            let objective_ms = chain_ms * job.extension_milli / 1_000 + job.target_latency_ms;
            let took_ms = job.ended_at.map_or(u64::MAX, |at| at.0 - job.accepted_at.0);
            self.jobs += 1;
            self.on_time += usize::from(took_ms <= objective_ms);
        }
    }
}
