//! Days at whose end machines are lost: then no accepted job may have nothing running while servers have room for it.

use lupinrack_cluster_simulation::{
    simulate_schedule, CoreFault, CoreSelector, Fault, FaultSchedule, ScheduledFault,
    SimulationConfig,
};

/// Number of seeds to simulate in place of a test's own, from 0 on.
const DAYS_ENV_VAR: &str = "SIMULATION_TEST_DAYS";
/// When the machines are lost, in milliseconds.
const LOSS_AT_MS: u64 = 26_000;
/// Jobs of a day; they are submitted until 4 s after the loss.
const JOBS: u64 = 120;
/// The first servers are never lost for good: they have every label in every service.
const KEPT_SERVERS: usize = 6;
/// Longest time that an agent takes to start again, in milliseconds.
const MAX_AGENT_DELAY_MS: u64 = 3_000;

fn config() -> SimulationConfig {
    SimulationConfig {
        servers: 24,
        jobs: JOBS,
        ..SimulationConfig::default()
    }
}

fn at(at: u64, duration_ms: u64, fault: Fault) -> ScheduledFault {
    ScheduledFault {
        at,
        duration_ms,
        fault,
    }
}

/// All processes are killed, and some agents start late.
fn all_killed(rng: &mut fastrand::Rng) -> Vec<ScheduledFault> {
    let config = config();
    let late_agents = config.agents().filter_map(|agent| {
        let down_ms = rng.u64(100..MAX_AGENT_DELAY_MS);
        rng.bool()
            .then(|| at(LOSS_AT_MS + 1, down_ms, Fault::AgentKill(agent)))
    });
    let mut faults: Vec<ScheduledFault> = late_agents.collect();
    faults.push(at(LOSS_AT_MS, 1_000, Fault::KillAll));
    faults
}

/// A share of the servers crash. Those that return do so within the time in which agents return.
fn crashed_servers(rng: &mut fastrand::Rng, percent: u32) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for server in 0..config().servers {
        if rng.u32(0..100) < percent {
            let down_ms = rng.u64(200..MAX_AGENT_DELAY_MS);
            faults.push(at(LOSS_AT_MS, down_ms, Fault::ServerCrash(server)));
        }
    }
    faults
}

/// A share of the servers crash and do not return.
fn lost_servers(rng: &mut fastrand::Rng, percent: u32) -> Vec<ScheduledFault> {
    let servers = (KEPT_SERVERS..config().servers).filter(|_| rng.u32(0..100) < percent);
    servers
        .map(|server| at(LOSS_AT_MS, 0, Fault::ServerLoss(server)))
        .collect()
}

/// Core processes are killed again while the cluster recovers, each after the one before is back.
fn further_kills(rng: &mut fastrand::Rng, count: u64) -> Vec<ScheduledFault> {
    let kill = |number: u64| {
        let selector = CoreSelector::Index(rng.usize(0..config().cores));
        let begins_at = LOSS_AT_MS + 1_500 * (number + 1);
        at(begins_at, 900, Fault::Core(CoreFault::Kill, selector))
    };
    (0..count).map(kill).collect()
}

fn check(seeds: &[u64], faults: impl Fn(&mut fastrand::Rng) -> Vec<ScheduledFault>) {
    let days = std::env::var(DAYS_ENV_VAR).ok();
    let first_seeds: Option<u64> = days.and_then(|days| days.parse().ok());
    let seeds = first_seeds.map_or(seeds.to_vec(), |days| (0..days).collect());
    let mut broken = Vec::new();
    for seed in &seeds {
        let schedule = FaultSchedule::of(faults(&mut fastrand::Rng::with_seed(*seed)));
        let report = simulate_schedule(*seed, config(), schedule);
        assert!(report.accepted > 80, "seed {seed}: {report:?}");
        if !report.violations.is_empty() {
            broken.push(format!("seed {seed}: {:#?}", report.violations));
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
fn no_job_waits_beside_free_servers_after_all_processes_were_killed() {
    check(&[0, 1, 2], all_killed);
}

#[test]
fn no_job_waits_beside_free_servers_after_all_processes_and_servers_were_lost() {
    check(&[0, 1, 2], |rng| {
        let mut faults = all_killed(rng);
        faults.extend(crashed_servers(rng, 30));
        faults
    });
}

#[test]
fn no_job_waits_beside_free_servers_after_all_processes_and_servers_were_lost_for_good() {
    check(&[0, 1, 2], |rng| {
        let mut faults = all_killed(rng);
        faults.extend(lost_servers(rng, 30));
        faults
    });
}

#[test]
fn no_job_waits_beside_free_servers_after_owners_were_lost_one_after_the_other() {
    check(&[0, 1, 2], |rng| {
        let mut faults = all_killed(rng);
        faults.extend(lost_servers(rng, 30));
        faults.extend(further_kills(rng, 5));
        faults
    });
}
