//! Collects the candidates of a round.

use crate::overview::Overview;
use crate::placement::candidate::Candidate;
use crate::placement::queued_totals::QueuedTotals;
use crate::placement::usage::is_under_half_used;
use crate::servers::server::Server;
use lupinrack_cluster_api::identity::ServerId;
use std::cell::OnceCell;
use std::collections::BTreeSet;

/// A suspected server takes work that has to start anywhere after this long without a fault, in
/// milliseconds, while less than half of all capacity is in use.
const FREE_SERVICE_QUIET_MS: u64 = 1_000;
/// The same while more of the capacity is in use, so that it may be load that keeps the work waiting.
const BUSY_SERVICE_QUIET_MS: u64 = 4_000;

/// All servers that accept new work now, ordered by identity.
pub(crate) fn candidates(overview: &Overview<'_>) -> Vec<Candidate> {
    let schedulable = || {
        let timeout_ms = overview.settings.heartbeat_timeout_ms;
        overview.servers.schedulable(overview.now, timeout_ms)
    };
    let ids: Vec<ServerId> = schedulable().map(|(id, _)| id.clone()).collect();
    let suspects = if overview.settings.policy.suspects_servers {
        overview.history.faults.suspects(&ids, overview.now)
    } else {
        BTreeSet::new()
    };
    let mut candidates: Vec<Candidate> = schedulable()
        .map(|(id, server)| candidate(overview, id, server, &suspects))
        .collect();
    if !suspects.is_empty() {
        set_last_resorts(overview, &mut candidates);
    }
    candidates
}

/// Marks the suspected servers that have had no fault lately. What fails on them again counts as a
/// new fault, so a server that still fails its runs gets little of this work.
fn set_last_resorts(overview: &Overview<'_>, candidates: &mut [Candidate]) {
    let quiet_ms = if is_under_half_used(candidates) {
        FREE_SERVICE_QUIET_MS
    } else {
        BUSY_SERVICE_QUIET_MS
    };
    let faults = &overview.history.faults;
    for candidate in candidates {
        let since_fault_ms = faults.since_last_fault_ms(&candidate.server, overview.now);
        candidate.is_last_resort =
            candidate.suspected && since_fault_ms.is_none_or(|since_ms| since_ms >= quiet_ms);
    }
}

fn candidate(
    overview: &Overview<'_>,
    id: &ServerId,
    server: &Server,
    suspects: &BTreeSet<ServerId>,
) -> Candidate {
    let speeds = &overview.history.speeds;
    Candidate {
        server: id.clone(),
        facts: server.facts.clone(),
        free: overview.free(id, server),
        queued: QueuedTotals::of(overview.queues.of_server(id)),
        running: overview.runs.open_count(id) + server.unexpected.len(),
        suspected: suspects.contains(id),
        is_last_resort: false,
        slowdown: speeds.slowdown(id, overview.now),
        freed: OnceCell::new(),
        reservation: None,
    }
}
