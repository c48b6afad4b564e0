//! Days of a service under the scheduler, with all its rules checked: servers that follow the protocol, agents behind a
//! network with delays, a record that applies operations, and troubles drawn from a seed.

mod checks;
mod model_agent;
mod model_server;
mod work;
mod workload;
mod world;

use model_server::Conduct;
use quickcheck::{QuickCheck, TestResult};
use world::{Troubles, World};

const TRAFFIC_MS: u64 = 12_000;
const TROUBLE_MS: u64 = 15_000;
/// After the last trouble all jobs have to end within this time.
const FINISH_MS: u64 = 60_000;
const MACHINES: usize = 6;
const JOBS: u64 = 60;
/// Days that each test plays.
const DAYS: u64 = 12;

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
        if let Some(server) = world.machines[machine].server.as_mut().filter(|one| one.leaves_at.is_none()) {
            server.draining_since = Some(now);
            server.leaves_at = Some(now + stays);
        }
    }
    if troubles.takeovers && world.rng.u32(0..700) == 0 {
        world.take_over();
    }
}

fn play(seed: u64, troubles: Troubles, jobs: u64) -> World {
    let mut world = World::new(seed, MACHINES, troubles);
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

fn verdict(seed: u64, troubles: Troubles) -> TestResult {
    let world = play(seed, troubles, JOBS);
    if world.checks.broken.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("seed {seed}, {troubles:?}:\n{}", world.checks.broken.join("\n")))
}

/// Plays this many days, each with a seed that is drawn.
fn check(days: u64, day: fn(u64) -> TestResult) {
    QuickCheck::new().tests(days).quickcheck(day);
}

#[test]
fn calm_days() {
    check(DAYS, |seed| verdict(seed, Troubles::default()));
}

#[test]
fn days_with_lost_and_late_answers() {
    check(DAYS, |seed| verdict(seed, Troubles { lossy: true, ..Troubles::default() }));
}

#[test]
fn days_with_takeovers() {
    check(DAYS, |seed| verdict(seed, Troubles { takeovers: true, ..Troubles::default() }));
}

#[test]
fn days_with_crashes() {
    check(DAYS, |seed| verdict(seed, Troubles { crashes: true, ..Troubles::default() }));
}

#[test]
fn days_with_cuts() {
    check(DAYS, |seed| verdict(seed, Troubles { cuts: true, ..Troubles::default() }));
}

#[test]
fn days_with_drains() {
    check(DAYS, |seed| verdict(seed, Troubles { drains: true, ..Troubles::default() }));
}

#[test]
fn days_with_a_failing_server() {
    check(DAYS, |seed| verdict(seed, Troubles { failing_server: true, ..Troubles::default() }));
}

#[test]
fn days_with_a_server_that_stands_still() {
    check(DAYS, |seed| verdict(seed, Troubles { still_server: true, ..Troubles::default() }));
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
    check(2 * DAYS, everything);
}
