//! Days of a service under the scheduler, with all its rules checked: servers that follow the protocol, agents behind a
//! network with delays, a record that applies operations, and troubles drawn from a seed.

mod checks;
mod day;
mod model_agent;
mod model_server;
mod work;
mod workload;
mod world;

use day::{play, JOBS};
use lupinrack_cluster_api::job::JobState;
use quickcheck::{QuickCheck, TestResult};
use world::{RoundObserver, Troubles, World};

/// Days that each test plays, unless [`DAYS_VARIABLE`] says otherwise.
const DAYS: u64 = 12;
/// Days that each test plays in a longer search for broken rules.
const DAYS_VARIABLE: &str = "SCHEDULER_TEST_DAYS";

/// Nobody looks at single rounds.
fn ignored() -> RoundObserver {
    Box::new(|_, _, _| {})
}

fn verdict(seed: u64, troubles: Troubles) -> TestResult {
    let world = play(seed, troubles, JOBS, ignored());
    if world.checks.broken.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!(
        "seed {seed}, {troubles:?}:\n{}",
        world.checks.broken.join("\n")
    ))
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
fn calm_days() {
    check(|seed| verdict(seed, Troubles::default()));
}

#[test]
fn days_with_lost_and_late_answers() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                lossy: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_takeovers() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                takeovers: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_crashes() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                crashes: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_cuts() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                cuts: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_drains() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                drains: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_a_failing_server() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                failing_server: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_a_server_that_stands_still() {
    check(|seed| {
        verdict(
            seed,
            Troubles {
                still_server: true,
                ..Troubles::default()
            },
        )
    });
}

#[test]
fn days_with_everything() {
    let everything = |seed| {
        let troubles = Troubles {
            takeovers: true,
            crashes: true,
            cuts: true,
            drains: true,
            failing_server: false,
            still_server: seed % 2 == 0,
            lossy: true,
        };
        verdict(seed, troubles)
    };
    check(everything);
}

/// Of the urgent jobs of calm days that are not crowded, this many in a hundred are done within their objective.
const URGENT_ON_TIME_PERCENT: usize = 90;

#[test]
fn urgent_jobs_of_calm_days_meet_their_objective() {
    let mut urgent = Urgent::default();
    for seed in 0..8 {
        let world = play(seed, Troubles::default(), JOBS / 2, ignored());
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
