//! Golden files of what the admin interface reports of the fleet: one JSON object, and the metrics.

use lupinrack_fleet_driver::{MemberReport, Report};
use lupinrack_fleet_membership::Counts;
use lupinrack_golden_files::{check_text, path};

fn member(name: &str, state: &str, n: u16) -> MemberReport {
    MemberReport {
        name: name.into(),
        state: state.into(),
        since_ms: 1_000 + i64::from(n),
        by: format!("by-{n}"),
        life: 0x0102_0304_0506_0700 + u64::from(n),
        incarnation: 40 + n,
        in_view: n.is_multiple_of(2),
    }
}

fn report() -> Report {
    Report {
        name: "n1".into(),
        life: 0x1112_1314_1516_1718,
        at_us: 21_222_324,
        stance: "majority".into(),
        lease_left_ms: Some(2_345),
        until_us: 23_567_324,
        reserve: 0.15,
        part: 1.425,
        taken_over: 3,
        volumes: 17,
        view: "12.3-000f.45".into(),
        leads: true,
        health: 2,
        members: vec![
            member("n0", "unknown", 0),
            member("n1", "alive", 1),
            member("n2", "suspect", 2),
            member("n3", "dead", 3),
            member("n4", "left", 4),
            member("n5", "alive", 5),
            member("n6", "alive", 6),
        ],
        counts: Counts {
            sent: 101,
            bytes: 102,
            accepted: 103,
            invalid: 104,
            stale: 105,
            rate_limited: 106,
            payloads_sent: 107,
            views: 108,
        },
    }
}

/// A front without a lease that knows no other front.
fn report_alone() -> Report {
    Report {
        lease_left_ms: None,
        leads: false,
        members: Vec::new(),
        stance: "alone".into(),
        ..report()
    }
}

fn check_report(file: &str, report: &Report) {
    let golden = check_text(
        file,
        &(serde_json::to_string_pretty(report).unwrap() + "\n"),
    );
    assert_eq!(
        serde_json::from_str::<Report>(&golden).unwrap(),
        *report,
        "{file}"
    );
}

#[test]
fn report_json_matches_golden_file() {
    check_report(path!("report.json"), &report());
    check_report(path!("report-alone.json"), &report_alone());
}

#[test]
fn metric_names_match_golden_file() {
    check_text(path!("figures.txt"), &report().metrics());
    check_text(path!("figures-alone.txt"), &report_alone().metrics());
}
