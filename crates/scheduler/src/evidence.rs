//! Servers that fail or stall what they are given.
//!
//! A job that fails by its own fault fails everywhere, so a server is suspected only after faults of several jobs with
//! nothing that ended well in between. A suspected server is given one task at a time now and then; the first that ends
//! well clears it.

use lupinrack_cluster_api::identity::{JobId, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Faults of so many different jobs make a server suspected.
const JOBS_FOR_SUSPICION: usize = 2;
/// Faults older than this count no longer, in milliseconds.
const FAULT_AGE_MOST_MS: u64 = 30_000;
/// Servers that are remembered for one task at most.
const SERVERS_PER_TASK_MOST: usize = 16;

#[derive(Clone, Debug, Default)]
struct ServerEvidence {
    /// Jobs with faults since the last run that ended well, and when.
    faults: BTreeMap<JobId, Millis>,
    last_trial: Option<Millis>,
}

/// What speaks against servers.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    servers: BTreeMap<ServerId, ServerEvidence>,
    faults_of_task: BTreeMap<TaskId, BTreeSet<ServerId>>,
}

impl Evidence {
    /// Notes that a run failed or stood still.
    pub fn fault(&mut self, server: &ServerId, task: TaskId, now: Millis) {
        let evidence = self.servers.entry(server.clone()).or_default();
        evidence.faults.insert(task.job, now);
        let servers = self.faults_of_task.entry(task).or_default();
        if servers.len() < SERVERS_PER_TASK_MOST {
            servers.insert(server.clone());
        }
    }

    /// Notes that a run ended well.
    pub fn success(&mut self, server: &ServerId, task: TaskId) {
        if let Some(evidence) = self.servers.get_mut(server) {
            evidence.faults.clear();
        }
        self.faults_of_task.remove(&task);
    }

    /// How many jobs speak against a server.
    pub fn weight(&self, server: &ServerId, now: Millis) -> usize {
        let Some(evidence) = self.servers.get(server) else { return 0 };
        evidence.faults.values().filter(|at| now.since(**at) <= FAULT_AGE_MOST_MS).count()
    }

    /// The suspected ones among these servers, never more than half of them: those with most against them.
    pub fn suspects(&self, servers: &[ServerId], now: Millis) -> BTreeSet<ServerId> {
        let weighed = servers.iter().map(|server| (self.weight(server, now), server));
        let mut suspects: Vec<_> = weighed.filter(|(weight, _)| *weight >= JOBS_FOR_SUSPICION).collect();
        suspects.sort_by(|a, b| b.cmp(a));
        suspects.truncate(servers.len() / 2);
        suspects.into_iter().map(|(_, server)| server.clone()).collect()
    }

    /// Whether a suspected server may be tried again.
    pub fn is_trial_due(&self, server: &ServerId, now: Millis, trial_ms: u64) -> bool {
        let last = self.servers.get(server).and_then(|evidence| evidence.last_trial);
        last.is_none_or(|at| now.since(at) >= trial_ms)
    }

    /// Notes that a suspected server is tried.
    pub fn trial(&mut self, server: &ServerId, now: Millis) {
        self.servers.entry(server.clone()).or_default().last_trial = Some(now);
    }

    /// Whether a task has failed or stood still on a server.
    pub fn has_faulted(&self, task: TaskId, server: &ServerId) -> bool {
        self.faults_of_task.get(&task).is_some_and(|servers| servers.contains(server))
    }

    /// Forgets a life of a server.
    pub fn forget_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Forgets the tasks of a job that is not open any longer.
    pub fn forget_job(&mut self, job: JobId) {
        self.faults_of_task.retain(|task, _| task.job != job);
    }
}
