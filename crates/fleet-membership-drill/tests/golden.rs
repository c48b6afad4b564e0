//! Golden files of `lupinrack fleet drill --json` and of the case names.

use lupinrack_fleet_membership_drill::cases::CASES;
use lupinrack_fleet_membership_drill::DrillReport;
use lupinrack_golden_files::{check_text, path, GoldenFile};

#[test]
fn report_json_matches_golden_files() {
    let report = DrillReport {
        script: "chance".into(),
        seed: 1,
        processes: 2,
        kills: 3,
        pauses: 4,
        partitions: 5,
        requests: 6,
        served: 7,
        views: 8,
        view_conflicts: 9,
        limit_broken: 10,
        parts_sum_max: 1.125,
        cold_over: 12,
        cold_most: 0.13,
        repeats: 14,
        lost: 15,
        duplicates: 16,
        false_deaths: 17,
        detect_ms_p50: 18.5,
        detect_ms_p99: 19.5,
        agree_ms_p99: 20.5,
        idle_limit_share: 0.21,
        bytes_per_front_s: 22.5,
        datagrams_per_front_s: 23.5,
        cpu_us_per_request: 24.5,
        broken: vec!["one".into(), "another".into()],
    };
    check_text(
        path!("report.json"),
        &(serde_json::to_string(&report).unwrap() + "\n"),
    );
    let without_violations = DrillReport {
        broken: Vec::new(),
        ..report
    };
    check_text(
        path!("report-kept.json"),
        &(serde_json::to_string(&without_violations).unwrap() + "\n"),
    );
}

/// Case names are arguments of `--faults` and appear in saved scripts.
#[test]
fn case_names_match_golden_file() {
    let mut names = GoldenFile::open(path!("cases.txt"));
    for (index, case) in CASES.iter().enumerate() {
        names.add(format!("{index:02}"), case.name);
        let script = (case.script)(1);
        assert!(
            !script.name.is_empty() && script.check().is_ok(),
            "{}",
            case.name
        );
    }
    names.check();
}
