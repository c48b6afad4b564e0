//! Changes of the routes over running jobs: the routes of the queues get other names, swap them, and serve the queues'
//! paths with shorter and longer prefixes, while machines fail. More seeds are run by hand with
//! `cargo run --release --example hunt -- FIRST COUNT 3 1 routes`.

use lupinrack_cluster_simulation::{simulate, FaultProfile, SimulationConfig, SimulationReport};

fn check(seeds: impl Iterator<Item = u64>, profile: FaultProfile) {
    for seed in seeds {
        let config = SimulationConfig {
            profile,
            traffic_ms: 60_000,
            changes_routes: true,
            ..SimulationConfig::default()
        };
        let report = simulate(seed, config);
        assert!(
            report.violations.is_empty(),
            "{profile:?}, seed {seed}: {:#?}",
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
    assert!(
        report.changes >= 5,
        "seed {seed}: {} changes acknowledged",
        report.changes
    );
}

/// Guards against accepted jobs that are lost, refused or run by another service after changes of their routes.
#[test]
fn changes_of_routes_over_running_jobs_violate_no_rule() {
    check(1..=12, FaultProfile::Mixed);
}

/// The same while core machines are lost and replaced, so that changes and jobs pass through snapshots and take-overs.
#[test]
fn changes_of_routes_under_severe_faults_violate_no_rule() {
    check(1..=6, FaultProfile::Severe);
}
