//! Collects the candidates of a round.

use crate::overview::Overview;
use crate::placement::candidate::Candidate;
use crate::placement::queued_totals::QueuedTotals;
use crate::servers::server::Server;
use lupinrack_cluster_api::identity::ServerId;
use std::cell::OnceCell;
use std::collections::BTreeSet;

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
    schedulable()
        .map(|(id, server)| candidate(overview, id, server, &suspects))
        .collect()
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
        since_fault_ms: overview
            .history
            .faults
            .since_last_fault_ms(id, overview.now),
        slowdown: speeds.slowdown(id, overview.now),
        freed: OnceCell::new(),
        reservation: None,
    }
}
