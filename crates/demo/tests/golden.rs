//! Golden file of `lupinrack demo --json`.

use lupinrack_demo::Report;
use lupinrack_golden_files::{check_text, path};
use mock_servers::load::RequestCounts;

#[test]
fn the_report_matches_the_golden_file() {
    let report = Report {
        seed: 1,
        tally: RequestCounts {
            requests: 2,
            served: 3,
            refused: 4,
            failed: 5,
            lost: 6,
        },
        duplicates: 7,
        p50_ms: 8.5,
        p99_ms: 9.25,
    };
    check_text(
        path!("report.json"),
        &(serde_json::to_string(&report).unwrap() + "\n"),
    );
}
