//! Golden files of `lupinrack overload drill --json`.

use lupinrack_golden_files::{check_text, path};
use lupinrack_overload_drill::DrillReport;

fn report() -> DrillReport {
    DrillReport {
        script: "hung".into(),
        seed: 1,
        alone: true,
        processes: 2,
        requests: 3,
        served_share: 0.4,
        attempts_at_hung: 5,
        trials_per_s: 6.5,
        trials_over: 7,
        recovery_ms: Some(8.25),
        limit_broken: 9,
        lost: 10,
        duplicates: 11,
        broken: vec!["one".into(), "another".into()],
    }
}

fn check_report(file: &str, report: &DrillReport) {
    check_text(file, &(serde_json::to_string(report).unwrap() + "\n"));
}

#[test]
fn report_json_matches_golden_files() {
    check_report(path!("report.json"), &report());
    let not_recovered = DrillReport {
        alone: false,
        recovery_ms: None,
        broken: Vec::new(),
        ..report()
    };
    check_report(path!("report-not-recovered.json"), &not_recovered);
}
