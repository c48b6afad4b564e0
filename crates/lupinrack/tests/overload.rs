//! Overload handling across the fleet with real processes: a node hangs under a constant load. The tests check guarantees, not
//! speed.

use lupinrack_fault_injection::Plan;
use lupinrack_overload_drill::{find_case, play, DrillReport, CASES, DEFAULT_SECONDS};

const SHORT_LEASES: &str =
    "lease_ms = 1500\nsuspicion_ms = 500\nperiod_ms = 120\npatience_ms = 60\n";

async fn run_and_check(name: &str) -> DrillReport {
    let script = (find_case(name).expect("a script").script)(5, 7, DEFAULT_SECONDS);
    let folder =
        std::env::temp_dir().join(format!("lupinrack-overload-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_lupinrack").into();
    let outcome = play(Plan {
        script,
        program,
        folder,
        fleet: SHORT_LEASES.into(),
    })
    .await
    .unwrap();
    if let Err(violations) = outcome.report.verdict() {
        panic!(
            "{}\n{violations:#?}\n{:#?}",
            outcome.history.tail(80),
            outcome.report
        );
    }
    outcome.report
}

/// The hung node gets probes within the fleet's budget, and serves again afterwards.
async fn run_case(name: &str) {
    let figures = run_and_check(name).await;
    assert!(
        figures.attempts_at_hung > 0 && figures.trials_per_s > 0.0 && figures.recovery_ms.is_some(),
        "{figures:#?}"
    );
}

#[tokio::test]
async fn probes_of_a_hung_node_stay_within_the_fleets_budget() {
    run_case("hung").await;
}

#[tokio::test]
async fn probes_stay_within_the_budget_while_a_third_of_the_fronts_is_killed() {
    run_case("hung-deaths").await;
}

#[tokio::test]
async fn probes_stay_within_the_budget_while_one_front_is_partitioned() {
    run_case("hung-cut").await;
}

#[test]
fn every_script_has_a_test() {
    let names: Vec<&str> = CASES.iter().map(|c| c.name).collect();
    assert_eq!(names, ["hung", "hung-deaths", "hung-cut"]);
}
