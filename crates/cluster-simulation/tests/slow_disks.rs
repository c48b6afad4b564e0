//! Days on which every sync of every disk is slow, while core processes are lost. A takeover has to be over before the
//! leases of the servers are, so that no run lapses and no accepted job waits without an owner.

use lupinrack_cluster_simulation::{
    simulate_schedule, CoreFault, CoreSelector, Fault, FaultSchedule, OperatorAction,
    ScheduledFault, SimulationConfig,
};

/// Number of seeds to simulate in place of a test's own, from 0 on.
const DAYS_ENV_VAR: &str = "SIMULATION_TEST_DAYS";
/// The times of a sync, in milliseconds.
const SYNC_MS: std::ops::Range<u64> = 20..320;
/// When the first fault begins, in milliseconds.
const FAULTS_AT_MS: u64 = 18_000;
/// Interval between two kills, in milliseconds.
const KILL_INTERVAL_MS: u64 = 9_000;
/// Downtime of a killed process, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// Downtime of a process that is away for longer than the leases of the servers, in milliseconds.
const LONG_DOWN_MS: u64 = 8_000;
/// Time after a killed process is back from which on no job may have nothing running beside free servers, in milliseconds:
/// a takeover of 14 syncs and the record of a start are over by then, and no run has lapsed.
const SETTLE_MS: u64 = 3_000;
/// The numbers of the two services.
const SERVICES: usize = 2;

fn config(seed: u64, cores: usize) -> SimulationConfig {
    SimulationConfig {
        cores,
        tolerance: cores / 2,
        servers: 12,
        jobs: 60,
        traffic_ms: 30_000 + KILL_INTERVAL_MS * cores as u64,
        settle_ms: SETTLE_MS,
        sync_ms: Some(fastrand::Rng::with_seed(seed).u64(SYNC_MS)),
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

/// Each core process is killed once, after the one before is back.
fn kills_of_each_core(
    begins_at: u64,
    cores: usize,
    down_ms: u64,
) -> impl Iterator<Item = ScheduledFault> {
    (0..cores).map(move |number| {
        let fault = Fault::Core(CoreFault::Kill, CoreSelector::Index(number));
        at(begins_at + KILL_INTERVAL_MS * number as u64, down_ms, fault)
    })
}

fn check(
    cores: usize,
    seeds: &[u64],
    faults: impl Fn(u64, &mut fastrand::Rng) -> Vec<ScheduledFault>,
) {
    let days = std::env::var(DAYS_ENV_VAR).ok();
    let first_seeds: Option<u64> = days.and_then(|days| days.parse().ok());
    let seeds = first_seeds.map_or(seeds.to_vec(), |days| (0..days).collect());
    let mut broken = Vec::new();
    for seed in &seeds {
        let config = config(*seed, cores);
        let schedule = faults(*seed, &mut fastrand::Rng::with_seed(*seed));
        let report = simulate_schedule(*seed, config, FaultSchedule::of(schedule));
        if !report.violations.is_empty() || report.accepted <= 40 {
            let sync_ms = config.sync_ms.unwrap_or(0);
            broken.push(format!("seed {seed}, {sync_ms} ms a sync: {report:#?}"));
        }
    }
    let (count, days) = (broken.len(), seeds.len());
    assert!(
        broken.is_empty(),
        "{count} of {days} days:\n{}",
        broken.join("\n")
    );
}

/// Guards against views that are not agreed while all disks count as unhealthy.
#[test]
fn jobs_go_on_while_each_core_process_is_killed() {
    check(3, &[0, 1, 2, 3], |_, rng| {
        kills_of_each_core(FAULTS_AT_MS + rng.u64(0..1_500), 3, DOWN_MS).collect()
    });
}

/// The same with processes that stay away for longer than a lease, so that others have to take over.
#[test]
fn jobs_go_on_while_each_core_process_is_away_for_longer_than_a_lease() {
    check(3, &[0, 1, 2, 3], |_, rng| {
        kills_of_each_core(FAULTS_AT_MS + rng.u64(0..1_500), 3, LONG_DOWN_MS).collect()
    });
}

/// The same with five core processes.
#[test]
fn jobs_go_on_while_each_of_five_core_processes_is_away_for_longer_than_a_lease() {
    check(5, &[0, 1, 2, 3], |_, rng| {
        kills_of_each_core(FAULTS_AT_MS + rng.u64(0..1_500), 5, LONG_DOWN_MS).collect()
    });
}

/// The same with a service that is removed a second before the first process is lost.
#[test]
fn jobs_of_a_removed_service_go_on_while_each_core_process_is_killed() {
    check(3, &[0, 1, 2, 3], |seed, rng| {
        let action = OperatorAction::DirectAll(seed as usize % SERVICES);
        let mut faults = vec![at(FAULTS_AT_MS, 0, Fault::Operator(action))];
        let killed_at = FAULTS_AT_MS + rng.u64(5..2_500);
        faults.extend(kills_of_each_core(killed_at, 3, DOWN_MS));
        faults
    });
}

/// The same with all processes killed at once.
#[test]
fn jobs_go_on_after_all_processes_were_killed() {
    check(3, &[0, 1, 2, 3], |_, rng| {
        let killed_at = FAULTS_AT_MS + rng.u64(5..2_500);
        vec![at(killed_at, DOWN_MS, Fault::KillAll)]
    });
}
