//! A whole cluster on loopback: processes, workers, jobs, and kills on the way.

use serde_json::Value;
use std::process::{Command, Output};

/// Kinds of jobs, one of each of which is handed in each second.
const KINDS: [&str; 5] = ["plain", "gang", "dependent", "cancelled", "failing"];
/// How long the last job may take to end, in seconds. Far more than it needs: other tests run beside this one.
const END_WITHIN: &str = "120";

fn local(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lupinrack"));
    let command = command
        .args(["local", "--json", "--end-within", END_WITHIN])
        .args(args);
    command
        .env_remove("LUPINRACK_CONFIG")
        .output()
        .expect("the program runs")
}

/// The report of a play in which everything went as it should.
fn good_report(output: &Output) -> Value {
    let printed = String::from_utf8_lossy(&output.stdout);
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{printed}{said}");
    let report: Value = serde_json::from_str(&printed).expect("a report as JSON");
    assert_eq!(report["good"], true);
    assert_eq!(report["wrong"], Value::Array(Vec::new()));
    for count in ["run-twice", "out-of-order", "left-running"] {
        assert_eq!(report[count], 0, "{count} in {report}");
    }
    report
}

/// How often each kind of job ended as it should.
fn ended_as_expected(report: &Value) -> Vec<u64> {
    KINDS
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
fn every_job_ends_as_it_should_although_the_head_is_killed() {
    let report = good_report(&local(&["--seconds", "4"]));
    assert_eq!(ended_as_expected(&report), [4; 5]);
    assert_eq!(report["jobs"], 20);
    assert_eq!(killed_parts(&report), ["head"]);
    assert!(
        report["run-ends"]["failed"].as_u64() >= Some(8),
        "failing jobs fail as often as allowed"
    );
}

#[test]
fn every_job_ends_as_it_should_although_a_front_and_an_agent_are_killed() {
    let report = good_report(&local(&[
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
fn arguments_that_cannot_be_used_are_refused() {
    for args in [
        &["--seconds", "0"][..],
        &["--kill", "everything"],
        &["--frob"],
    ] {
        assert_eq!(local(args).status.code(), Some(2), "{args:?}");
    }
}
