//! One day of the model: traffic and faults first, then quiet until all jobs have ended.

use crate::world::{Faults, RoundObserver, World};
use lupinrack_scheduler_testkit::ServerBehavior;

const TRAFFIC_MS: u64 = 12_000;
const FAULTS_MS: u64 = 15_000;
/// After the last fault all jobs have to end within this time.
const FINISH_MS: u64 = 60_000;
const MACHINES: usize = 6;
/// Jobs of a day.
pub const JOBS: u64 = 60;

/// Injects a fault now and then.
fn inject_faults(world: &mut World) {
    let machine = world.rng.usize(0..MACHINES);
    let faults = world.faults;
    let now = world.now;
    if faults.crashes && world.rng.u32(0..400) == 0 {
        let back = world.rng.u64(100..5_000);
        world.crash(machine, back);
    }
    if faults.partitions && world.rng.u32(0..300) == 0 {
        let length = world.rng.u64(50..6_000);
        world.disconnect(machine);
        world.agents[machine].partitioned_until = Some(now + length);
    }
    if faults.drains && world.rng.u32(0..600) == 0 {
        let stays_ms = world.rng.u64(1_500..6_000);
        if let Some(server) = world.farm.server_mut(machine) {
            server.drain(now, now + stays_ms);
        }
    }
    if faults.takeovers && world.rng.u32(0..700) == 0 {
        world.take_over();
    }
}

/// Plays a day to its end: traffic, faults, and the time that the last jobs take.
pub fn play(seed: u64, faults: Faults, jobs: u64, observer: RoundObserver) -> World {
    let mut world = World::new(seed, MACHINES, faults, observer);
    world.submit_jobs(jobs, TRAFFIC_MS);
    let begin = world.now;
    if faults.failing_server {
        world.set_behavior(1, ServerBehavior::Failing);
    }
    if faults.stalled_server {
        world.set_behavior(2, ServerBehavior::Stalled);
    }
    while world.now < begin + FAULTS_MS {
        world.step();
        inject_faults(&mut world);
    }
    let deadline = world.now + FINISH_MS;
    while world.now < deadline && !world.open_jobs().is_empty() {
        world.step();
    }
    // Ends of the last runs are still to be reported.
    let reported_by = world.now + 5_000;
    while world.now < reported_by {
        world.step();
    }
    world.check_outcomes();
    world
}
