//! One simulated day: first traffic and faults, then a time without either until all jobs have ended.

use crate::world::{Faults, RoundObserver, World};
use lupinrack_scheduler_testkit::ServerBehavior;

const TRAFFIC_DURATION_MS: u64 = 12_000;
const FAULTS_DURATION_MS: u64 = 15_000;
/// The time after the last fault within which all jobs must end.
const MAX_FINISH_MS: u64 = 60_000;
const MACHINE_COUNT: usize = 6;
/// The number of jobs submitted in a day at full load.
pub const JOBS_PER_DAY: u64 = 60;

/// Injects faults with a fixed probability per call.
fn inject_faults(world: &mut World) {
    let machine = world.rng.usize(0..MACHINE_COUNT);
    let faults = world.faults;
    let now = world.now;
    if faults.crashes && world.rng.u32(0..400) == 0 {
        let returns_after_ms = world.rng.u64(100..5_000);
        world.crash(machine, returns_after_ms);
    }
    if faults.partitions && world.rng.u32(0..300) == 0 {
        let duration_ms = world.rng.u64(50..6_000);
        world.disconnect(machine);
        world.agents[machine].partitioned_until = Some(now + duration_ms);
    }
    if faults.drains && world.rng.u32(0..600) == 0 {
        let drain_duration_ms = world.rng.u64(1_500..6_000);
        if let Some(server) = world.farm.server_mut(machine) {
            server.drain(now, now + drain_duration_ms);
        }
    }
    if faults.takeovers && world.rng.u32(0..700) == 0 {
        world.take_over();
    }
}

/// Simulates a day until all jobs have ended or the time for that is over, and checks the jobs' outcomes.
pub fn simulate_day(seed: u64, faults: Faults, jobs: u64, observer: RoundObserver) -> World {
    let mut world = World::new(seed, MACHINE_COUNT, faults, observer);
    world.submit_jobs(jobs, TRAFFIC_DURATION_MS);
    let started_at = world.now;
    if faults.failing_server {
        world.set_behavior(1, ServerBehavior::Failing);
    }
    if faults.stalled_server {
        world.set_behavior(2, ServerBehavior::Stalled);
    }
    while world.now < started_at + FAULTS_DURATION_MS {
        world.step();
        inject_faults(&mut world);
    }
    let deadline = world.now + MAX_FINISH_MS;
    while world.now < deadline && !world.open_jobs().is_empty() {
        world.step();
    }
    // Leaves time to report the ends of the last runs.
    let reported_by = world.now + 5_000;
    while world.now < reported_by {
        world.step();
    }
    world.check_outcomes();
    world
}
