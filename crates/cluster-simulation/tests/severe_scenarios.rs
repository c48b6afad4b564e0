//! Severe scenarios, a few seeds of each; more are run by hand with
//! `cargo run --release --example hunt`.

use lupinrack_cluster_simulation::{
    simulate, FaultProfile, FaultScenario, SimulationConfig, SimulationReport,
};

fn check(scenario: FaultScenario, seeds: impl Iterator<Item = u64>, config: SimulationConfig) {
    for seed in seeds {
        let report = simulate(
            seed,
            SimulationConfig {
                profile: FaultProfile::Only(scenario),
                ..config
            },
        );
        assert!(
            report.violations.is_empty(),
            "{scenario:?}, seed {seed}: {:#?}",
            report.violations
        );
        assert_work_was_done(scenario, seed, &report);
    }
}

/// Guards against an empty run, which would violate no rule either.
fn assert_work_was_done(scenario: FaultScenario, seed: u64, report: &SimulationReport) {
    assert!(
        report.accepted >= 30,
        "{scenario:?}, seed {seed}: {} jobs accepted",
        report.accepted
    );
    assert!(
        report.tasks_done >= 100,
        "{scenario:?}, seed {seed}: {} tasks done",
        report.tasks_done
    );
    assert!(
        report.changes >= 5,
        "{scenario:?}, seed {seed}: {} changes acknowledged",
        report.changes
    );
}

fn three() -> SimulationConfig {
    SimulationConfig {
        traffic_ms: 60_000,
        ..SimulationConfig::default()
    }
}

fn five() -> SimulationConfig {
    SimulationConfig {
        cores: 5,
        tolerance: 2,
        ..three()
    }
}

#[test]
fn a_partition_with_callers_violates_no_rule() {
    check(FaultScenario::PartitionWithCallers, 1..=4, three());
    check(FaultScenario::PartitionWithCallers, 1..=2, five());
}

#[test]
fn a_disk_loss_right_after_the_repair_of_another_violates_no_rule() {
    check(FaultScenario::ConsecutiveDiskLosses, 1..=4, three());
    check(FaultScenario::ConsecutiveDiskLosses, 1..=2, five());
}

#[test]
fn a_crash_of_all_machines_violates_no_rule() {
    check(FaultScenario::SimultaneousCrash, 1..=4, three());
    check(FaultScenario::SimultaneousCrash, 1..=2, five());
}

#[test]
fn degraded_machines_violate_no_rule() {
    check(FaultScenario::DegradedMachine, 1..=4, three());
}

#[test]
fn a_rolling_restart_violates_no_rule() {
    check(FaultScenario::RollingRestart, 1..=4, three());
}

#[test]
fn graceful_replacements_violate_no_rule() {
    check(FaultScenario::GracefulReplacement, 1..=4, three());
}

#[test]
fn repeated_replacements_violate_no_rule() {
    check(FaultScenario::RepeatedReplacement, 1..=4, three());
    check(FaultScenario::RepeatedReplacement, 1..=2, five());
}

/// All voters of a cluster of nine can be replaced, as in a smaller one.
#[test]
fn repeated_replacements_in_a_cluster_of_nine_violate_no_rule() {
    check(
        FaultScenario::RepeatedReplacement,
        1..=1,
        SimulationConfig {
            cores: 9,
            tolerance: 2,
            ..three()
        },
    );
}

#[test]
fn a_disk_loss_right_after_a_replacement_violates_no_rule() {
    check(FaultScenario::ReplacementThenDiskLoss, 1..=4, three());
    check(FaultScenario::ReplacementThenDiskLoss, 1..=2, five());
}

#[test]
fn a_disk_loss_during_catch_up_violates_no_rule() {
    check(FaultScenario::DiskLossDuringCatchUp, 1..=4, three());
}

#[test]
fn simultaneous_losses_violate_no_rule() {
    check(FaultScenario::SimultaneousLosses, 1..=4, three());
    check(FaultScenario::SimultaneousLosses, 1..=2, five());
}
