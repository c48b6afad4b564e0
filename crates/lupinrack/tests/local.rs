//! `lupinrack run_local`: a complete cluster on loopback with processes, workers, jobs and killed processes.

use serde_json::Value;
use std::process::{Command, Output};

/// Kinds of jobs. One job of each kind is submitted per second.
const JOB_KINDS: [&str; 5] = ["plain", "gang", "dependent", "cancelled", "failing"];
/// Time allowed for the last job to end, in seconds. Far more than needed, because other tests run at the same time.
const END_WITHIN_SECONDS: &str = "120";

fn run_local(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lupinrack"));
    let command = command
        .args(["local", "--json", "--end-within", END_WITHIN_SECONDS])
        .args(args);
    command
        .env_remove("LUPINRACK_CONFIG")
        .output()
        .expect("the program runs")
}

/// The report of a successful run.
fn good_report(output: &Output) -> Value {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stdout}{stderr}");
    let report: Value = serde_json::from_str(&stdout).expect("a report as JSON");
    assert_eq!(report["good"], true);
    assert_eq!(report["wrong"], Value::Array(Vec::new()));
    for count in ["run-twice", "out-of-order", "left-running"] {
        assert_eq!(report[count], 0, "{count} in {report}");
    }
    report
}

/// The number of jobs of each kind that ended as expected.
fn ended_as_expected(report: &Value) -> Vec<u64> {
    JOB_KINDS
        .iter()
        .map(|kind| report["as-expected"][kind].as_u64().unwrap_or(0))
        .collect()
}

fn killed_parts(report: &Value) -> Vec<&str> {
    let killed = report["killed"].as_array().expect("a list");
    killed
        .iter()
        .filter_map(|killed| killed["part"].as_str())
        .collect()
}

#[test]
fn every_job_ends_as_expected_when_the_head_is_killed() {
    let report = good_report(&run_local(&["--seconds", "4"]));
    assert_eq!(ended_as_expected(&report), [4; 5]);
    assert_eq!(report["jobs"], 20);
    assert_eq!(killed_parts(&report), ["head"]);
    assert!(
        report["run-ends"]["failed"].as_u64() >= Some(8),
        "failing jobs fail as often as allowed"
    );
}

#[test]
fn every_job_ends_as_expected_when_a_front_and_an_agent_are_killed() {
    let report = good_report(&run_local(&[
        "--seconds",
        "6",
        "--kill",
        "front",
        "--kill",
        "agent",
    ]));
    assert_eq!(ended_as_expected(&report), [6; 5]);
    assert_eq!(killed_parts(&report), ["front", "agent"]);
}

#[test]
fn invalid_arguments_are_refused() {
    for args in [
        &["--seconds", "0"][..],
        &["--kill", "everything"],
        &["--frob"],
    ] {
        assert_eq!(run_local(args).status.code(), Some(2), "{args:?}");
    }
}
