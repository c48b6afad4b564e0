//! What a scheduler tells operators of its servers and queues.

use crate::resources::{difference, sum};
use crate::scheduler::Scheduler;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// One server in a summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// Its name.
    pub server: String,
    /// What it has.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// Runs on it, or on their way to it, by priority.
    pub runs: BTreeMap<u32, usize>,
    /// Runs that are being stopped.
    pub stopping: usize,
    /// Tasks in its queue.
    pub queued: usize,
    /// Whether it may be given work.
    pub schedulable: bool,
    /// Whether it drains.
    pub draining: bool,
    /// Whether evidence speaks against it.
    pub suspected: bool,
}

/// Tasks of one priority whose turn has come and which wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingSummary {
    /// How many.
    pub tasks: usize,
    /// The longest wait, in milliseconds.
    pub longest_ms: u64,
}

/// A service at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSummary {
    /// Its servers.
    pub servers: Vec<ServerSummary>,
    /// What waits, by priority.
    pub waiting: BTreeMap<u32, WaitingSummary>,
}

impl Scheduler {
    /// The service at this moment.
    pub fn summary(&self, now: Millis) -> ServiceSummary {
        ServiceSummary {
            servers: self.server_summaries(now),
            waiting: self.waiting_summary(now),
        }
    }

    fn server_summaries(&self, now: Millis) -> Vec<ServerSummary> {
        let ids: Vec<_> = self.servers.iter().map(|(id, _)| id.clone()).collect();
        let suspects = self.evidence.suspects(&ids, now);
        let summary = |(id, server): (
            &lupinrack_cluster_api::identity::ServerId,
            &crate::servers::table::Server,
        )| {
            let mut runs = BTreeMap::new();
            let mut stopping = 0;
            for run in self.runs.of_server(id).filter(|run| !run.ended) {
                *runs.entry(run.traits.priority).or_insert(0) += 1;
                stopping += usize::from(run.stop.is_some());
            }
            let taken = sum(&self.runs.used(id), &server.foreign_use());
            ServerSummary {
                server: id.0.clone(),
                capacity: server.facts.capacity,
                free: difference(&server.facts.capacity, &taken),
                runs,
                stopping,
                queued: self.dispatcher.queued(id).count(),
                schedulable: server.is_schedulable(now, self.settings.heartbeat_timeout_ms),
                draining: server.draining_since.is_some(),
                suspected: suspects.contains(id),
            }
        };
        self.servers.iter().map(summary).collect()
    }

    fn waiting_summary(&self, now: Millis) -> BTreeMap<u32, WaitingSummary> {
        let mut waiting: BTreeMap<u32, WaitingSummary> = BTreeMap::new();
        for (_, plan) in self.jobs.plans() {
            for ready in plan.ready() {
                let summary = waiting.entry(plan.priority()).or_default();
                summary.tasks += ready.indices.len();
                summary.longest_ms = summary.longest_ms.max(now.since(ready.since));
            }
        }
        waiting
    }
}

impl fmt::Display for ServiceSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (priority, waiting) in &self.waiting {
            write!(
                f,
                "[priority {priority}: {} wait, {} ms] ",
                waiting.tasks, waiting.longest_ms
            )?;
        }
        for server in &self.servers {
            write!(
                f,
                "{}{}{}: cpu {}/{} memory {}/{} gpu {}/{} runs {:?} stopping {} queued {}; ",
                server.server,
                if server.schedulable {
                    ""
                } else {
                    " (not schedulable)"
                },
                if server.suspected { " (suspected)" } else { "" },
                server.free.cpu,
                server.capacity.cpu,
                server.free.memory_mb,
                server.capacity.memory_mb,
                server.free.gpu,
                server.capacity.gpu,
                server.runs,
                server.stopping,
                server.queued
            )?;
        }
        Ok(())
    }
}
