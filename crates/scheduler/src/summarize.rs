//! Computes the summary of a service.

use crate::jobs::open_jobs::OpenJobs;
use crate::overview::Overview;
use crate::servers::server::Server;
use crate::summary::{ServerSummary, ServiceSummary, WaitingSummary};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// Summarizes the servers and waiting tasks that the owner knows.
pub(crate) fn summarize(overview: &Overview<'_>, jobs: &OpenJobs) -> ServiceSummary {
    let ids: Vec<ServerId> = overview.servers.iter().map(|(id, _)| id.clone()).collect();
    let suspects = overview.history.faults.suspects(&ids, overview.now);
    let servers = overview.servers.iter().map(|(id, server)| ServerSummary {
        suspected: suspects.contains(id),
        ..trusted_server(overview, id, server)
    });
    ServiceSummary {
        servers: servers.collect(),
        waiting: waiting(jobs, overview.now),
    }
}

/// The summary of a server that is not suspected.
fn trusted_server(overview: &Overview<'_>, id: &ServerId, server: &Server) -> ServerSummary {
    let mut runs = BTreeMap::new();
    let mut stopping = 0;
    for run in overview.runs.of_server(id).filter(|run| !run.ended) {
        *runs.entry(run.profile.priority).or_insert(0) += 1;
        stopping += usize::from(run.stop.is_some());
    }
    let timeout_ms = overview.settings.heartbeat_timeout_ms;
    ServerSummary {
        server: id.0.clone(),
        capacity: server.facts.capacity,
        free: overview.free(id, server),
        runs,
        stopping,
        queued: overview.queues.of_server(id).count(),
        schedulable: server.is_schedulable(overview.now, timeout_ms),
        draining: server.draining_since.is_some(),
        suspected: false,
    }
}

fn waiting(jobs: &OpenJobs, now: Millis) -> BTreeMap<u32, WaitingSummary> {
    let mut waiting: BTreeMap<u32, WaitingSummary> = BTreeMap::new();
    for (_, plan) in jobs.plans() {
        for ready in plan.ready() {
            let summary = waiting.entry(plan.priority()).or_default();
            summary.tasks += ready.indices.len();
            summary.longest_ms = summary.longest_ms.max(now.since(ready.since));
        }
    }
    waiting
}
