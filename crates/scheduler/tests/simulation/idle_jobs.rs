//! Days after whose faults no job may have nothing running while servers have room for it.

use crate::world::{Faults, World};
use crate::{no_observer, violations_text, DAYS_ENV_VAR};
use lupinrack_scheduler_testkit::ServerBehavior;

const MACHINE_COUNT: usize = 16;
const JOBS: u64 = 220;
/// Jobs of a day on which most need a label.
const RESTRICTED_JOBS: u64 = 90;
const TRAFFIC_DURATION_MS: u64 = 12_000;
/// When the faults begin and end, from the start of the day.
const FAULTS_MS: std::ops::Range<u64> = 4_000..12_000;
/// The time from the end of the faults until the check begins.
const SETTLE_MS: u64 = 4_000;
const DAY_MS: u64 = 45_000;

/// What happens to some of the servers during the faults.
#[derive(Clone, Copy, Debug)]
enum ServerFault {
    Behavior(ServerBehavior),
    Crash,
    None,
}

/// Which jobs a day has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Workload {
    Usual,
    Restricted,
}

fn idle_day(seed: u64, fault: ServerFault, share_percent: u32, takeovers: bool) -> World {
    day_of(Workload::Usual, seed, fault, share_percent, takeovers)
}

fn day_of(
    workload: Workload,
    seed: u64,
    fault: ServerFault,
    share_percent: u32,
    takeovers: bool,
) -> World {
    let faults = Faults {
        takeovers,
        crashes: true,
        ..Faults::default()
    };
    let mut world = World::new(seed, MACHINE_COUNT, faults, no_observer());
    world.cancels_long_running = false;
    world.restricts_jobs = workload == Workload::Restricted;
    let jobs = match workload {
        Workload::Usual => JOBS,
        Workload::Restricted => RESTRICTED_JOBS,
    };
    world.submit_jobs(jobs, TRAFFIC_DURATION_MS);
    let start = world.now;
    let affected: Vec<usize> = (0..MACHINE_COUNT)
        .filter(|_| world.rng.u32(0..100) < share_percent)
        .collect();
    let run_until = |world: &mut World, at: u64| {
        while world.now < start + at {
            world.step();
        }
    };
    run_until(&mut world, FAULTS_MS.start);
    for machine in &affected {
        match fault {
            ServerFault::Behavior(behavior) => world.set_behavior(*machine, behavior),
            ServerFault::Crash => {
                let returns_after_ms = world.rng.u64(500..FAULTS_MS.end - FAULTS_MS.start);
                world.crash(*machine, returns_after_ms);
            }
            ServerFault::None => {}
        }
    }
    if takeovers {
        run_until(&mut world, (FAULTS_MS.start + FAULTS_MS.end) / 2);
        world.take_over();
    }
    run_until(&mut world, FAULTS_MS.end);
    for machine in &affected {
        world.set_behavior(*machine, ServerBehavior::Healthy);
    }
    world.disturbed_until = start + FAULTS_MS.end + SETTLE_MS;
    run_until(&mut world, DAY_MS);
    world
}

/// Simulates days with these seeds, or with the first seeds if [`DAYS_ENV_VAR`] is set.
fn check(seeds: &[u64], day: impl Fn(u64) -> World) {
    let days = std::env::var(DAYS_ENV_VAR).ok();
    let first_seeds: Option<u64> = days.and_then(|days| days.parse().ok());
    let seeds = first_seeds.map_or(seeds.to_vec(), |days| (0..days).collect());
    let mut broken = Vec::new();
    for seed in &seeds {
        let world = day(*seed);
        if !world.oracle.violations().is_empty() {
            broken.push(format!("seed {seed}: {}", violations_text(&world)));
        }
    }
    let (count, days) = (broken.len(), seeds.len());
    assert!(
        broken.is_empty(),
        "{count} of {days} days:\n{}",
        broken.join("\n")
    );
}

#[test]
fn no_job_waits_beside_free_servers_without_faults() {
    check(&[0, 1], |seed| idle_day(seed, ServerFault::None, 0, false));
}

#[test]
fn no_job_waits_beside_servers_that_are_sound_again_after_they_failed_runs() {
    let fault = ServerFault::Behavior(ServerBehavior::Failing);
    check(&[39, 187], |seed| idle_day(seed, fault, 15, false));
}

#[test]
fn no_job_waits_beside_servers_that_are_sound_again_after_half_of_them_failed_runs() {
    let fault = ServerFault::Behavior(ServerBehavior::Failing);
    check(&[1, 9], |seed| idle_day(seed, fault, 50, true));
}

#[test]
fn no_gang_waits_beside_servers_on_which_its_runs_stalled_before() {
    let fault = ServerFault::Behavior(ServerBehavior::Stalled);
    check(&[187], |seed| idle_day(seed, fault, 15, false));
}

#[test]
fn no_gang_waits_beside_servers_that_were_slow_before() {
    let fault = ServerFault::Behavior(ServerBehavior::Slow);
    check(&[79], |seed| idle_day(seed, fault, 30, false));
}

#[test]
fn no_job_waits_beside_free_servers_after_crashes_and_a_takeover() {
    check(&[0, 1], |seed| idle_day(seed, ServerFault::Crash, 30, true));
}

/// A day on which most jobs need a label that few servers have.
fn restricted_day(seed: u64, fault: ServerFault, share_percent: u32, takeovers: bool) -> World {
    day_of(Workload::Restricted, seed, fault, share_percent, takeovers)
}

#[test]
fn no_job_that_needs_a_label_waits_beside_free_servers_without_faults() {
    check(&[20, 37], |seed| {
        restricted_day(seed, ServerFault::None, 0, false)
    });
}

#[test]
fn no_job_that_needs_a_label_waits_beside_servers_that_are_sound_again() {
    let fault = ServerFault::Behavior(ServerBehavior::Failing);
    check(&[16, 33], |seed| restricted_day(seed, fault, 30, true));
}

#[test]
fn no_job_that_needs_a_label_waits_beside_servers_that_stalled_before() {
    let fault = ServerFault::Behavior(ServerBehavior::Stalled);
    check(&[0, 1], |seed| restricted_day(seed, fault, 30, false));
}

#[test]
fn no_job_that_needs_a_label_waits_beside_servers_that_were_slow_before() {
    let fault = ServerFault::Behavior(ServerBehavior::Slow);
    check(&[0, 1], |seed| restricted_day(seed, fault, 30, false));
}

#[test]
fn no_job_that_needs_a_label_waits_beside_free_servers_after_crashes_and_a_takeover() {
    check(&[47, 340], |seed| {
        restricted_day(seed, ServerFault::Crash, 30, true)
    });
}
