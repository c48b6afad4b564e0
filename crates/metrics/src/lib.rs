//! A front's request metrics, counted where the events happen, and their text form for operators.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most classes that have a row of their own; requests of further classes are counted in the last row.
pub const MAX_CLASS_ROWS: usize = 256;

/// The result of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served.
    Success,
    /// Rejected for overload; a retry is safe.
    Overload,
    /// Failed in any other way.
    Error,
}

/// Numbers of nodes at the time of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes in the node list.
    pub listed: usize,
    /// Of these, the nodes that the front currently avoids.
    pub disabled: usize,
}

#[derive(Debug)]
struct Row {
    class: String,
    results: [u64; 3],
}

#[derive(Debug, Default)]
struct Counters {
    rows: Mutex<Vec<Row>>,
    concurrent: AtomicU64,
    dispatches: AtomicU64,
    reloads: [AtomicU64; 2],
}

/// All counters of a process. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Arc<Counters>);

/// Counts one request, from its head to its end. A request whose guard is dropped without a result counts as
/// [`RequestResult::Error`].
#[derive(Debug)]
pub struct RequestGuard {
    metrics: Metrics,
    row_index: usize,
    received: bool,
    result: RequestResult,
}

impl Metrics {
    fn rows(&self) -> MutexGuard<'_, Vec<Row>> {
        self.0.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn row_index(&self, class: &str) -> usize {
        let mut rows = self.rows();
        rows.iter()
            .position(|r| r.class == class)
            .unwrap_or_else(|| {
                if rows.len() < MAX_CLASS_ROWS {
                    rows.push(Row {
                        class: class.into(),
                        results: [0; 3],
                    });
                }
                rows.len() - 1
            })
    }

    /// Ensures that each of these classes has a row. Rows of other classes keep their counts.
    pub fn add_classes<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            self.row_index(name);
        }
    }

    /// Starts counting a request of this class, whose head has been received.
    pub fn start_request(&self, class: &str) -> RequestGuard {
        RequestGuard {
            metrics: self.clone(),
            row_index: self.row_index(class),
            received: false,
            result: RequestResult::Error,
        }
    }

    /// Counts an attempt whose last byte was handed to the kernel.
    pub fn record_dispatch(&self) {
        self.0.dispatches.fetch_add(1, Relaxed);
    }

    /// Counts a reload of the configuration, which was applied or rejected.
    pub fn record_reload(&self, applied: bool) {
        self.0.reloads[usize::from(applied)].fetch_add(1, Relaxed);
    }

    /// All metrics, one per line.
    pub fn text(&self, nodes: NodeCounts) -> String {
        let mut text = String::new();
        for (index, name) in ["success", "overload", "error"].iter().enumerate() {
            for row in self.rows().iter() {
                let _ = writeln!(
                    text,
                    "lb_{name}{{type=\"{}\"}} {}",
                    escape(&row.class),
                    row.results[index]
                );
            }
        }
        let count = |c: &AtomicU64| c.load(Relaxed);
        let [failure, success] = &self.0.reloads;
        for (name, value) in [
            ("dispatches", count(&self.0.dispatches)),
            ("concurrent", count(&self.0.concurrent)),
            ("targets", nodes.listed as u64),
            ("targets_disabled", nodes.disabled as u64),
            ("reload_success", count(success)),
            ("reload_failure", count(failure)),
        ] {
            let _ = writeln!(text, "lb_{name} {value}");
        }
        text
    }
}

impl RequestGuard {
    /// Counts the request as concurrent until it ends; its last byte has been received.
    pub fn received(&mut self) {
        if !std::mem::replace(&mut self.received, true) {
            self.metrics.0.concurrent.fetch_add(1, Relaxed);
        }
    }

    /// Ends the request with this result.
    pub fn finish(mut self, result: RequestResult) {
        self.result = result;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.metrics.rows()[self.row_index].results[self.result as usize] += 1;
        if self.received {
            self.metrics.0.concurrent.fetch_sub(1, Relaxed);
        }
    }
}

/// Escapes backslash, quote and line feed in the value of a label.
fn escape(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use std::collections::BTreeMap;

    fn parse(text: &str) -> BTreeMap<String, u64> {
        let line = |l: &str| {
            l.rsplit_once(' ')
                .map(|(k, v)| (k.to_string(), v.parse().expect("a number")))
        };
        text.lines().filter_map(line).collect()
    }

    const CLASSES: [&str; 3] = ["read", "new-write", "a\"b\\c\nd"];

    quickcheck! {
        /// Random request lifetimes, compared with counts kept by the test.
        fn each_request_is_counted_once_with_its_class_and_result(operations: Vec<(u8, u8)>) -> bool {
            let metrics = Metrics::default();
            metrics.add_classes(CLASSES);
            let mut open_requests: Vec<(usize, bool, RequestGuard)> = Vec::new();
            let mut expected = BTreeMap::new();
            for (operation, selector) in operations {
                let class = usize::from(selector) % CLASSES.len();
                let index = usize::from(selector) % open_requests.len().max(1);
                match operation % 6 {
                    0 | 1 => open_requests.push((class, false, metrics.start_request(CLASSES[class]))),
                    2 if !open_requests.is_empty() => {
                        open_requests[index].1 = true;
                        open_requests[index].2.received();
                    }
                    n @ 3..=5 if !open_requests.is_empty() => {
                        let (class, _, guard) = open_requests.swap_remove(index);
                        // The last kind is a client that disconnected: its guard is dropped.
                        let end = match n {
                            3 => { guard.finish(RequestResult::Success); "success" }
                            4 => { guard.finish(RequestResult::Overload); "overload" }
                            _ => { drop(guard); "error" }
                        };
                        *expected.entry((end, class)).or_insert(0) += 1;
                    }
                    _ => {}
                }
            }
            let rendered = parse(&metrics.text(NodeCounts { listed: 8, disabled: 2 }));
            let counts = ["success", "overload", "error"].iter().all(|end| {
                (0..CLASSES.len()).all(|c| {
                    let key = format!("lb_{end}{{type=\"{}\"}}", escape(CLASSES[c]));
                    rendered.get(&key) == Some(expected.get(&(*end, c)).unwrap_or(&0))
                })
            });
            counts
                && rendered["lb_concurrent"] == open_requests.iter().filter(|o| o.1).count() as u64
                && (rendered["lb_targets"], rendered["lb_targets_disabled"]) == (8, 2)
                && rendered.len() == 9 + 6
        }
    }

    #[test]
    fn a_removed_class_keeps_its_counts_and_reloads_count_by_success() {
        let metrics = Metrics::default();
        metrics.add_classes(["read"]);
        metrics.start_request("read").finish(RequestResult::Success);
        metrics.add_classes(["scan"]);
        metrics.record_reload(true);
        metrics.record_reload(false);
        metrics.record_reload(false);
        metrics.record_dispatch();
        let rendered = parse(&metrics.text(NodeCounts::default()));
        assert_eq!(
            (
                rendered["lb_success{type=\"read\"}"],
                rendered["lb_success{type=\"scan\"}"]
            ),
            (1, 0)
        );
        assert_eq!(
            (
                rendered["lb_reload_success"],
                rendered["lb_reload_failure"],
                rendered["lb_dispatches"]
            ),
            (1, 2, 1)
        );
    }
}
