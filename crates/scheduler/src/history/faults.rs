//! Detection of servers on which runs fail or stall.
//!
//! A job with a fault of its own fails on every server. So a server is suspected only after faults
//! of several jobs without a successful run in between. A suspected server is on probation: it runs
//! a single task now and then, and the first success clears the suspicion.

use lupinrack_cluster_api::identity::{JobId, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// A server is suspected after faults of this many different jobs.
const JOBS_FOR_SUSPICION: usize = 2;
/// The age after which a fault no longer counts, in milliseconds.
const MAX_FAULT_AGE_MS: u64 = 30_000;
/// The maximum number of servers that are recorded as faulty for one task.
const MAX_SERVERS_PER_TASK: usize = 16;
/// The interval between probation tasks doubles with each one that does not succeed, at most this
/// many times.
const MAX_PROBATION_DOUBLINGS: u32 = 2;

/// The faults of one server.
#[derive(Clone, Debug, Default)]
struct ServerFaults {
    /// When each job last had a fault there, since the last successful run.
    jobs: BTreeMap<JobId, Millis>,
    /// When its last probation task was assigned.
    last_probation: Option<Millis>,
    /// The number of probation tasks since the last successful run.
    probations: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FaultHistory {
    servers: BTreeMap<ServerId, ServerFaults>,
    /// The servers on which each task has had a fault since its last success.
    servers_of_task: BTreeMap<TaskId, BTreeSet<ServerId>>,
}

impl FaultHistory {
    /// Records that a run has failed or stalled.
    pub(crate) fn record_fault(&mut self, server: &ServerId, task: TaskId, now: Millis) {
        let faults = self.servers.entry(server.clone()).or_default();
        faults.jobs.insert(task.job, now);
        let servers = self.servers_of_task.entry(task).or_default();
        if servers.len() < MAX_SERVERS_PER_TASK {
            servers.insert(server.clone());
        }
    }

    /// Records that a run has succeeded.
    pub(crate) fn record_success(&mut self, server: &ServerId, task: TaskId) {
        if let Some(faults) = self.servers.get_mut(server) {
            faults.jobs.clear();
            faults.probations = 0;
        }
        self.servers_of_task.remove(&task);
    }

    /// The suspected servers among `servers`: at most half of them, preferring those with faults of
    /// the most jobs.
    pub(crate) fn suspects(&self, servers: &[ServerId], now: Millis) -> BTreeSet<ServerId> {
        if self.servers.is_empty() {
            return BTreeSet::new();
        }
        let mut suspects: Vec<(usize, &ServerId)> = servers
            .iter()
            .map(|server| (self.faulty_jobs(server, now), server))
            .filter(|(jobs, _)| *jobs >= JOBS_FOR_SUSPICION)
            .collect();
        suspects.sort_by(|a, b| b.cmp(a));
        suspects.truncate(servers.len() / 2);
        suspects
            .into_iter()
            .map(|(_, server)| server.clone())
            .collect()
    }

    /// The time since the newest fault on a server, in milliseconds; `None` if it has none.
    pub(crate) fn since_last_fault_ms(&self, server: &ServerId, now: Millis) -> Option<u64> {
        let newest = self.servers.get(server)?.jobs.values().max()?;
        Some(now.since(*newest))
    }

    /// Whether a suspected server may run a probation task now. `interval_ms` is the time between
    /// the first two probation tasks.
    pub(crate) fn is_probation_due(
        &self,
        server: &ServerId,
        now: Millis,
        interval_ms: u64,
    ) -> bool {
        let Some(faults) = self.servers.get(server) else {
            return true;
        };
        let doublings = faults.probations.saturating_sub(1);
        let interval_ms = interval_ms << doublings.min(MAX_PROBATION_DOUBLINGS);
        faults
            .last_probation
            .is_none_or(|at| now.since(at) >= interval_ms)
    }

    /// Records that a probation task was assigned to a suspected server.
    pub(crate) fn record_probation(&mut self, server: &ServerId, now: Millis) {
        let faults = self.servers.entry(server.clone()).or_default();
        faults.last_probation = Some(now);
        faults.probations = faults.probations.saturating_add(1);
    }

    /// Whether a task has failed or stalled on a server.
    pub(crate) fn has_faulted(&self, task: TaskId, server: &ServerId) -> bool {
        self.servers_of_task
            .get(&task)
            .is_some_and(|servers| servers.contains(server))
    }

    /// The servers on which a task has failed or stalled; `None` if there are none.
    pub(crate) fn faulty_servers_of(&self, task: TaskId) -> Option<&BTreeSet<ServerId>> {
        self.servers_of_task.get(&task)
    }

    pub(crate) fn remove_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Removes the faults of the tasks of a job that is no longer open.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.servers_of_task.retain(|task, _| task.job != job);
    }

    /// The number of jobs that had a recent fault on a server.
    fn faulty_jobs(&self, server: &ServerId, now: Millis) -> usize {
        let Some(faults) = self.servers.get(server) else {
            return 0;
        };
        faults
            .jobs
            .values()
            .filter(|at| now.since(**at) <= MAX_FAULT_AGE_MS)
            .count()
    }
}
