//! The candidates of a round.

use crate::overview::Overview;
use crate::placement::candidate::{Candidate, FreedCapacity, QueuedNeeds};
use crate::servers::server::Server;
use lupinrack_cluster_api::identity::ServerId;
use std::collections::BTreeSet;

/// All servers that may be given work now, in the order of their identities.
pub(crate) fn candidates(overview: &Overview<'_>) -> Vec<Candidate> {
    let schedulable = || {
        let timeout_ms = overview.settings.heartbeat_timeout_ms;
        overview.servers.schedulable(overview.now, timeout_ms)
    };
    let ids: Vec<ServerId> = schedulable().map(|(id, _)| id.clone()).collect();
    let suspects = overview.history.faults.suspects(&ids, overview.now);
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
    let freed = freed_capacity(overview, id);
    let speeds = &overview.history.speeds;
    Candidate {
        server: id.clone(),
        facts: server.facts.clone(),
        free: overview.free(id, server),
        queued: overview
            .queues
            .of_server(id)
            .map(QueuedNeeds::from)
            .collect(),
        running: freed.len() + server.foreign.len(),
        suspected: suspects.contains(id),
        slowdown: speeds.slowdown(id, overview.now),
        freed,
        reservation: None,
    }
}

/// When the runs of a server are expected to free capacity, soonest first.
fn freed_capacity(overview: &Overview<'_>, id: &ServerId) -> Vec<FreedCapacity> {
    let estimator = overview.estimator();
    let mut freed: Vec<FreedCapacity> = overview
        .runs
        .of_server(id)
        .filter(|run| !run.ended)
        .map(|run| FreedCapacity {
            at: overview.now.plus(estimator.remaining_ms(run)),
            amount: run.profile.needs,
        })
        .collect();
    freed.sort_by_key(|freed| freed.at);
    freed
}
