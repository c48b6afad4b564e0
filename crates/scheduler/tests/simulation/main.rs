//! Simulates days of a service and checks all rules of the oracle. The model has servers that follow the protocol, agents
//! behind a network with delays, replicated state that applies operations, and random faults. The seed determines a day.

mod day;
mod idle_jobs;
mod model_agent;
mod world;

use day::{simulate_day, JOBS_PER_DAY};
use lupinrack_cluster_api::job::JobState;
use quickcheck::{QuickCheck, TestResult};
use world::{Faults, RoundObserver, World};

/// The number of days that each test simulates, unless [`DAYS_ENV_VAR`] is set.
const DEFAULT_DAYS: u64 = 12;
/// The environment variable with the number of days per test, for longer searches.
const DAYS_ENV_VAR: &str = "SCHEDULER_TEST_DAYS";

/// An observer that does nothing.
fn no_observer() -> RoundObserver {
    Box::new(|_, _, _| {})
}

fn check_day(seed: u64, faults: Faults) -> TestResult {
    let world = simulate_day(seed, faults, JOBS_PER_DAY, no_observer());
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

/// Simulates days with random seeds.
fn check_days(day: fn(u64) -> TestResult) {
    let days = std::env::var(DAYS_ENV_VAR)
        .ok()
        .and_then(|days| days.parse().ok())
        .unwrap_or(DEFAULT_DAYS);
    QuickCheck::new().tests(days).quickcheck(day);
}

#[test]
fn rules_hold_without_faults() {
    check_days(|seed| check_day(seed, Faults::default()));
}

#[test]
fn rules_hold_with_lost_and_late_messages() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                lossy: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_takeovers() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                takeovers: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_server_crashes() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                crashes: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_partitions() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                partitions: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_draining_servers() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                drains: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_a_failing_server() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                failing_server: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_a_stalled_server() {
    check_days(|seed| {
        check_day(
            seed,
            Faults {
                stalled_server: true,
                ..Faults::default()
            },
        )
    });
}

#[test]
fn rules_hold_with_combined_faults() {
    let combined_faults = |seed| {
        let faults = Faults {
            takeovers: true,
            crashes: true,
            partitions: true,
            drains: true,
            failing_server: false,
            stalled_server: seed % 2 == 0,
            lossy: true,
        };
        check_day(seed, faults)
    };
    check_days(combined_faults);
}

/// The minimum percentage of urgent jobs that end within their objective, on days without faults and with half the load.
const MIN_URGENT_ON_TIME_PERCENT: usize = 90;

#[test]
fn urgent_jobs_meet_their_objective_without_faults_and_at_half_load() {
    let mut urgent_jobs = UrgentJobs::default();
    for seed in 0..8 {
        let world = simulate_day(seed, Faults::default(), JOBS_PER_DAY / 2, no_observer());
        urgent_jobs.count(&world);
    }
    assert!(urgent_jobs.jobs > 100, "{urgent_jobs:?}");
    assert!(
        urgent_jobs.on_time * 100 >= urgent_jobs.jobs * MIN_URGENT_ON_TIME_PERCENT,
        "{urgent_jobs:?}"
    );
}

/// The number of urgent jobs that succeeded, and how many of them did so within their objective.
#[derive(Debug, Default)]
struct UrgentJobs {
    jobs: usize,
    on_time: usize,
}

impl UrgentJobs {
    fn count(&mut self, world: &World) {
        let succeeded = world
            .state
            .jobs()
            .values()
            .filter(|job| job.state == JobState::Succeeded);
        for job in succeeded.filter(|job| job.priority == 0) {
            let total_estimate_ms: u64 = job.spec.steps.iter().map(|step| step.estimate_ms).sum();
            let objective_ms =
                total_estimate_ms * job.extension_milli / 1_000 + job.target_latency_ms;
            let duration_ms = job.ended_at.map_or(u64::MAX, |at| at.0 - job.accepted_at.0);
            self.jobs += 1;
            self.on_time += usize::from(duration_ms <= objective_ms);
        }
    }
}
