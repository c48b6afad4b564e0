//! Golden files of `lupinrack overload drill --json`.

use lupinrack_golden_files::{check_text, path};
use lupinrack_overload_drill::Figures;

fn figures() -> Figures {
    Figures {
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

fn same(file: &str, figures: &Figures) {
    check_text(file, &(serde_json::to_string(figures).unwrap() + "\n"));
}

#[test]
fn the_report_keeps_its_form() {
    same(path!("report.json"), &figures());
    let kept = Figures {
        alone: false,
        recovery_ms: None,
        broken: Vec::new(),
        ..figures()
    };
    same(path!("report-not-recovered.json"), &kept);
}
