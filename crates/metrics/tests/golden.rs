//! Golden files of the metrics: names, labels, order and format.

use lupinrack_golden_files::{check_text, path};
use lupinrack_metrics::{Metrics, NodeCounts, RequestResult};

fn finish_requests(metrics: &Metrics, class: &str, result: RequestResult, count: usize) {
    for _ in 0..count {
        metrics.start_request(class).finish(result);
    }
}

#[test]
fn metrics_match_the_golden_file() {
    let metrics = Metrics::default();
    metrics.add_classes(["read", "new-write", "a\"b\\c\nd"]);
    finish_requests(&metrics, "read", RequestResult::Success, 1);
    finish_requests(&metrics, "read", RequestResult::Overload, 2);
    finish_requests(&metrics, "read", RequestResult::Error, 3);
    finish_requests(&metrics, "new-write", RequestResult::Success, 4);
    finish_requests(&metrics, "a\"b\\c\nd", RequestResult::Error, 5);
    let mut open_requests: Vec<_> = (0..6).map(|_| metrics.start_request("read")).collect();
    open_requests
        .iter_mut()
        .for_each(|request| request.received());
    (0..7).for_each(|_| metrics.record_dispatch());
    (0..8).for_each(|_| metrics.record_reload(true));
    (0..9).for_each(|_| metrics.record_reload(false));
    let text = metrics.text(NodeCounts {
        listed: 11,
        disabled: 10,
    });
    check_text(path!("figures.txt"), &text);
}

#[test]
fn without_classes_only_the_other_metrics_are_listed() {
    check_text(
        path!("figures-without-classes.txt"),
        &Metrics::default().text(NodeCounts::default()),
    );
}
