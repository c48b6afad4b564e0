//! One day of the model: traffic and troubles first, then quiet until all jobs have ended.

use crate::model_server::Conduct;
use crate::world::{RoundObserver, Troubles, World};

const TRAFFIC_MS: u64 = 12_000;
const TROUBLE_MS: u64 = 15_000;
/// After the last trouble all jobs have to end within this time.
const FINISH_MS: u64 = 60_000;
const MACHINES: usize = 6;
/// Jobs of a day.
pub const JOBS: u64 = 60;

/// Something goes wrong now and then.
fn trouble(world: &mut World) {
    let machine = world.rng.usize(0..MACHINES);
    let troubles = world.troubles;
    let now = world.now;
    if troubles.crashes && world.rng.u32(0..400) == 0 {
        let back = world.rng.u64(100..5_000);
        world.crash(machine, back);
    }
    if troubles.cuts && world.rng.u32(0..300) == 0 {
        let length = world.rng.u64(50..6_000);
        world.disconnect(machine);
        world.machines[machine].cut_until = Some(now + length);
    }
    if troubles.drains && world.rng.u32(0..600) == 0 {
        let stays = world.rng.u64(1_500..6_000);
        if let Some(server) = world.machines[machine]
            .server
            .as_mut()
            .filter(|one| one.leaves_at.is_none())
        {
            server.draining_since = Some(now);
            server.leaves_at = Some(now + stays);
        }
    }
    if troubles.takeovers && world.rng.u32(0..700) == 0 {
        world.take_over();
    }
}

/// Plays a day to its end: traffic, troubles, and the time that the last jobs take.
pub fn play(seed: u64, troubles: Troubles, jobs: u64, observer: RoundObserver) -> World {
    let mut world = World::new(seed, MACHINES, troubles, observer);
    world.submit_jobs(jobs, TRAFFIC_MS);
    let begin = world.now;
    if troubles.failing_server {
        world.set_conduct(1, Conduct::Failing);
    }
    if troubles.still_server {
        world.set_conduct(2, Conduct::Still);
    }
    while world.now < begin + TROUBLE_MS {
        world.step();
        trouble(&mut world);
    }
    let deadline = world.now + FINISH_MS;
    while world.now < deadline && !world.open_jobs().is_empty() {
        world.step();
    }
    // Ends of the last runs are still to be told.
    let settled = world.now + 5_000;
    while world.now < settled {
        world.step();
    }
    world.check_outcomes();
    world
}
