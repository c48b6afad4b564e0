//! Mixed faults under a few seeds; more are run by hand with `cargo run --release --example hunt`.

use lupinrack_cluster_simulation::{
    simulate, simulate_schedule, Fault, FaultSchedule, ScheduledFault, SimulationConfig,
    SimulationReport,
};

fn check(seeds: impl Iterator<Item = u64>, config: SimulationConfig) {
    for seed in seeds {
        let report = simulate(seed, config);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        assert_work_was_done(seed, &report);
    }
}

/// Guards against an empty run, which would violate no rule either.
fn assert_work_was_done(seed: u64, report: &SimulationReport) {
    assert!(
        report.accepted >= 30,
        "seed {seed}: {} jobs accepted",
        report.accepted
    );
    assert!(
        report.tasks_done >= 100,
        "seed {seed}: {} tasks done",
        report.tasks_done
    );
}

#[test]
fn mixed_faults_of_three_core_machines_violate_no_rule() {
    check(1..=24, SimulationConfig::default());
}

#[test]
fn mixed_faults_of_five_core_machines_violate_no_rule() {
    check(
        1..=8,
        SimulationConfig {
            cores: 5,
            tolerance: 2,
            ..SimulationConfig::default()
        },
    );
}

/// Suspends agents repeatedly for longer than a lease: runs that ended meanwhile must not start again.
fn agents_suspended() -> FaultSchedule {
    let config = SimulationConfig::default();
    let first = config.cores + config.fronts;
    let freeze = |number: usize| ScheduledFault {
        at: 5_000 + 900 * number as u64,
        duration_ms: 3_800,
        fault: Fault::AgentSuspend(first + number % config.servers),
    };
    FaultSchedule::of((0..36).map(freeze).collect())
}

#[test]
fn a_start_under_an_expired_lease_does_not_come_back() {
    for seed in 1..=6 {
        let report = simulate_schedule(seed, SimulationConfig::default(), agents_suspended());
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        assert_work_was_done(seed, &report);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let first = simulate(7, SimulationConfig::default());
    let second = simulate(7, SimulationConfig::default());
    assert_eq!(first, second);
}
