//! Overload handled as one, with real processes: a node hangs under one and the same load. Promises are asserted, never speed.

use lupinrack_fault_injection::Plan;
use lupinrack_overload_drill::{named, play, Figures, CASES, SECONDS};

const SHORT: &str = "lease_ms = 1500\nsuspicion_ms = 500\nperiod_ms = 120\npatience_ms = 60\n";

async fn played(name: &str) -> Figures {
    let script = (named(name).expect("a script").script)(5, 7, SECONDS);
    let folder =
        std::env::temp_dir().join(format!("lupinrack-overload-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_lupinrack").into();
    let played = play(Plan {
        script,
        program,
        folder,
        fleet: SHORT.into(),
    })
    .await
    .unwrap();
    if let Err(broken) = played.figures.verdict() {
        panic!(
            "{}\n{broken:#?}\n{:#?}",
            played.history.tail(80),
            played.figures
        );
    }
    played.figures
}

/// The node is tried while it hangs, within the fleet's budget, and serves again after it.
async fn case(name: &str) {
    let f = played(name).await;
    assert!(
        f.attempts_at_hung > 0 && f.trials_per_s > 0.0 && f.recovery_ms.is_some(),
        "{f:#?}"
    );
}

#[tokio::test]
async fn a_hung_node_is_tried_within_the_budget_of_the_fleet() {
    case("hung").await;
}

#[tokio::test]
async fn also_while_a_third_of_the_fronts_is_killed() {
    case("hung-deaths").await;
}

#[tokio::test]
async fn also_while_one_front_hears_nobody() {
    case("hung-cut").await;
}

#[test]
fn every_script_is_played() {
    let names: Vec<&str> = CASES.iter().map(|c| c.name).collect();
    assert_eq!(names, ["hung", "hung-deaths", "hung-cut"]);
}
