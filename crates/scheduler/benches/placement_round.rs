//! The duration of a scheduling round, by the number of servers and waiting tasks.
//!
//! Each server has 16 runs, so no capacity is free. Before each measured round one run ends, and
//! the heartbeats of its server and of two others arrive. If the cost of a round depends only on
//! what has changed, the durations are the same for all sizes.
//!
//! `cargo bench -p lupinrack-scheduler --bench placement_round`

#[path = "../tests/decisions/bench.rs"]
#[allow(dead_code, reason = "the tests of decisions use more of it")]
mod bench;

use bench::{step, Bench, WALL_START_MS};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use std::time::{Duration, Instant};

/// The number of runs on each full server.
const RUNS_PER_SERVER: u32 = 16;
/// The processor needs of one task, in thousandths of a core. A server has 16 cores.
const TASK_MILLICORES: u64 = 1_000;
/// The number of tasks of one waiting job.
const TASKS_PER_JOB: u32 = 20;
/// The number of racks. The data of the waiting jobs is distributed over them round-robin.
const RACKS: u64 = 7;
/// The number of measured rounds for each size.
const ROUNDS: usize = 300;
/// The time between two measured rounds, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 5;
/// The estimated duration of a task, in milliseconds.
const ESTIMATE_MS: u64 = 4_000;

fn main() {
    println!("servers  waiting  median us        p95 us");
    for servers in [43, 173, 1_000] {
        for waiting in [0, 100, 1_000, 10_000] {
            let mut fleet = full_fleet(servers);
            add_waiting(&mut fleet, waiting);
            let mut durations = measure(&mut fleet);
            durations.sort();
            println!(
                "{servers:7}  {waiting:7}  {:9}  {:12}",
                durations[ROUNDS / 2].as_micros(),
                durations[ROUNDS * 95 / 100].as_micros()
            );
        }
    }
}

/// Creates a service whose servers are all full.
fn full_fleet(servers: u16) -> Bench {
    let mut fleet = Bench::new();
    for machine in 1..=servers {
        let rack = format!("r{}", u64::from(machine) % RACKS);
        fleet.attach(machine, 1, &["kind", &rack]);
    }
    let tasks = u32::from(servers) * RUNS_PER_SERVER;
    fleet.accept_steps(1, 1, vec![step(tasks, TASK_MILLICORES, ESTIMATE_MS)]);
    fleet.run_for(1_500);
    fleet
}

/// Adds tasks that find no free capacity. Their jobs differ in needs and in the location of their
/// data.
fn add_waiting(fleet: &mut Bench, tasks: u32) {
    for job in 0..u64::from(tasks / TASKS_PER_JOB) {
        let waiting = Step {
            needs: Resources {
                cpu: TASK_MILLICORES + job % 50,
                memory_mb: 100,
                gpu: 0,
            },
            affinity: format!("r{}", job % RACKS),
            ..step(TASKS_PER_JOB, TASK_MILLICORES, ESTIMATE_MS)
        };
        fleet.accept_steps(
            1_000 + job,
            u32::try_from(job % 3).unwrap_or(0),
            vec![waiting],
        );
    }
    fleet.run_for(200);
}

/// Measures the durations of rounds. A few heartbeats arrive before each of them.
fn measure(fleet: &mut Bench) -> Vec<Duration> {
    let machines: Vec<u16> = fleet.servers.keys().copied().collect();
    let mut durations = Vec::with_capacity(ROUNDS);
    for round in 0..ROUNDS {
        fleet.now += ROUND_INTERVAL_MS;
        let machine = machines[round * 7 % machines.len()];
        end_first_run(fleet, machine);
        for offset in 0..3 {
            fleet.send_heartbeat(machines[(round * 7 + offset) % machines.len()]);
        }
        durations.push(timed_round(fleet));
    }
    durations
}

fn end_first_run(fleet: &mut Bench, machine: u16) {
    let Some(server) = fleet.servers.get_mut(&machine) else {
        return;
    };
    server.sequence += 1;
    if let Some(run) = server.running.first() {
        let (task, attempt) = (run.task, run.attempt);
        server.end(task, attempt, RunEnd::Done);
    }
}

fn timed_round(fleet: &mut Bench) -> Duration {
    let (now, wall) = (Millis(fleet.now), WallMillis(WALL_START_MS + fleet.now));
    let began = Instant::now();
    let round = fleet
        .scheduler
        .round(&fleet.state, now, wall, Millis(u64::MAX));
    let duration = began.elapsed();
    for operation in round.operations {
        fleet.apply(operation);
    }
    for order in round.messages {
        fleet.apply_orders(order.agent.0.port(), order.message);
    }
    duration
}
