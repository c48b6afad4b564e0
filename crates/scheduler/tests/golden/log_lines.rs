//! The log texts of a service's summary and of inferred ends.

use crate::files::{check, Golden};
use crate::text::reason_word;
use lupinrack_cluster_api::job::Resources;
use lupinrack_scheduler::{InferredEndReason, ServerSummary, ServiceSummary, WaitingSummary};
use std::collections::BTreeMap;

const REASONS: [InferredEndReason; 7] = [
    InferredEndReason::ServerDeregistered,
    InferredEndReason::LaterIncarnation,
    InferredEndReason::LeaseExpired,
    InferredEndReason::TakeoverBoundExpired,
    InferredEndReason::ServerGoneBeforeNotification,
    InferredEndReason::StoppedBeforeNotification,
    InferredEndReason::StopAcknowledged,
];

fn server(name: &str, schedulable: bool, suspected: bool) -> ServerSummary {
    ServerSummary {
        server: name.to_owned(),
        capacity: Resources {
            cpu: 16_000,
            memory_mb: 32_000,
            gpu: 8,
        },
        free: Resources {
            cpu: 1_500,
            memory_mb: 2_500,
            gpu: 3,
        },
        runs: BTreeMap::from([(0, 4), (2, 5)]),
        stopping: 6,
        queued: 7,
        schedulable,
        draining: !schedulable,
        suspected,
    }
}

#[test]
fn log_texts_match_the_golden_files() {
    let reasons = REASONS
        .map(|reason| format!("{}: {reason}\n", reason_word(reason)))
        .concat();
    let servers = vec![server("s1", true, false), server("s2", false, true)];
    let waiting = |tasks, longest_ms| WaitingSummary { tasks, longest_ms };
    let waiting = BTreeMap::from([(0, waiting(1, 20)), (3, waiting(4, 5_000))]);
    let summary = ServiceSummary { servers, waiting };
    let built = [
        Golden {
            name: "rules.txt".to_owned(),
            text: reasons,
        },
        Golden {
            name: "summary.txt".to_owned(),
            text: format!("{summary}\n"),
        },
    ];
    check("log-lines", &built);
}
